package bench_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

const (
	// step is the duration of a decode step of the engines.
	step = 5 * time.Millisecond
	// slowStep is long enough to inject a fault before the first token.
	slowStep = 700 * time.Millisecond
	// readerIdleTimeout is longer than the longest interval between heartbeats.
	readerIdleTimeout = 2500 * time.Millisecond
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// pollTimeout is the timeout for a condition.
	pollTimeout = 30 * time.Second
)

func newReader() *bench.Reader { return &bench.Reader{Credential: bench.Credential} }

// onceAfterTokens returns a hook that calls do once, after this number of tokens.
func onceAfterTokens(r *bench.Reader, tokens int, do func() error) func() error {
	done := false
	return func() error {
		if done || len(r.Texts) < tokens {
			return nil
		}
		done = true
		return do()
	}
}

func prompt(tokens int) string { return fmt.Sprintf("output_tokens=%d", tokens) }

// eventually polls until the condition holds. The description is for the error
// message.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(pollTimeout); !holds(); time.Sleep(pollInterval) {
		assert.Assert(t, time.Now().Before(deadline), "condition not met in time: %s", description)
	}
}

// runAfter calls do after the delay, without blocking. The test's cleanup waits
// for it.
func runAfter(t *testing.T, delay time.Duration, do func()) {
	done := make(chan struct{})
	time.AfterFunc(delay, func() { defer close(done); do() })
	t.Cleanup(func() { <-done })
}

// TestStreamOutlivesRequestTimeouts checks that the HTTP server's timeouts don't end
// a long stream.
func TestStreamOutlivesRequestTimeouts(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
	r := newReader()
	const tokens = 3400 // At least 17 s; the server's timeouts are at most 15 s.
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(tokens)))
	assert.NilError(t, r.CheckCompleted(tokens))
}

// TestStreamSurvivesEntryDeathsAtManyPoints kills the entry instances that serve one
// stream, one after the other. At the first kill the reader has a reference but no
// token.
func TestStreamSurvivesEntryDeathsAtManyPoints(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 2, Entries: 4, Engines: 1, Step: 20 * time.Millisecond})
	deathPoints := []int{0, 1, 2, 33, 64, 65}
	const tokens = 150
	r := newReader()
	deaths := 0
	killEntry := func() error {
		if deaths < len(deathPoints) && len(r.Texts) >= deathPoints[deaths] {
			fleet.Entries[deaths].Kill()
			deaths++
		}
		return nil
	}
	r.OnBegin, r.OnToken = killEntry, killEntry
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(tokens)))
	assert.Equal(t, deaths, len(deathPoints))
	assert.NilError(t, r.CheckCompleted(tokens))
}

// engineOf returns the engine that generates the reader's stream.
func engineOf(t *testing.T, fleet *bench.Fleet, r *bench.Reader) *bench.Process {
	for _, engine := range fleet.Engines {
		if engine.Name == r.Upstream() {
			return engine
		}
	}
	t.Errorf("the fleet has no engine %q", r.Upstream())
	return fleet.Engines[0]
}

// TestEngineFailsBeforeTheFirstToken checks that a generation without tokens moves to
// another engine if its engine fails.
func TestEngineFailsBeforeTheFirstToken(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*bench.Process){
		"killed": func(p *bench.Process) { p.Kill() },
		"frozen": func(p *bench.Process) { _ = p.Signal(syscall.SIGSTOP) }, // Without the signal, the test fails below.
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 2, Step: slowStep})
			r := newReader()
			failed := ""
			r.OnBegin = func() error {
				if failed == "" {
					engine := engineOf(t, fleet, r)
					failed = engine.Name
					fail(engine)
				}
				return nil
			}
			assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(4)))
			assert.NilError(t, r.CheckCompleted(4))
			assert.Assert(t, failed != "" && r.Upstream() != failed, "the stream must have moved from %s", failed)
		})
	}
}

// TestEngineDiesAfterTheFirstToken checks that a stream with tokens ends with the
// reason generation_lost if its engine is killed. Connections to a killed engine are
// refused, so the entry instance does not wait for the link to recover.
func TestEngineDiesAfterTheFirstToken(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 2, Step: step})
	r := newReader()
	r.OnToken = onceAfterTokens(r, 20, func() error { engineOf(t, fleet, r).Kill(); return nil })
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(2000)))
	assert.NilError(t, r.CheckFailed("generation_lost"))
	// A resume with the last reference gets the same error event.
	resumed := &bench.Reader{Credential: bench.Credential, Reference: r.Reference, Texts: r.Texts}
	assert.NilError(t, resumed.Resume(ctx, http.DefaultClient, fleet.Entries[0].Addr))
	assert.NilError(t, resumed.CheckFailed("generation_lost"))
}

// TestEngineThatStaysUnreachable checks that a stream ends with the reason
// upstream_lost if the connection to its engine is not restored.
func TestEngineThatStaysUnreachable(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step, Proxies: true})
	r := newReader()
	r.OnToken = onceAfterTokens(r, 20, func() error { fleet.Engines[0].Proxy.Set(bench.AllSources, bench.Cut); return nil })
	assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(20000)))
	assert.NilError(t, r.CheckFailed("upstream_lost"))
}

// idleTimeoutClient returns a client whose connections fail if heartbeats are
// missing.
func idleTimeoutClient(t *testing.T) *http.Client {
	client := bench.NewReaderClient(readerIdleTimeout)
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// linkFaults are faults of the link between two processes. A fault with a duration
// is healed after it.
var linkFaults = map[string]struct {
	fault         bench.LinkFault
	duration      time.Duration
	blackholeOpen bool
	delay         time.Duration
}{
	"cut for 1s":                  {fault: bench.Cut, duration: time.Second},
	"silent for 1s":               {fault: bench.Silence, duration: time.Second},
	"silent beyond the deadline":  {fault: bench.Silence, duration: 5 * time.Second},
	"answers silent":              {fault: bench.SilenceAnswers, duration: 5 * time.Second},
	"requests silent":             {fault: bench.SilenceRequests, duration: 5 * time.Second},
	"open connections blackholed": {blackholeOpen: true},
	"delayed":                     {delay: 50 * time.Millisecond},
}

// TestLinkToTheEngineFails checks that the entry instance reconnects to the engine
// while the reader, which requires heartbeats, keeps its connection.
func TestLinkToTheEngineFails(t *testing.T) {
	t.Parallel()
	for name, test := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step, Proxies: true})
			proxy := fleet.Engines[0].Proxy
			r := newReader()
			r.OnToken = onceAfterTokens(r, 30, func() error {
				proxy.Set(bench.AllSources, test.fault)
				proxy.SetDelay(test.delay)
				if test.blackholeOpen {
					proxy.BlackholeOpen()
				}
				if test.duration > 0 {
					runAfter(t, test.duration, proxy.Heal)
				}
				return nil
			})
			const tokens = 600
			assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
			if test.fault == bench.Cut || test.blackholeOpen {
				explanation, err := fleet.Get(ctx, "http://"+fleet.Entries[0].OperatorAddr.String()+"/requests/"+r.RequestID)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(explanation), "the connection to "+fleet.Engines[0].Name+" failed at token "), "%s", explanation)
			}
		})
	}
}

// TestEngineStalls checks that a stream completes although its engine is frozen for
// some time.
func TestEngineStalls(t *testing.T) {
	t.Parallel()
	tests := map[string]time.Duration{"short": time.Second, "beyond the deadline": 5 * time.Second}
	for name, duration := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
			r := newReader()
			r.OnToken = onceAfterTokens(r, 30, func() error {
				runAfter(t, duration, func() { _ = fleet.Engines[0].Signal(syscall.SIGCONT) })
				return fleet.Engines[0].Signal(syscall.SIGSTOP)
			})
			const tokens = 300
			assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

// startStreams starts a fleet and waits until every entry instance serves streams.
func startStreams(t *testing.T, plan bench.Plan) (*bench.Fleet, context.Context) {
	t.Helper()
	plan.Services = 1
	fleet, ctx := startFleet(t, plan)
	var lastStream string
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last stream during the start of the fleet: %s", lastStream)
		}
	})
	for _, entry := range fleet.Entries {
		eventually(t, entry.Name+" serves streams", func() bool {
			r := newReader()
			err := r.Begin(ctx, http.DefaultClient, entry.Addr, bench.DraftClass, prompt(1))
			lastStream = fmt.Sprintf("%s: %v %s", entry.Name, err, r.Failure)
			return err == nil && r.Done
		})
	}
	return fleet, ctx
}

// TestEnginePreemptsAndResumes checks that a stream completes although the engine,
// for lack of memory, preempts it and later recomputes its tokens. During the
// preemption the reader gets heartbeats.
func TestEnginePreemptsAndResumes(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{
		DataCentres: 1, Entries: 1, Engines: 1, Step: step,
		EngineArgs: []string{"--blocks", "1024", "--block-tokens", "16", "--cache-blocks", "0"},
	})
	engine := fleet.Engines[0]
	ended := make(chan error, 1)
	r := newReader()
	r.OnToken = onceAfterTokens(r, 50, func() error {
		runAfter(t, 0, func() { ended <- fillMemory(ctx, engine, 1024*16-1000, 900) })
		return nil
	})
	const tokens = 800
	assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(tokens)))
	assert.NilError(t, r.CheckCompleted(tokens))
	assert.NilError(t, <-ended)
	load, err := fleet.Load(ctx, engine)
	assert.NilError(t, err)
	assert.Assert(t, load.Preemptions > 0, "the stream must be preempted")
}

// fillMemory runs a generation on the engine with a priority so high that all others
// are preempted before it.
func fillMemory(ctx context.Context, engine *bench.Process, promptTokens, tokens int) error {
	const bytesPerToken = 4
	long := prompt(tokens) + strings.Repeat(" ", promptTokens*bytesPerToken)
	body := fmt.Sprintf(`{"generation": "hog", "reader": "hog", "prompt": %q, "max_tokens": %d, "priority": 1000000000}`, long, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.Addr.String()+"/generations", strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// errDisconnect makes a reader close its connection.
var errDisconnect = errorx.Interrupted.New("the reader disconnected")

// TestReaderResumesElsewhere resumes a stream on another instance while the first
// one still considers the reader connected, or before it detects the disconnect. The
// stream lasts longer than the grace period of the first instance, so that the test
// fails if the first instance cancels the generation.
func TestReaderResumesElsewhere(t *testing.T) {
	t.Parallel()
	resumeAfter := 3500 * time.Millisecond
	tests := map[string]func(t *testing.T, fleet *bench.Fleet) error{
		"after a disconnect": func(*testing.T, *bench.Fleet) error { return errDisconnect },
		"from a silent link": func(t *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.Set(bench.AllSources, bench.Silence)
			runAfter(t, resumeAfter, fleet.Entries[0].Proxy.Heal)
			return nil
		},
		"from a cut link": func(_ *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.Set(bench.AllSources, bench.Cut)
			return nil
		},
		"from a blackholed connection": func(_ *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.BlackholeOpen()
			return nil
		},
		"from a frozen instance that resumes late": func(t *testing.T, fleet *bench.Fleet) error {
			runAfter(t, resumeAfter, func() { _ = fleet.Entries[0].Signal(syscall.SIGCONT) })
			return fleet.Entries[0].Signal(syscall.SIGSTOP)
		},
		"while the first instance cannot reach the engine": func(t *testing.T, fleet *bench.Fleet) error {
			fleet.Engines[0].Proxy.Set(fleet.Entries[0].IP, bench.Silence)
			runAfter(t, resumeAfter, fleet.Engines[0].Proxy.Heal)
			return errDisconnect
		},
	}
	for name, moveOn := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 1, Step: step, Proxies: true})
			r := newReader()
			r.OnToken = onceAfterTokens(r, 50, func() error { return moveOn(t, fleet) })
			const tokens = 1800
			assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

// TestReaderResumesInGivenOrder disconnects the reader and resumes the stream on the
// instances in the given order.
func TestReaderResumesInGivenOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		order  []int
		frozen int
	}{
		"back to the same instance": {[]int{0, 0}, -1},
		// The frozen instance resumes after the reader has moved to the next one, reads
		// the request that is queued on its socket, and is the last to attach to the
		// generation. It detects only later that the reader has disconnected.
		"past a frozen instance": {[]int{0, 1, 2}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Step: step, Proxies: true})
			r := newReader()
			r.OnToken = onceAfterTokens(r, 50, func() error {
				if test.frozen >= 0 {
					frozen := fleet.Entries[test.frozen]
					assert.Check(t, frozen.Signal(syscall.SIGSTOP))
					runAfter(t, 1500*time.Millisecond, func() { frozen.Proxy.Set(bench.AllSources, bench.Silence) })
					runAfter(t, 4*time.Second, func() { _ = frozen.Signal(syscall.SIGCONT) })
					runAfter(t, 5500*time.Millisecond, frozen.Proxy.Heal)
				}
				return errDisconnect
			})
			var instances []*bench.Process
			for _, i := range test.order {
				instances = append(instances, fleet.Entries[i])
			}
			const tokens = 2500
			assert.NilError(t, r.ReadAll(ctx, idleTimeoutClient(t), instances, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

// runningGenerations returns the number of running generations of the first engine.
func runningGenerations(ctx context.Context, t *testing.T, fleet *bench.Fleet) int {
	t.Helper()
	load, err := fleet.Load(ctx, fleet.Engines[0])
	assert.NilError(t, err)
	return load.Running
}

// TestAbandonedGenerationIsCancelled checks that a generation is cancelled if its
// reader doesn't reconnect, also during a planned stop of the entry instance.
func TestAbandonedGenerationIsCancelled(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// stopAfter and disconnectAfter are the numbers of tokens after which the
		// planned stop begins and the reader disconnects. After 400 tokens the stopping
		// instance has finished its handover.
		stopAfter, disconnectAfter int
		// thenStop waits for a planned stop after the disconnect.
		thenStop bool
	}{
		"after a disconnect":    {disconnectAfter: 20},
		"before a planned stop": {disconnectAfter: 20, thenStop: true},
		"during a planned stop": {stopAfter: 20, disconnectAfter: 600, thenStop: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
			entry := fleet.Entries[0]
			r := newReader()
			r.OnToken = func() error {
				if test.stopAfter > 0 && len(r.Texts) == test.stopAfter {
					return entry.Signal(syscall.SIGTERM)
				}
				if len(r.Texts) == test.disconnectAfter {
					return errDisconnect
				}
				return nil
			}
			assert.ErrorIs(t, r.Begin(ctx, http.DefaultClient, entry.Addr, bench.DraftClass, prompt(30000)), errDisconnect)
			assert.Equal(t, runningGenerations(ctx, t, fleet), 1, "the generation must run during the grace period")
			if test.thenStop {
				assert.NilError(t, entry.Stop(ctx))
			}
			eventually(t, "the engine is free", func() bool { return runningGenerations(ctx, t, fleet) == 0 })
		})
	}
}

// TestSlowReaders checks that readers that read no data don't delay other readers or
// make the instance's memory grow without limit. The instance must eventually drop
// them.
func TestSlowReaders(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: time.Millisecond})
	const (
		slowReaders = 6
		// slowTokens make about 40 MB for each reader.
		slowTokens   = 60000
		maxGrowthKiB = 64 << 10
	)
	before, err := fleet.Entries[0].ResidentKiB()
	assert.NilError(t, err)
	for range slowReaders {
		openUnreadStream(t, fleet.Entries[0], slowTokens)
	}
	fast := newReader()
	const tokens = 3000
	assert.NilError(t, fast.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(tokens)))
	assert.NilError(t, fast.CheckCompleted(tokens))
	after, err := fleet.Entries[0].ResidentKiB()
	assert.NilError(t, err)
	assert.Assert(t, after-before < maxGrowthKiB, "the memory of the instance grew by %d KiB, which exceeds the limit", after-before)
	eventually(t, "the slow readers are disconnected", func() bool {
		status, err := fleet.Status(ctx, fleet.Entries[0])
		return err == nil && status.OpenRequests == 0
	})
	eventually(t, "the engine is free", func() bool { return runningGenerations(ctx, t, fleet) == 0 })
}

// openUnreadStream begins a stream but doesn't read its data.
func openUnreadStream(t *testing.T, entry *bench.Process, tokens int) {
	t.Helper()
	conn, err := net.Dial("tcp", entry.Addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "stream": true}`, bench.DraftClass, prompt(tokens))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		bench.Credential, len(body), body)
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.1 200")))
	assert.NilError(t, err)
}
