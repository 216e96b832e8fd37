package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsBeforeEndOfStopAreRefused guards against requests that are accepted shortly
// before the planned stop ends, and then cut off: they are refused with the proof that they
// have not run.
func TestRequestsBeforeEndOfStopAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		status int
	}{"long before": {time.Minute, http.StatusOK}, "shortly before": {300 * time.Millisecond, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, "b0", streamEvents(3, true))
			g := startGateway(t, &fakeEngines{}, b)
			g.gateway.StopAt(time.Now().Add(test.left))
			response, content, err := g.send(t, "POST", "/long/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			refused := test.status != http.StatusOK
			assert.Equal(t, strings.Contains(content, `"verdict":"not_run"`), refused, content)
			assert.Equal(t, b.runCount() == 0, refused)
		})
	}
}

// TestStreamsThatOutlastTheStopAreRefused guards against streams that are accepted in a planned
// stop, passed on, and cut off at its end although their engine is on time.
func TestStreamsThatOutlastTheStopAreRefused(t *testing.T) {
	const left = 4 * time.Second
	for name, test := range map[string]struct {
		path   string
		header map[string]string
		status int
	}{
		"few events":                           {"/paced-resumable/x", map[string]string{"X-Max-Output": "10"}, http.StatusOK},
		"too many events":                      {"/paced-resumable/x", map[string]string{"X-Max-Output": "100"}, http.StatusServiceUnavailable},
		"too many events, few left":            {"/paced-resumable/x", map[string]string{"X-Max-Output": "100", "X-Last": "95"}, http.StatusOK},
		"too many events, deadline before":     {"/paced-resumable/x", map[string]string{"X-Max-Output": "100", "X-Wait": "3s"}, http.StatusOK},
		"unknown length":                       {"/paced-resumable/x", map[string]string{"X-Max-Output": "0"}, http.StatusServiceUnavailable},
		"no target for pauses, few events":     {"/long-resumable/x", map[string]string{"X-Max-Output": "10"}, http.StatusOK},
		"no target for pauses, many events":    {"/long-resumable/x", map[string]string{"X-Max-Output": "1000"}, http.StatusServiceUnavailable},
		"call that takes longer than the stop": {"/patient-safe/x", nil, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, "b0", func(b *backend, w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/patient-safe/") {
					respondOK(b, w, r)
					return
				}
				streamEvents(99, true)(b, w, r)
			})
			g := startGateway(t, &fakeEngines{}, b)
			g.gateway.Drain()
			stopsAt := time.Now().Add(left)
			if test.path == "/patient-safe/x" {
				stopsAt = time.Now().Add(left / 2)
			}
			g.gateway.StopAt(stopsAt)
			response, content, err := g.send(t, "POST", test.path, "", test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, content)
			refused := test.status != http.StatusOK
			assert.Equal(t, strings.Contains(content, `"verdict":"not_run"`), refused, content)
			assert.Equal(t, b.runCount() == 0, refused)
		})
	}
}

// TestQueuedStreamsAreRefusedInTheStop guards against a stream that waits for an engine when the
// planned stop begins, is passed on later, and cut off at the end of the stop.
func TestQueuedStreamsAreRefusedInTheStop(t *testing.T) {
	free := make(chan struct{})
	b := startBackend(t, "b0", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long/x" {
			b.recordRun(r)
			<-free
			return
		}
		streamEvents(99, true)(b, w, r)
	})
	g := startGateway(t, &fakeEngines{}, b)
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	send := func(path string) {
		if response, err := http.DefaultClient.Do(g.request(t, "POST", path, "", nil).WithContext(ctx)); err == nil {
			response.Body.Close()
		}
	}
	for range backendSlots {
		group.Go(func() { send("/long/x") })
	}
	for b.runCount() < backendSlots {
		time.Sleep(time.Millisecond)
	}
	group.Go(func() {
		time.Sleep(100 * time.Millisecond)
		g.gateway.Drain()
		g.gateway.StopAt(time.Now().Add(4 * time.Second))
		close(free)
	})
	response, content, err := g.send(t, "POST", "/paced-resumable/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, content)
	assert.Assert(t, strings.Contains(content, `"verdict":"not_run"`), content)
	assert.Equal(t, b.runCount(), backendSlots)
}

// TestStopAnswersRequests guards against a planned stop that closes the connections of requests
// without a response, and against holding its end against their upstreams.
func TestStopAnswersRequests(t *testing.T) {
	beginBody := func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		w.Header().Set("X-Signed", "s")
		w.Header().Set("Content-Length", "9")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, test := range map[string]struct {
		path    string
		respond behaviour
	}{
		"call without a response":    {"/patient-unsafe/x", hang},
		"call with half a response":  {"/patient-unsafe/x", beginBody},
		"repeatable call":            {"/patient-safe/x", hang},
		"stream without a response":  {"/long/x", hang},
		"resumable stream, no event": {"/long-resumable/x", hang},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, "b0", test.respond)
			g := startGateway(t, &fakeEngines{}, b)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				for b.runCount() == 0 {
					time.Sleep(time.Millisecond)
				}
				g.gateway.Interrupt()
			})
			response, content, err := g.send(t, "POST", test.path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, content)
			assert.Assert(t, strings.Contains(content, `"reason":"stopping"`), content)
			assert.Assert(t, strings.Contains(content, `"verdict":"may_have_run"`), content)
			assert.Equal(t, b.runCount(), 1)
		})
	}
}
