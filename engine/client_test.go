package engine

import (
	"net"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/relay"
	"mangoloft/settings"
	"mangoloft/standin"
)

// TestCancelNeedsAnAnswer guards against a generation that counts as ended because of a response
// that is no answer.
func TestCancelNeedsAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		ended    bool
	}{
		"done":                    {"HTTP/1.1 204 No Content\r\n\r\n", true},
		"unknown":                 {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true},
		"blank in a field's name": {"HTTP/1.1 204 No Content\r\nX y: z\r\n\r\n", false},
		"status 000":              {"HTTP/1.1 000 no\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.RawResponse(test.response))
			defer server.Close()
			ended, err := NewClient(settings.Settings{}).Cancel(t.Context(), server.Listener.Addr().(*net.TCPAddr).AddrPort(), relay.Attachment{})
			assert.Equal(t, ended, test.ended)
			assert.Equal(t, err == nil, test.ended, "%v", err)
		})
	}
}
