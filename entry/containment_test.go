package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

const (
	model = "llm"
	// contactTime is the time within which the instances must know what crashes engines,
	// crashesToLearn the number of crashes from which it counts, and excusedExecutions
	// the number of requests that may still reach engines later.
	contactTime       = 3 * time.Second
	crashesToLearn    = 5
	excusedExecutions = 3
	// minBegunShare is the share, of that without crashes, in which sound requests must
	// begin from twice the contact time on.
	minBegunShare = 0.5
	// restartDelay is the time after which a crashed engine is back, under another ID, and
	// unlistedDelay the time after which the list no longer has the crashed one.
	restartDelay  = 1500 * time.Millisecond
	unlistedDelay = 3 * time.Second
)

// addEngine starts and lists a model server that crashes on the given part of prompts and
// on requests with the given path, and is then replaced.
func (f *fleet) addEngine(t *testing.T, crashPart, crashPath string) {
	t.Helper()
	f.addFragile(t, func(id string) *standin.Server {
		return &standin.Server{ID: id, Service: model, Zone: "a", StartUnixMS: time.Now().UnixMilli(), IsModel: true, Slots: 8, Executions: f.executions, CrashPart: crashPart, CrashPath: crashPath}
	})
}

// addFragile starts and lists a server that is replaced when it has crashed.
func (f *fleet) addFragile(t *testing.T, newServer func(id string) *standin.Server) {
	t.Helper()
	id := fmt.Sprintf("e%d", f.engines.Add(1))
	s := newServer(id)
	s.Crashed = func() {
		f.crashes.add(time.Now())
		f.group.Go(func() {
			if sleepUntilDone(t, restartDelay) {
				f.addFragile(t, newServer)
			}
			if sleepUntilDone(t, unlistedDelay-restartDelay) {
				f.store.RemoveEntry(id)
			}
		})
	}
	assert.Check(t, s.Start("127.0.0.1", f.group))
	f.group.Go(func() { <-t.Context().Done(); s.Crash() })
	assert.Check(t, f.store.AddEntry(s))
}

// sleepUntilDone sleeps, and returns false if the test ends first.
func sleepUntilDone(t *testing.T, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-t.Context().Done():
		return false
	}
}

// times are points in time that several goroutines record.
type times struct {
	mu   sync.Mutex
	list []time.Time
}

func (l *times) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, at)
}

func (l *times) all() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// publishStreams publishes a table with a route for streams that may be resumed.
func (f *fleet) publishStreams(t *testing.T, version uint64) {
	t.Helper()
	assert.NilError(t, f.store.Publish(standin.Configuration{
		Version: version, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 10_000, Team: "team", Key: credential,
		Routes: []standin.Route{{Name: "tag", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 1500 * time.Millisecond}},
	}))
}

// stream sends a request for a stream through the nth instance, and reports whether the
// stream began. The caller reads it to its end, unless it leaves after its first line.
func (f *fleet) stream(t *testing.T, n int, leaves bool, parts ...string) bool {
	return f.streamAt(t, n, "/tag/x", leaves, parts...)
}

// streamAt is stream with the path of the request.
func (f *fleet) streamAt(t *testing.T, n int, path string, leaves bool, parts ...string) bool {
	return f.streamOf(t, n, path, defaultOutput, leaves, parts...)
}

// defaultOutput is the number of tokens of a stream that sets no other.
const defaultOutput = 40

// streamOf is streamAt with the number of output tokens.
func (f *fleet) streamOf(t *testing.T, n int, path string, outputTokens int, leaves bool, parts ...string) bool {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s%s", f.callers[n], path), nil)
	if !assert.Check(t, err) {
		return false
	}
	id := fmt.Sprintf("%x", f.sent.Add(1))
	r.Host = host
	r.Header = standin.CallerRequest{ID: id, Key: credential, Timeout: 6 * time.Second, PromptTokens: 100, OutputTokens: outputTokens, Parts: append(parts, "f"+id)}.Header()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	body := bufio.NewReader(response.Body)
	if _, err := body.ReadString('\n'); err != nil {
		return false
	}
	if !leaves {
		// A stream may be cut off with its engine.
		if _, err := io.Copy(io.Discard, body); err != nil {
			f.cutOff.Add(1)
		}
	}
	return true
}

// share counts how many of the requests sent in a phase began.
type share struct{ begun, sent atomic.Int64 }

func (s *share) of() float64 { return float64(s.begun.Load()) / float64(max(1, s.sent.Load())) }

func TestPromptPartThatCrashesEnginesIsContained(t *testing.T) {
	const (
		engines         = 8
		crashPart       = "bad0bad0"
		soundInterval   = 40 * time.Millisecond
		soundPerGuilty  = 4
		calm, disrupted = 3 * time.Second, 12 * time.Second
	)
	tests := map[string]struct {
		instances int
		// leave reports whether callers leave after the first event.
		leave bool
		// parts are the shared parts of the prompts of guilty requests.
		parts []string
	}{
		"one instance":                   {1, false, []string{"a0", crashPart}},
		"three instances":                {3, false, []string{"a0", crashPart}},
		"three instances, first part":    {3, false, []string{crashPart, "a0"}},
		"three instances, between parts": {3, false, []string{"a0", crashPart, "c0"}},
		"three instances, callers leave": {3, true, []string{"a0", crashPart}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.instances)
			f.publishStreams(t, 2)
			for range engines {
				f.addEngine(t, crashPart, "")
			}
			time.Sleep(2 * settle)
			var before, after share
			var group sync.WaitGroup
			send := func(i int, phase *share, parts ...string) {
				group.Go(func() {
					begun := f.stream(t, i%test.instances, test.leave, parts...)
					if phase != nil {
						phase.sent.Add(1)
						if begun {
							phase.begun.Add(1)
						}
					}
				})
			}
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < calm+disrupted; i++ {
				phase, elapsed := &before, time.Since(startedAt)
				if elapsed >= calm {
					phase = nil
					if i%soundPerGuilty == 0 {
						send(i/soundPerGuilty, nil, test.parts...)
					}
				}
				if crashes := f.crashes.all(); len(crashes) > 0 && time.Since(crashes[min(len(crashes), crashesToLearn)-1]) >= 2*contactTime {
					phase = &after
				}
				send(i, phase, "a0", fmt.Sprintf("b%d", i%5))
				time.Sleep(soundInterval)
			}
			group.Wait()
			crashes := f.crashes.all()
			assert.Assert(t, len(crashes) > 0)
			late := 0
			for _, e := range f.executions.Executions() {
				if len(crashes) >= crashesToLearn && slices.Contains(e.Parts, crashPart) && e.At.After(crashes[crashesToLearn-1].Add(contactTime)) {
					late++
				}
			}
			t.Logf("%d crashes, %d late executions, %d of %d sound requests began before, %d of %d after", len(crashes), late, before.begun.Load(), before.sent.Load(), after.begun.Load(), after.sent.Load())
			assert.Check(t, late <= excusedExecutions, "%d requests with the part reached engines", late)
			assert.Check(t, after.sent.Load() >= 20 && before.sent.Load() >= 20)
			assert.Check(t, after.of() >= minBegunShare*before.of())
		})
	}
}
