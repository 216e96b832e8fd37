package standin

import (
	"io"
	"net/http"
)

// RawResponse returns a handler that answers each request with the same bytes, which need not
// be valid HTTP, and closes the connection.
func RawResponse(content string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // The client has disconnected.
		}
		defer conn.Close()
		// A client may close the connection before it has read everything.
		_, _ = io.WriteString(conn, content)
	}
}
