package entry

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendInParts sends a request on a new connection in two parts, as over a slow link, and
// reports whether a connection could be made and whether a response was received.
func sendInParts(addr string, between time.Duration) (connected bool, status int) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false, 0
	}
	defer conn.Close()
	for _, part := range []string{"POST /v2/x HTTP/1.1\r\nHost: h.example\r\n", "X-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"} {
		if _, err := conn.Write([]byte(part)); err != nil {
			return true, 0
		}
		time.Sleep(between)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return true, 0
	}
	response.Body.Close()
	return true, response.StatusCode
}

// TestPlannedStopAnswersAcceptedRequests guards against a planned stop that cuts off requests
// which it has just accepted: each connection that it accepts gets an answer.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	// Free ports are found one after another, so that no other instance takes them.
	var starting sync.Mutex
	start := func(t *testing.T, takes time.Duration) *testInstance {
		starting.Lock()
		defer starting.Unlock()
		p := startInstance(t, &fakeStore{version: 2}, func(out http.ResponseWriter, r *http.Request) {
			time.Sleep(takes)
			echoID(out, r)
		})
		p.waitFor(t, "the instance to be ready", func() bool { return p.ready(t) })
		return p
	}
	for name, test := range map[string]struct {
		callers int
		spacing time.Duration
		backend time.Duration
		// maxCutOff is 1 if connections are opened all the time: the kernel discards one that
		// it makes in the moment in which the listener is closed.
		maxCutOff int64
	}{
		"few requests":           {1, 60 * time.Millisecond, time.Millisecond, 0},
		"requests now and then":  {1, 200 * time.Millisecond, time.Millisecond, 0},
		"requests until the end": {8, 20 * time.Millisecond, 30 * time.Millisecond, 1},
	} {
		for n := range 2 {
			t.Run(fmt.Sprint(name, ", ", n), func(t *testing.T) {
				t.Parallel()
				p := start(t, test.backend)
				addr := p.settings.Listen.Callers.String()
				var answered, cutOff, refused atomic.Int64
				var group sync.WaitGroup
				for range test.callers {
					group.Go(func() {
						for {
							connected, status := sendInParts(addr, 10*time.Millisecond)
							switch {
							case !connected:
								return
							case status == 0:
								cutOff.Add(1)
							case status == http.StatusServiceUnavailable:
								refused.Add(1)
							default:
								answered.Add(1)
							}
							time.Sleep(time.Duration(rand.Float64() * 2 * float64(test.spacing)))
						}
					})
				}
				time.Sleep(200 * time.Millisecond)
				p.stop()
				assert.NilError(t, <-p.done)
				group.Wait()
				t.Logf("%d answered, %d refused, %d cut off", answered.Load(), refused.Load(), cutOff.Load())
				assert.Assert(t, cutOff.Load() <= test.maxCutOff, "%d requests were cut off without an answer", cutOff.Load())
			})
		}
	}
}

// TestPlannedStopAnswersRequestsInProgress guards against a planned stop that closes the
// connection of a call which its upstream has not answered at the end.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	t.Parallel()
	p := startInstance(t, &fakeStore{version: 2}, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	p.waitFor(t, "the instance to be ready", func() bool { return p.ready(t) })
	p.stop()
	time.Sleep(300 * time.Millisecond)
	status, body := send(t, p.settings.Listen.Callers, "/v2/x")
	assert.Equal(t, status, http.StatusBadGateway, body)
	assert.NilError(t, <-p.done)
}
