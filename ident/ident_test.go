package ident_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/ident"
)

func TestRequestRoundTrip(t *testing.T) {
	tests := map[string]string{"ipv4": "127.0.0.1:7001", "ipv6": "[2001:db8::1]:65535"}
	for name, peer := range tests {
		t.Run(name, func(t *testing.T) {
			want := ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort(peer), Incarnation: 77}, Sequence: 9}
			got, err := ident.ParseRequest(want.String())
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}

func TestParseRequestRefuses(t *testing.T) {
	tests := map[string]string{
		"empty":         "",
		"prefix only":   "r-",
		"not base64":    "r-***",
		"wrong size":    "r-AAAA",
		"other prefix":  "x-fwAAARtZAAAAAAAAAE0AAAAAAAAACQ",
		"trailing data": "r-fwAAARtZAAAAAAAAAE0AAAAAAAAACQ!",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ident.ParseRequest(text)
			assert.ErrorContains(t, err, "malformed request id")
		})
	}
}

func TestLaterIncarnationIsLarger(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	first, second := ident.NewIncarnation(start), ident.NewIncarnation(start.Add(time.Millisecond))
	assert.Assert(t, first < second)
	parsed, err := ident.ParseIncarnation(first.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, first)
}

// TestIncarnationInJSON checks that an incarnation is encoded as a string, so that
// programs that decode numbers as floating point lose no digits.
func TestIncarnationInJSON(t *testing.T) {
	want := ident.Incarnation(1<<63 + 1)
	content, err := json.Marshal(want)
	assert.NilError(t, err)
	assert.Equal(t, string(content), `"8000000000000001"`)
	var got ident.Incarnation
	assert.NilError(t, json.Unmarshal(content, &got))
	assert.Equal(t, got, want)
	assert.ErrorContains(t, json.Unmarshal([]byte(`"x"`), &got), "malformed incarnation")
}
