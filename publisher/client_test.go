package publisher

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/settings"
	"mangoloft/standin"
)

// TestMalformedIndexIsRefused guards against a configuration that is taken from a response that is
// no answer.
func TestMalformedIndexIsRefused(t *testing.T) {
	const body = "Content-Length: 14\r\n\r\n" + `{"version": 9}`
	for name, test := range map[string]struct {
		response string
		valid    bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n" + body, true},
		"status 000":      {"HTTP/1.1 000 no\r\n" + body, false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX y: z\r\n" + body, false},
		"truncated":       {"HTTP/1.1 200 OK\r\n\r\n" + `{"version": 9`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.RawResponse(test.response))
			defer server.Close()
			c := newClient(settings.Settings{Platform: settings.Platform{Configuration: server.Listener.Addr().(*net.TCPAddr).AddrPort()}})
			index, err := c.index(t.Context(), 0, time.Second)
			assert.Equal(t, err == nil, test.valid, "%v", err)
			assert.Equal(t, index.Version == 9, test.valid)
		})
	}
}
