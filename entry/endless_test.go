package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// writeBuffer is the size in bytes of the write buffer of an endless server's connections.
const writeBuffer = 64 << 10

// endlessServer answers each request with a beginning and then a filler without end, until
// the connection is closed.
type endlessServer struct {
	beginning, filler string
	// heldAfter is the number of bytes after which it sends nothing more; 0 if there is none.
	heldAfter int

	mu sync.Mutex
	// sent are the numbers of bytes that each connection accepted.
	sent []int
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	sent := 0
	content := strings.ReplaceAll(s.beginning, "ID", standin.ResponseID(request.Header))
	chunk := strings.Repeat(s.filler, 1+(4<<10)/len(s.filler))
	for {
		n, err := io.WriteString(conn, content)
		sent += n
		if err != nil {
			break
		}
		if s.heldAfter > 0 && sent > s.heldAfter {
			// Until the caller closes the connection.
			_, _ = io.Copy(io.Discard, conn)
			break
		}
		content = chunk
	}
	s.mu.Lock()
	s.sent = append(s.sent, sent)
	s.mu.Unlock()
}

// most returns the number of connections, and the most bytes that one accepted.
func (s *endlessServer) most() (connections, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range s.sent {
		bytes = max(bytes, sent)
	}
	return len(s.sent), bytes
}

// addEndless lists an endless server of a service.
func (f *fleet) addEndless(t *testing.T, id, service string, s *endlessServer) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	f.group.Go(func() {
		var connections sync.WaitGroup
		defer connections.Wait()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// So that few bytes are accepted that the instance doesn't read.
			if err := conn.(*net.TCPConn).SetWriteBuffer(writeBuffer); err != nil {
				t.Errorf("set the write buffer: %v", err)
			}
			connections.Go(func() { s.serve(conn) })
		}
	})
	listed := &standin.Server{ID: id, Service: service, Zone: "a", StartUnixMS: 1, Slots: 8, Addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	assert.NilError(t, f.store.AddEntry(listed))
}

func TestServersThatSendWithoutEndAreCutOff(t *testing.T) {
	const (
		requests = 60
		// maxHeadBytes and maxBodyBytes are the most bytes that a connection may accept
		// before it is closed, with its buffers: they are small until the reader has read
		// much, and then up to 6 MB.
		maxHeadBytes = 1 << 20
		maxBodyBytes = 14 << 20
		success      = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
		stream       = success + "Content-Type: text/event-stream\r\n"
	)
	tests := map[string]struct {
		server   *endlessServer
		maxBytes int
	}{
		"no answer at all":         {&endlessServer{filler: "x"}, maxHeadBytes},
		"status line":              {&endlessServer{beginning: "HTTP/1.1 200 ", filler: "x"}, maxHeadBytes},
		"head of many lines":       {&endlessServer{beginning: success, filler: "A: b\r\n"}, maxHeadBytes},
		"head of one line":         {&endlessServer{beginning: success + "A: ", filler: "b"}, maxHeadBytes},
		"interim answers":          {&endlessServer{filler: "HTTP/1.1 100 Continue\r\n\r\n"}, maxHeadBytes},
		"body to the end":          {&endlessServer{beginning: success + "\r\n", filler: "x"}, maxBodyBytes},
		"body in chunks":           {&endlessServer{beginning: success + "Transfer-Encoding: chunked\r\n\r\n", filler: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, maxBodyBytes},
		"size of a chunk":          {&endlessServer{beginning: success + "Transfer-Encoding: chunked\r\n\r\n", filler: "0"}, maxBodyBytes},
		"trailer":                  {&endlessServer{beginning: success + "Transfer-Encoding: chunked\r\n\r\n0\r\n", filler: "A: b\r\n"}, maxBodyBytes},
		"body of a failure":        {&endlessServer{beginning: "HTTP/1.1 500 no\r\nAttempt-Id: ID\r\n\r\n", filler: "x"}, maxBodyBytes},
		"line of an event":         {&endlessServer{beginning: stream + "\r\n", filler: "x"}, maxBodyBytes},
		"lines of an event":        {&endlessServer{beginning: stream + "\r\n", filler: "data: x\n"}, maxBodyBytes},
		"line of an event, chunks": {&endlessServer{beginning: stream + "Transfer-Encoding: chunked\r\n\r\n", filler: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, maxBodyBytes},
	}
	for name, test := range tests {
		for _, service := range []string{plain, model} {
			t.Run(name+", "+service, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 1)
				assert.NilError(t, f.store.Publish(standin.Configuration{
					Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 10_000, Team: "team", Key: credential,
					Routes: []standin.Route{
						{Name: "v1", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: sendTimeout, Target: time.Second},
						{Name: "tag", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 1500 * time.Millisecond},
					},
				}))
				server := &endlessServer{beginning: test.server.beginning, filler: test.server.filler}
				f.addServer(t, "p0")
				f.addServer(t, "p1")
				f.addEngine(t, "", "")
				f.addEngine(t, "", "")
				f.waitUntilServed(t, 1)
				f.addEndless(t, "x0", service, server)
				time.Sleep(settle)
				served := 0
				for i := range requests {
					switch service {
					case plain:
						if f.send(t, 0, 1) == http.StatusOK {
							served++
						}
					default:
						if f.stream(t, 0, false, fmt.Sprintf("b%d", i%3)) {
							served++
						}
					}
				}
				connections, most := server.most()
				t.Logf("%d of %d served; %d connections, most bytes %d", served, requests, connections, most)
				assert.Equal(t, served, requests)
				assert.Check(t, connections > 0)
				assert.Check(t, most <= test.maxBytes, "a connection accepted %d bytes", most)
			})
		}
	}
}
