package freshconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/freshconn"
)

func TestSent(t *testing.T) {
	direct := &net.Dialer{}
	openedBefore := func(age time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := direct.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return freshconn.New(conn, time.Now().Add(-age)), nil
		}
	}
	tests := map[string]struct {
		dial     func(context.Context, string, string) (net.Conn, error)
		sent     bool
		requests int32
	}{
		"fresh connection": {dial: freshconn.DialContext(direct.DialContext), sent: true, requests: 1},
		// As after a pause of the process between connecting and sending.
		"connection that was open for long": {dial: openedBefore(time.Second)},
		"connection of another type":        {dial: direct.DialContext, sent: true, requests: 1},
		"connection that can't be opened": {dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
			}))
			defer server.Close()
			transport := &http.Transport{DialContext: test.dial, DisableKeepAlives: true}
			ctx, use := freshconn.Watch(t.Context())
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("body"))
			assert.NilError(t, err)
			response, err := transport.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			assert.Equal(t, use.Sent(), test.sent, "%v", err)
			assert.Equal(t, requests.Load(), test.requests)
		})
	}
}

// TestServerClosesUnusedConnection checks that a request is known to be unsent if the
// server closes its connection before the first byte.
func TestServerClosesUnusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	accepted.Close()
	conn := freshconn.New(client, time.Now().Add(-time.Minute))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	ctx, use := freshconn.Watch(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("body"))
	assert.NilError(t, err)
	_, err = transport.RoundTrip(request) //nolint:bodyclose // The request fails.
	assert.Assert(t, err != nil)
	assert.Assert(t, !use.Sent())
}

// TestEndOfData guards against a reset that passes for the end of the data because a write has
// received its error, and against an orderly end that passes for a reset.
func TestEndOfData(t *testing.T) {
	const (
		content = "data"
		// upload is more than the buffers of a connection hold.
		upload = 64 << 20
	)
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		conn.Close()
	}
	tests := map[string]struct {
		end func(conn *net.TCPConn)
		// writeFails reports whether the connection ends by itself while the upload is written.
		writeFails, complete bool
	}{
		"reset":              {end: reset, writeFails: true},
		"closed unread":      {end: func(conn *net.TCPConn) { conn.Close() }, writeFails: true},
		"closed for writing": {end: func(conn *net.TCPConn) { _ = conn.CloseWrite() }, complete: true},
		"orderly end, reset": {end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }, writeFails: true, complete: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			conn, err := freshconn.DialContext((&net.Dialer{}).DialContext)(t.Context(), "tcp4", listener.Addr().String())
			assert.NilError(t, err)
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			defer accepted.Close()
			var group sync.WaitGroup
			defer group.Wait()
			defer conn.Close()
			written := make(chan error, 1)
			group.Go(func() {
				_, err := conn.Write(make([]byte, upload))
				written <- err
			})
			_, err = io.ReadFull(accepted, make([]byte, 1<<10))
			assert.NilError(t, err)
			_, err = io.WriteString(accepted, content)
			assert.NilError(t, err)
			test.end(accepted.(*net.TCPConn))
			if test.writeFails {
				// The write receives the error before the first read.
				assert.Assert(t, <-written != nil)
			}
			read, err := io.ReadAll(conn)
			assert.Equal(t, string(read), content)
			assert.Equal(t, err == nil, test.complete, "%v", err)
		})
	}
}
