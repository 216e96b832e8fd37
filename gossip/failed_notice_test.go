package gossip

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/ident"
)

// TestFailedNotice guards against notices that lose the outcome of a request on the way, and
// against fields in notices of other outcomes, which older builds also send without them.
func TestFailedNotice(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		failed, remote bool
		fields         string
	}{
		"not failed":               {},
		"failed":                   {failed: true, fields: `"failed":true`},
		"failed in another centre": {failed: true, remote: true, fields: `"failed":true,"remote":true`},
	} {
		t.Run(name, func(t *testing.T) {
			n := decide.Notice{Kind: decide.NoticeEnded, Request: decide.Request{ID: ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("127.0.0.1:7001"), Incarnation: 5}, Sequence: 3}}, Upstream: "e1", Failed: test.failed, Remote: test.remote}
			encoded, err := json.Marshal(encodeNotice(now, n))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(encoded), test.fields))
			assert.Equal(t, strings.Contains(string(encoded), "failed"), test.failed)
			assert.Equal(t, strings.Contains(string(encoded), "remote"), test.remote)
			var wire noticeWire
			assert.NilError(t, json.Unmarshal(encoded, &wire))
			decoded, err := decodeNotice(now, wire)
			assert.NilError(t, err)
			assert.Equal(t, decoded.Failed, test.failed)
			assert.Equal(t, decoded.Remote, test.remote)
		})
	}
}
