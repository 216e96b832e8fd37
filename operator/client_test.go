package operator

import (
	"net"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/standin"
)

// TestMalformedStatusIsRefused guards against a status that is taken from a response that is no
// answer.
func TestMalformedStatusIsRefused(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, test := range map[string]struct {
		response string
		valid    bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n" + body, true},
		"status 000":      {"HTTP/1.1 000 no\r\n" + body, false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX y: z\r\n" + body, false},
		"truncated":       {"HTTP/1.1 200 OK\r\n\r\n{", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.RawResponse(test.response))
			defer server.Close()
			_, err := Client{Addr: server.Listener.Addr().(*net.TCPAddr).AddrPort()}.Status(t.Context())
			assert.Equal(t, err == nil, test.valid, "%v", err)
		})
	}
}
