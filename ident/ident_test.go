package ident_test

import (
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
		"nothing":       "",
		"prefix only":   "r-",
		"no base64":     "r-***",
		"a wrong size":  "r-AAAA",
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
	back, err := ident.ParseIncarnation(first.String())
	assert.NilError(t, err)
	assert.Equal(t, back, first)
}
