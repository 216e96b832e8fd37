package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/routing"
)

const (
	// success is the head of a successful response without its last line.
	success      = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\n"
	eventsHeader = "Content-Type: text/event-stream\r\n"
)

// startRawBackend starts a backend that gets each connection and the request's ID after the
// head of the request has been read, and closes the connection afterwards.
func startRawBackend(t *testing.T, name string, respond func(conn *net.TCPConn, id string)) *backend {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{name: name, addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	var group sync.WaitGroup
	t.Cleanup(func() { listener.Close(); group.Wait() })
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				b.recordRun(request)
				respond(conn.(*net.TCPConn), request.Header.Get("X-Id"))
			})
		}
	})
	return b
}

// allowLargeBodies makes the gateway accept bodies of up to a size in bytes.
func (g *testGateway) allowLargeBodies(size int64) {
	table := *routes()
	table.Version, table.Limits.BodyBytes = 2, size
	g.control.UpdateTable(routing.Document{Table: &table}, "test")
	for g.control.Snapshot().Document.Table.Version < table.Version {
		time.Sleep(time.Millisecond)
	}
}

// TestResetDuringUploadIsNotTheEndOfTheBody guards against a response without a length that is
// reset while the request is still being sent, and passes for complete because the send has
// received the error of the reset.
func TestResetDuringUploadIsNotTheEndOfTheBody(t *testing.T) {
	const (
		// The upstreams reset the connection at different times after the beginning of the
		// response, between its arrival and the next read of the gateway.
		attempts   = 120
		delayStep  = 2 * time.Microsecond
		uploadSize = 1 << 20
	)
	tests := map[string]struct{ path, content string }{
		"call":                    {"/unsafe/x", success + "\r\n" + strings.Repeat("x", 150)},
		"stream":                  {"/long/x", success + eventsHeader + "\r\nid: 0\ndata: a1\n\n"},
		"stream without an event": {"/long/x", success + eventsHeader + "\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var responses atomic.Int64
			b := startRawBackend(t, "b0", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.content, "ID", id))
				// A sleep of some microseconds would take much longer.
				for resetAt := time.Now().Add(time.Duration(responses.Add(1)) * delayStep); time.Now().Before(resetAt); {
					runtime.Gosched()
				}
				_ = conn.SetLinger(0)
			})
			g := startGateway(t, &fakeEngines{}, b)
			g.allowLargeBodies(uploadSize)
			complete := 0
			for range attempts {
				response, _, err := g.send(t, "POST", test.path, strings.Repeat("u", uploadSize), nil)
				if err == nil && response.StatusCode == http.StatusOK {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "responses that were reset and passed for complete, of %d", attempts)
		})
	}
}
