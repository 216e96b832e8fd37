package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// cutRequest is a request that got no complete answer, although it was written completely.
type cutRequest struct {
	id, path string
	// reused reports whether its connection had carried another request before.
	reused bool
	// sent and ended are the times since SIGTERM at which the last byte of the request was
	// written and the connection ended.
	sent, ended time.Duration
	detail      string
}

// stopCaller sends requests to an instance, on the same connection while that stays open, until
// no connection can be made.
type stopCaller struct {
	f      *fleet
	conn   net.Conn
	reader *bufio.Reader
	reused bool
	// stoppedAt is the time of SIGTERM.
	stoppedAt *atomic.Pointer[time.Time]
	// statuses are the numbers of complete responses by status, and cut are the requests
	// without one.
	statuses map[int]int
	cut      []cutRequest
}

// run sends requests on random paths until no connection can be made.
func (c *stopCaller) run(t *testing.T, paths []string) {
	for {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp4", c.f.callers[0].String(), time.Second)
			if err != nil {
				return
			}
			c.conn, c.reader, c.reused = conn, bufio.NewReader(conn), false
		}
		if !c.send(t, paths[rand.IntN(len(paths))]) {
			c.conn.Close()
			c.conn = nil
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}

// send sends a request and reports whether its connection can carry another one.
func (c *stopCaller) send(t *testing.T, path string) bool {
	id := fmt.Sprintf("s%d", c.f.sent.Add(1))
	body := strings.Repeat("u", rand.IntN(60_000))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.f.callers[0].String()+path, strings.NewReader(body))
	if !assert.Check(t, err) {
		return false
	}
	request.Host = host
	request.Header = standin.CallerRequest{ID: id, Key: credential, Timeout: 5 * time.Second, PromptTokens: 100, OutputTokens: outputOf(path)}.Header()
	if rand.IntN(2) == 0 {
		request.ContentLength = -1
	}
	if err := request.Write(c.conn); err != nil {
		return false
	}
	sent := time.Now()
	cut := func(detail string) bool {
		if at := c.stoppedAt.Load(); at != nil {
			c.cut = append(c.cut, cutRequest{id, path, c.reused, sent.Sub(*at), time.Since(*at), detail})
		} else {
			t.Errorf("request %s was cut before the stop: %s", id, detail)
		}
		return false
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return cut(err.Error())
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return cut(fmt.Sprint(response.StatusCode, ", ", err))
	}
	c.statuses[response.StatusCode]++
	c.reused = true
	return !response.Close
}

// outputOf returns the number of output tokens of a stream on a path; 0 for calls.
func outputOf(path string) int {
	switch path {
	case "/long/x":
		return 2000
	case "/tag/x", "/once/x":
		return 200
	}
	return 0
}

// TestLateRequestsInPlannedStop guards against requests that are taken late in a planned stop,
// passed on, and cut without an answer at its end.
func TestLateRequestsInPlannedStop(t *testing.T) {
	const (
		callers = 150
		engines = 8
		grace   = 5 * time.Second
	)
	calls := []string{"/safe/x", "/unsafe/x"}
	mixed := append([]string{"/tag/x", "/long/x"}, calls...)
	tests := map[string]struct {
		paths []string
		// disturb is called repeatedly during the stop; nil for nothing.
		disturb func(t *testing.T, f *fleet, version uint64)
	}{
		"calls":                     {calls, nil},
		"streams":                   {[]string{"/tag/x", "/long/x", "/once/x"}, nil},
		"calls and streams, SIGHUP": {mixed, func(_ *testing.T, f *fleet, _ uint64) { _ = f.processes[0].Signal(syscall.SIGHUP) }},
		"calls and streams, new version": {mixed, func(t *testing.T, f *fleet, version uint64) {
			assert.Check(t, f.store.Publish(stopConfiguration(version)))
		}},
	}
	program := buildEdge(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleetWith(t, fleetOptions{instances: 1, dataCentres: 1, program: program, graceSeconds: grace.Seconds()})
			assert.NilError(t, f.store.Publish(stopConfiguration(2)))
			for i, takes := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
				s := &standin.Server{ID: fmt.Sprint("p", i), Service: plain, Zone: "a", StartUnixMS: 1, Slots: 40, Executions: f.executions, CallTime: takes}
				assert.NilError(t, s.Start("127.0.0.1", f.group))
				t.Cleanup(s.Crash)
				assert.NilError(t, f.store.AddEntry(s))
			}
			for range engines {
				f.addEngine(t, "", "")
			}
			time.Sleep(settle)
			var stoppedAt atomic.Pointer[time.Time]
			all := make([]*stopCaller, callers)
			var group sync.WaitGroup
			for i := range all {
				all[i] = &stopCaller{f: f, statuses: map[int]int{}, stoppedAt: &stoppedAt}
				group.Go(func() { all[i].run(t, test.paths) })
			}
			time.Sleep(time.Second)
			now := time.Now()
			stoppedAt.Store(&now)
			assert.NilError(t, f.processes[0].Signal(syscall.SIGTERM))
			version := uint64(3)
			for test.disturb != nil && time.Since(now) < grace-500*time.Millisecond {
				test.disturb(t, f, version)
				version++
				time.Sleep(300 * time.Millisecond)
			}
			group.Wait()
			checkCutRequests(t, f, all, grace)
		})
	}
}

// checkCutRequests checks that no request ran and was cut, except in the last sixth of the grace
// if it was sent early in the stop.
func checkCutRequests(t *testing.T, f *fleet, callers []*stopCaller, grace time.Duration) {
	t.Helper()
	// excused is the time since SIGTERM until which such a request was sent.
	const excused = 3 * time.Second
	ran := map[string]bool{}
	for _, e := range f.executions.Executions() {
		ran[e.Request] = true
	}
	statuses, unread, excusedCuts := map[int]int{}, 0, 0
	for _, c := range callers {
		for status, n := range c.statuses {
			statuses[status] += n
		}
		for _, cut := range c.cut {
			switch {
			case !ran[cut.id]:
				// The kernel resets a connection that it makes while the listener is closed.
				unread++
			case cut.sent < excused && cut.ended > grace*5/6:
				excusedCuts++
			default:
				t.Errorf("ran and was cut: %+v", cut)
			}
		}
	}
	t.Logf("statuses %v, %d cut that have not run, %d cut in the last sixth", statuses, unread, excusedCuts)
	assert.Check(t, statuses[http.StatusOK] > 0)
}

// stopConfiguration returns the configuration of the test.
func stopConfiguration(version uint64) standin.Configuration {
	return standin.Configuration{
		Version: version, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 100_000, Team: "team", Key: credential,
		Routes: []standin.Route{
			{Name: "safe", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: 4500 * time.Millisecond, Target: 500 * time.Millisecond},
			{Name: "unsafe", Kind: "unsafe", Service: plain, MaxAttempts: 1, Timeout: 4500 * time.Millisecond, Target: 500 * time.Millisecond},
			{Name: "tag", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 500 * time.Millisecond},
			{Name: "long", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 500 * time.Millisecond},
			{Name: "once", Kind: "streaming", Service: model, MaxAttempts: 1, Timeout: 6 * time.Second, Target: 500 * time.Millisecond},
		},
	}
}
