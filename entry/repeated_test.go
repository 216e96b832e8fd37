package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

const (
	guiltyCall, guiltyStream = "/calls/guilty", "/tag/guilty"
	// crashesToLearnRequest is the number of crashes by one request from which contactTime
	// counts, and maxCrashesByRequest the number of crashes by it in a healthy fleet.
	crashesToLearnRequest = 3
	maxCrashesByRequest   = 5
)

// publishCalls publishes a table with a route for calls.
func (f *fleet) publishCalls(t *testing.T, version uint64, kind string) {
	t.Helper()
	assert.NilError(t, f.store.Publish(standin.Configuration{
		Version: version, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 10_000, Team: "team", Key: credential,
		Routes: []standin.Route{{Name: "calls", Kind: kind, Service: plain, MaxAttempts: 2, Timeout: time.Second, Target: 150 * time.Millisecond}},
	}))
}

// call sends a request of a caller through the nth instance, and returns the status; 0 if
// there was no complete response.
func (f *fleet) call(t *testing.T, n int, path, body string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s%s", f.callers[n], path), strings.NewReader(body))
	if !assert.Check(t, err) {
		return 0
	}
	r.Host = host
	r.Header = standin.CallerRequest{ID: fmt.Sprintf("%x", f.sent.Add(1)), Key: credential, Timeout: time.Second}.Header()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// checkContained checks that executions on the path of guilty requests stopped in time
// after the crashes that show what they do.
func (f *fleet) checkContained(t *testing.T, path string) {
	t.Helper()
	crashes := f.crashes.all()
	assert.Assert(t, len(crashes) > 0)
	late := 0
	for _, e := range f.executions.Executions() {
		if len(crashes) >= crashesToLearnRequest && e.Path == path && e.At.After(crashes[crashesToLearnRequest-1].Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d crashes, %d late executions", len(crashes), late)
	assert.Check(t, late <= excusedExecutions, "%d repeats reached servers", late)
	assert.Check(t, len(crashes) <= maxCrashesByRequest, "%d crashes", len(crashes))
}

func TestRepeatedCallThatCrashesServersIsContained(t *testing.T) {
	const (
		soundInterval   = 25 * time.Millisecond
		calm, disrupted = 2 * time.Second, 14 * time.Second
	)
	tests := map[string]struct {
		instances, servers int
		kind               string
		// soundPerGuilty is the number of sound calls for each repeat of the guilty one.
		soundPerGuilty int
	}{
		"one instance":                      {1, 3, "safe", 20},
		"three instances":                   {3, 3, "safe", 20},
		"three instances, unsafe":           {3, 3, "unsafe", 20},
		"three instances, many repeats":     {3, 3, "safe", 2},
		"three instances, seldom repeated":  {3, 3, "safe", 60},
		"three instances, nine servers":     {3, 9, "safe", 10},
		"three instances, unsafe and often": {3, 3, "unsafe", 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.instances)
			f.publishCalls(t, 2, test.kind)
			for range test.servers {
				f.addFragile(t, func(id string) *standin.Server {
					return &standin.Server{ID: id, Service: plain, Zone: "a", StartUnixMS: time.Now().UnixMilli(), Slots: 8, Executions: f.executions, CrashPath: guiltyCall}
				})
			}
			time.Sleep(2 * settle)
			var before, after share
			var group sync.WaitGroup
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < calm+disrupted; i++ {
				elapsed := time.Since(startedAt)
				if elapsed >= calm && i%test.soundPerGuilty == 0 {
					group.Go(func() { f.call(t, i/test.soundPerGuilty%test.instances, guiltyCall, "balance") })
				}
				var phase *share
				switch {
				case elapsed < calm:
					phase = &before
				case elapsed >= calm+2*contactTime:
					phase = &after
				}
				group.Go(func() {
					status := f.call(t, i%test.instances, fmt.Sprintf("/calls/%d", i%50), "balance")
					if phase != nil {
						phase.sent.Add(1)
						if status == http.StatusOK {
							phase.begun.Add(1)
						}
					}
				})
				time.Sleep(soundInterval)
			}
			group.Wait()
			t.Logf("sound calls: %d of %d served before, %d of %d after", before.begun.Load(), before.sent.Load(), after.begun.Load(), after.sent.Load())
			f.checkContained(t, guiltyCall)
			assert.Check(t, after.sent.Load() >= 20 && before.sent.Load() >= 20)
			assert.Check(t, after.of() >= 0.9*before.of())
		})
	}
}

func TestRepeatedStreamThatCrashesEnginesIsContained(t *testing.T) {
	const (
		engines        = 8
		soundInterval  = 40 * time.Millisecond
		soundPerGuilty = 10
		disrupted      = 14 * time.Second
	)
	for name, instances := range map[string]int{"one instance": 1, "three instances": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, instances)
			f.publishStreams(t, 2)
			for range engines {
				f.addEngine(t, "", guiltyStream)
			}
			time.Sleep(2 * settle)
			var after share
			var group sync.WaitGroup
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < disrupted; i++ {
				if i%soundPerGuilty == 0 {
					group.Go(func() { f.streamAt(t, i/soundPerGuilty%instances, guiltyStream, false, "a0", "b1") })
				}
				isAfter := time.Since(startedAt) >= 2*contactTime
				group.Go(func() {
					begun := f.streamAt(t, i%instances, fmt.Sprintf("/tag/%d", i), false, "a0", fmt.Sprintf("b%d", i%5))
					if isAfter {
						after.sent.Add(1)
						if begun {
							after.begun.Add(1)
						}
					}
				})
				time.Sleep(soundInterval)
			}
			group.Wait()
			t.Logf("sound streams: %d of %d began after", after.begun.Load(), after.sent.Load())
			f.checkContained(t, guiltyStream)
			assert.Check(t, after.of() >= 0.9)
		})
	}
}
