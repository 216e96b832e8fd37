package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/routing"
)

const (
	// success is the head of a successful response without its last line.
	success      = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\n"
	eventsHeader = "Content-Type: text/event-stream\r\n"
	// uploadSize leaves little of the memory for bodies to a response.
	uploadSize = 1000 << 10
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
		attempts  = 120
		delayStep = 2 * time.Microsecond
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

// TestResponseBeforeTheEndOfAnUpload guards against refusing a response without a length that an
// upstream ends in an orderly way while it reads no more of the request, and against refusing
// one because its request has a large body.
func TestResponseBeforeTheEndOfAnUpload(t *testing.T) {
	b := startRawBackend(t, "b0", func(conn *net.TCPConn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(success+"\r\nab", "ID", id))
		_ = conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	})
	g := startGateway(t, &fakeEngines{}, b)
	g.allowLargeBodies(uploadSize)
	response, content, err := g.send(t, "POST", "/patient-unsafe/x", strings.Repeat("u", uploadSize), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, content)
	assert.Equal(t, content, "ab")
}

// waitFor waits until the log contains a text the given number of times.
func (b *logBuffer) waitFor(t *testing.T, text string, times int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := b.count(text); n != times {
			return poll.Continue("%q is %d times in the log", text, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestMalformedHeadsAreNoResponse guards against responses whose heads are not valid HTTP: they
// reach the caller neither as an answer nor as a closed connection, and count against the
// upstream.
func TestMalformedHeadsAreNoResponse(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nab"
	status := func(line string) string {
		return line + "\r\nX-Id: ID\r\nX-Signed: s\r\n" + length
	}
	heads := map[string]string{
		"status 000":                     status("HTTP/1.1 000 no"),
		"status 042":                     status("HTTP/1.1 042 no"),
		"status 099":                     status("HTTP/1.1 099 no"),
		"status +20":                     status("HTTP/1.1 +20 no"),
		"status 101":                     status("HTTP/1.1 101 Switching Protocols"),
		"status 600":                     status("HTTP/1.1 600 no"),
		"status 999":                     status("HTTP/1.1 999 no"),
		"status of two digits":           status("HTTP/1.1 20 no"),
		"another version":                status("HTTP/2.0 200 OK"),
		"blank in a name":                success + "X y: z\r\n" + length,
		"blank before the colon":         success + "Content-Length : 2\r\n\r\nabcd",
		"blank before a colon, length":   success + "X-Y : z\r\n" + length,
		"only a blank as the name":       success + " : z\r\n" + length,
		"blank before a name":            success + " Content-Length: 2\r\n\r\nabcd",
		"tab in a name":                  success + "X\ty: z\r\n" + length,
		"control byte in a name":         success + "X\x01y: z\r\n" + length,
		"carriage return in a name":      success + "X\ry: z\r\n" + length,
		"NUL in a name":                  success + "X\x00y: z\r\n" + length,
		"DEL in a name":                  success + "X\x7fy: z\r\n" + length,
		"byte over 127 in a name":        success + "X\x80y: z\r\n" + length,
		"no name":                        success + ": z\r\n" + length,
		"no colon":                       success + "xyz\r\n" + length,
		"blank in the name of a trailer": success + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX y: z\r\n\r\n",
		"refusal, blank in a name":       "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\nX y: z\r\nContent-Length: 0\r\n\r\n",
		"failure, status 000":            "HTTP/1.1 000 no\r\n\r\n",
	}
	for name, head := range heads {
		for path, runs := range map[string]int{"/unsafe/x": 1, "/safe/x": 2, "/long/x": 1, "/resumable/x": 2} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				content := head
				if strings.HasPrefix(path, "/long") || strings.HasPrefix(path, "/res") {
					content = strings.Replace(content, success, success+eventsHeader, 1)
				}
				var backends []*backend
				for i := range runs {
					backends = append(backends, startBackend(t, fmt.Sprint("b", i), respondRaw(content)))
				}
				g := startGateway(t, &fakeEngines{}, backends...)
				response, err := http.DefaultClient.Do(g.request(t, "POST", path, "", nil))
				assert.NilError(t, err)
				defer response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				assert.Equal(t, response.Header.Get("X-Signed"), "")
				ran := 0
				for _, b := range backends {
					ran += b.runCount()
				}
				assert.Equal(t, ran, runs)
				g.logs.waitFor(t, `"reason":"upstream_lost"`, runs+1)
			})
		}
	}
}

// TestStreamsThatGoOnContainOnlyEvents guards against an error of the next upstream, or its
// head, in the middle of a stream that broke off, and against an end that looks complete.
func TestStreamsThatGoOnContainOnlyEvents(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Type: text/plain\r\n"
	next := map[string]string{
		"failure":                         failure + "Content-Length: 4\r\n\r\nfail",
		"failure that looks like events":  "HTTP/1.1 500 no\r\nX-Id: ID\r\nX-Signed: s\r\n" + eventsHeader + "\r\nid: 2\ndata: a1\n\n",
		"refusal":                         "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"text":                            success + "Content-Length: 4\r\n\r\nfail",
		"no content":                      "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nX-Signed: s\r\n" + eventsHeader + "\r\n",
		"reset content":                   "HTTP/1.1 205 Reset\r\nX-Id: ID\r\nX-Signed: s\r\n" + eventsHeader + "Content-Length: 0\r\n\r\n",
		"accepted":                        "HTTP/1.1 202 Accepted\r\nX-Id: ID\r\nX-Signed: s\r\n" + eventsHeader + "Content-Length: 0\r\n\r\n",
		"redirect":                        "HTTP/1.1 302 Found\r\nX-Id: ID\r\nX-Signed: s\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"status 000":                      "HTTP/1.1 000 no\r\nX-Id: ID\r\nX-Signed: s\r\n" + eventsHeader + "\r\nid: 2\ndata: a1\n\n",
		"blank in a name":                 success + "X y: z\r\n" + eventsHeader + "\r\nid: 2\ndata: a1\n\n",
		"blank before a name":             success + " X: z\r\n" + eventsHeader + "\r\nid: 2\ndata: a1\n\n",
		"error as an event":               success + eventsHeader + "\r\nevent: error\ndata: {\"error\":\"overloaded\"}\n\n",
		"error as an event before others": success + eventsHeader + "\r\ndata: {\"error\":\"overloaded\"}\n\nid: 2\ndata: a1\n\n",
		"error in place of events":        success + eventsHeader + "\r\n{\"error\":\"overloaded\"}\n\n",
		"head in place of events":         success + eventsHeader + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfail\n\n",
		"head before the events":          success + eventsHeader + "\r\nHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: a1\n\n",
		"error after comments":            success + eventsHeader + "\r\n: x\n\nretry: 5\n\nevent: error\ndata: fail\n\n",
		"text without an end":             success + eventsHeader + "\r\nfail",
	}
	const begun = "id: 0\ndata: a1\n\nid: 1\ndata: a1\n\n"
	for name, content := range next {
		for _, takenUp := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, taken up %v", name, takenUp), func(t *testing.T) {
				t.Parallel()
				respond := firstThen(streamEvents(1, false), respondRaw(content))
				header := map[string]string{}
				if takenUp {
					respond, header["X-Last"] = respondRaw(content), "1"
				}
				g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", respond), startBackend(t, "b1", respond))
				response, err := http.DefaultClient.Do(g.request(t, "POST", "/resumable/x", "", header))
				assert.NilError(t, err)
				defer response.Body.Close()
				delivered, err := io.ReadAll(response.Body)
				if !takenUp {
					assert.Assert(t, err != nil, "the stream ended as if it were complete: %q", delivered)
					assert.Equal(t, string(delivered), begun)
					return
				}
				isStream := response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
				assert.Assert(t, !isStream, "%d %q", response.StatusCode, delivered)
			})
		}
	}
}

// TestStreamsWithoutIDsDoNotGoOn guards against a second run that begins again after events that
// can't be told from its own.
func TestStreamsWithoutIDsDoNotGoOn(t *testing.T) {
	respond := firstThen(respondRaw(success+eventsHeader+"\r\ndata: a1\n\ndata"), streamEvents(1, true))
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", respond), startBackend(t, "b1", respond))
	_, content, err := g.send(t, "POST", "/resumable/x", "", nil)
	assert.Assert(t, err != nil, "the stream ended as if it were complete")
	assert.Equal(t, content, "data: a1\n\n")
}

// TestMemoryOfEventsIsReturned guards against memory that is returned never or twice when a
// stream ends while events are read or wait to be forwarded.
func TestMemoryOfEventsIsReturned(t *testing.T) {
	const (
		streams = 200
		// eventBytes makes the events of a few streams fill the memory for bodies.
		eventBytes = 20 << 10
		// fits and tooLong are the sizes in KiB of two responses, of which only the first fits
		// into half of the memory.
		fits, tooLong = 480, 500
	)
	respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", b.name)
		if strings.HasPrefix(r.URL.Path, "/unsafe") {
			size, _ := strconv.Atoi(r.URL.RawQuery)
			_, _ = w.Write(make([]byte, size<<10))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for _, id := range append([]int{0}, slices.Repeat([]int{5}, 100)...) {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
		}
	}
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", respond), startBackend(t, "b1", respond))
	for range streams {
		_, _, err := g.send(t, "POST", "/long/x", "", nil)
		assert.Assert(t, err != nil, "the gap ends the stream")
	}
	for size, status := range map[int]int{fits: http.StatusOK, tooLong: http.StatusBadGateway} {
		response, content, err := g.send(t, "POST", fmt.Sprint("/unsafe/x?", size), "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status, "%d KiB: %.200s", size, content)
	}
}

// TestDetoursOverBrokenResponses guards against a broken response of an upstream that reaches
// the caller through another instance.
func TestDetoursOverBrokenResponses(t *testing.T) {
	for name, content := range map[string]string{
		"status 000":      "HTTP/1.1 000 no\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nab",
		"status 600":      "HTTP/1.1 600 no\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nab",
		"blank in a name": success + "Content-Length : 2\r\n\r\nabcd",
	} {
		t.Run(name, func(t *testing.T) {
			member := startRawBackend(t, "member", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(content, "ID", id))
			})
			x, _ := restartingBackend(t, "x", respondOK)
			y, _ := restartingBackend(t, "y", respondOK)
			g := startMember(t, &fakeEngines{}, members{member.addr}, x, y)
			response, body, err := g.send(t, "POST", "/patient-unsafe/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, body)
			assert.Equal(t, member.runCount(), 1)
		})
	}
}
