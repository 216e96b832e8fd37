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

// TestPaceInNotices checks that the pace of a stream and its pause target reach other
// instances, that notices without them are as those of older builds, and that implausible
// values are refused.
func TestPaceInNotices(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	request := decide.Request{ID: ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.1:7200"), Incarnation: 1}, Sequence: 2}, PauseTarget: 180 * time.Millisecond}
	n := decide.Notice{Kind: decide.NoticeProgressed, Request: request, Upstream: "e1", Tokens: 40, Pace: decide.Pace{PerToken: 12500 * time.Microsecond, LongestPause: 90 * time.Millisecond}}
	decoded, err := decodeNotice(now, encodeNotice(now, n))
	assert.NilError(t, err)
	assert.Equal(t, decoded.Pace, n.Pace)
	assert.Equal(t, decoded.Request.PauseTarget, request.PauseTarget)
	n.Pace, n.Request.PauseTarget = decide.Pace{}, 0
	encoded, err := json.Marshal(encodeNotice(now, n))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(encoded), "pause") && !strings.Contains(string(encoded), "token_us"), "%s", encoded)
	for name, change := range map[string]func(*noticeWire){
		"negative time for a token": func(w *noticeWire) { w.TokenUS = -1 },
		"huge time for a token":     func(w *noticeWire) { w.TokenUS = 1 << 62 },
		"negative pause":            func(w *noticeWire) { w.PauseMS = -1 },
		"huge pause":                func(w *noticeWire) { w.PauseMS = 1 << 62 },
		"huge pause target":         func(w *noticeWire) { w.PauseTargetMS = 1 << 62 },
	} {
		t.Run(name, func(t *testing.T) {
			w := encodeNotice(now, n)
			change(&w)
			_, err := decodeNotice(now, w)
			assert.ErrorContains(t, err, "out of range")
		})
	}
}

// TestFactorsInLoads checks that speeds are sent to other data centres only if engines differ.
func TestFactorsInLoads(t *testing.T) {
	for name, test := range map[string]struct {
		factors []float64
		want    []int
	}{
		"equal":     {[]float64{1, 1.001}, nil},
		"uneven":    {[]float64{1, 1.76}, []int{100, 176}},
		"not known": {[]float64{0, 0.7}, []int{100, 70}},
	} {
		t.Run(name, func(t *testing.T) {
			var loads []decide.Load
			for _, factor := range test.factors {
				loads = append(loads, decide.Load{Factor: factor})
			}
			assert.DeepEqual(t, encodeLoads(loads).FactorPercent, test.want)
		})
	}
}
