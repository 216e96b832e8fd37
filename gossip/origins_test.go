package gossip

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/event"
	"mangoloft/origin"
)

// originServer answers questions about the origin of one stream, and returns its address.
func originServer(t *testing.T, stream origin.Key, version string) netip.AddrPort {
	t.Helper()
	p := newPeers(Options{Origin: func(_ context.Context, asked origin.Key) (string, bool) { return version, asked == stream }}, nil, nil)
	return serve(t, p.Handler())
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func TestOriginIsFoundAtOneOfTheMembers(t *testing.T) {
	const stream = origin.Key(29)
	knows, knowsOther := originServer(t, stream, "v1"), originServer(t, 30, "v2")
	fails := serve(t, http.NotFoundHandler())
	garbage := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") }))
	silent := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	tests := map[string]struct {
		members []netip.AddrPort
		known   bool
	}{
		"one knows it":           {[]netip.AddrPort{knowsOther, fails, knows, silent}, true},
		"none knows it":          {[]netip.AddrPort{knowsOther, fails, garbage, gone}, false},
		"the only one is silent": {[]netip.AddrPort{silent}, false},
		"no members":             {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPeers(Options{Log: event.NewLog(io.Discard, "i", time.Now)}, nil, nil)
			p.groupControls.Store(&test.members)
			startedAt := time.Now()
			version, known := p.FindOrigin(t.Context(), stream)
			assert.Equal(t, known, test.known)
			assert.Equal(t, version == "v1", test.known)
			assert.Assert(t, time.Since(startedAt) < 10*originTimeout)
		})
	}
}

func TestMalformedQuestionIsRefused(t *testing.T) {
	addr := originServer(t, 29, "v1")
	response, err := http.Get("http://" + addr.String() + originPath + "?stream=none")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
