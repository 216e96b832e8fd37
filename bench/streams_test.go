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
	// step is the engines' time for one token.
	step = 5 * time.Millisecond
	// slowStep leaves time for a fault before the first token.
	slowStep = 700 * time.Millisecond
	// readerSilence is above the longest time between two heartbeats.
	readerSilence = 2500 * time.Millisecond
	// pollPause is the time between two looks at a condition.
	pollPause = 50 * time.Millisecond
	// pollLimit bounds the wait for a condition.
	pollLimit = 30 * time.Second
)

func newReader() *bench.Reader { return &bench.Reader{Credential: bench.Credential} }

// at returns a hook that does something once, after the number of tokens.
func at(r *bench.Reader, tokens int, do func() error) func() error {
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

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(pollLimit); !holds(); time.Sleep(pollPause) {
		assert.Assert(t, time.Now().Before(until), "never: %s", what)
	}
}

// later does something after a while, and returns at once. The test waits for
// it at its end.
func later(t *testing.T, after time.Duration, do func()) {
	done := make(chan struct{})
	time.AfterFunc(after, func() { defer close(done); do() })
	t.Cleanup(func() { <-done })
}

func TestStreamOutlivesTheLimitsOfRequests(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
	r := newReader()
	const tokens = 3400 // 17 s at the least; the server's limits are 15 s and less.
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(tokens)))
	assert.NilError(t, r.CheckCompleted(tokens))
}

// One stream survives the death of one entry instance after another, the first
// when the reader has nothing but the initial reference.
func TestStreamSurvivesEntryDeathsAtManyPoints(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 2, Entries: 4, Engines: 1, Step: 20 * time.Millisecond})
	points := []int{0, 1, 2, 33, 64, 65}
	const tokens = 150
	r := newReader()
	deaths := 0
	die := func() error {
		if deaths < len(points) && len(r.Texts) >= points[deaths] {
			fleet.Entries[deaths].Kill()
			deaths++
		}
		return nil
	}
	r.OnBegin, r.OnToken = die, die
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(tokens)))
	assert.Equal(t, deaths, len(points))
	assert.NilError(t, r.CheckCompleted(tokens))
}

// engineOf returns the engine that the reader's stream is at.
func engineOf(t *testing.T, fleet *bench.Fleet, r *bench.Reader) *bench.Process {
	for _, engine := range fleet.Engines {
		if engine.Name == r.Upstream() {
			return engine
		}
	}
	t.Errorf("no engine %q", r.Upstream())
	return fleet.Engines[0]
}

func TestEngineFailsBeforeTheFirstToken(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*bench.Process){
		"killed": func(p *bench.Process) { p.Kill() },
		"frozen": func(p *bench.Process) { _ = p.Signal(syscall.SIGSTOP) }, // The stream's end shows it.
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
			assert.Assert(t, failed != "" && r.Upstream() != failed, "still at %s", failed)
		})
	}
}

// The machine refuses connections, so nobody waits for a link to heal.
func TestEngineDiesAfterTheFirstToken(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 2, Step: step})
	r := newReader()
	r.OnToken = at(r, 20, func() error { engineOf(t, fleet, r).Kill(); return nil })
	assert.NilError(t, r.ReadAll(ctx, http.DefaultClient, fleet.Entries, prompt(2000)))
	assert.NilError(t, r.CheckFailed("generation_lost"))
	// The reference still works, and gets the same answer elsewhere.
	again := &bench.Reader{Credential: bench.Credential, Reference: r.Reference, Texts: r.Texts}
	assert.NilError(t, again.Resume(ctx, http.DefaultClient, fleet.Entries[0].Addr))
	assert.NilError(t, again.CheckFailed("generation_lost"))
}

func TestEngineThatStaysUnreachable(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step, Proxies: true})
	r := newReader()
	r.OnToken = at(r, 20, func() error { fleet.Engines[0].Proxy.Set(bench.AllSources, bench.Cut); return nil })
	assert.NilError(t, r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(20000)))
	assert.NilError(t, r.CheckFailed("upstream_lost"))
}

// impatientClient is a client whose reader would notice a missing heartbeat.
func impatientClient(t *testing.T) *http.Client {
	client := bench.NewReaderClient(readerSilence)
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// faultsOnLinks is what happens between two processes, and how long until it
// is healed.
var faultsOnLinks = map[string]struct {
	fault    bench.LinkFault
	lasts    time.Duration
	forgets  bool
	lateness time.Duration
}{
	"cut for a moment":       {fault: bench.Cut, lasts: time.Second},
	"silent for a moment":    {fault: bench.Silence, lasts: time.Second},
	"silent beyond deadline": {fault: bench.Silence, lasts: 5 * time.Second},
	"answers silent":         {fault: bench.SilenceAnswers, lasts: 5 * time.Second},
	"requests silent":        {fault: bench.SilenceRequests, lasts: 5 * time.Second},
	"forgotten":              {forgets: true},
	"late":                   {lateness: 50 * time.Millisecond},
}

// The entry instance makes its connection to the engine anew, and the reader,
// who would notice a missing heartbeat, sees one connection.
func TestLinkToTheEngineFails(t *testing.T) {
	t.Parallel()
	for name, test := range faultsOnLinks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step, Proxies: true})
			proxy := fleet.Engines[0].Proxy
			r := newReader()
			r.OnToken = at(r, 30, func() error {
				proxy.Set(bench.AllSources, test.fault)
				proxy.SetDelay(test.lateness)
				if test.forgets {
					proxy.ForgetOpen()
				}
				if test.lasts > 0 {
					later(t, test.lasts, proxy.Heal)
				}
				return nil
			})
			const tokens = 600
			assert.NilError(t, r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
			if test.fault == bench.Cut || test.forgets {
				explanation, err := fleet.Get(ctx, "http://"+fleet.Entries[0].OperatorAddr.String()+"/requests/"+r.RequestID)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(explanation), "the connection to "+fleet.Engines[0].Name+" broke"), "%s", explanation)
			}
		})
	}
}

func TestEngineStalls(t *testing.T) {
	t.Parallel()
	tests := map[string]time.Duration{"short": time.Second, "beyond the deadline": 5 * time.Second}
	for name, lasts := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
			r := newReader()
			r.OnToken = at(r, 30, func() error {
				later(t, lasts, func() { _ = fleet.Engines[0].Signal(syscall.SIGCONT) })
				return fleet.Engines[0].Signal(syscall.SIGSTOP)
			})
			const tokens = 300
			assert.NilError(t, r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

// startStreams starts a fleet whose every entry instance serves streams.
func startStreams(t *testing.T, plan bench.Plan) (*bench.Fleet, context.Context) {
	t.Helper()
	plan.Services = 1
	fleet, ctx := startFleet(t, plan)
	var last string
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("when the fleet began, %s", last)
		}
	})
	for _, entry := range fleet.Entries {
		eventually(t, entry.Name+" serves streams", func() bool {
			r := newReader()
			err := r.Begin(ctx, http.DefaultClient, entry.Addr, bench.DraftClass, prompt(1))
			last = fmt.Sprintf("%s: %v %s", entry.Name, err, r.Failure)
			return err == nil && r.Done
		})
	}
	return fleet, ctx
}

// An engine whose memory is full takes it from a stream halfway, and makes its
// tokens again later. The reader gets heartbeats meanwhile, and one stream.
func TestEnginePreemptsAndResumes(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{
		DataCentres: 1, Entries: 1, Engines: 1, Step: step,
		EngineArgs: []string{"--blocks", "1024", "--block-tokens", "16", "--cache-blocks", "0"},
	})
	engine := fleet.Engines[0]
	ended := make(chan error, 1)
	r := newReader()
	r.OnToken = at(r, 50, func() error {
		later(t, 0, func() { ended <- takeMemory(ctx, engine, 1024*16-1000, 900) })
		return nil
	})
	const tokens = 800
	assert.NilError(t, r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(tokens)))
	assert.NilError(t, r.CheckCompleted(tokens))
	assert.NilError(t, <-ended)
	load, err := fleet.Load(ctx, engine)
	assert.NilError(t, err)
	assert.Assert(t, load.Preemptions > 0, "nothing was preempted")
}

// takeMemory runs a generation at the engine that is preempted last.
func takeMemory(ctx context.Context, engine *bench.Process, promptTokens, tokens int) error {
	const bytesPerToken = 4
	long := prompt(tokens) + strings.Repeat(" ", promptTokens*bytesPerToken)
	order := fmt.Sprintf(`{"generation": "hog", "reader": "hog", "prompt": %q, "max_tokens": %d, "priority": 1000000000}`, long, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.Addr.String()+"/generations", strings.NewReader(order))
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

// errHangUp makes a reader hang up.
var errHangUp = errorx.Interrupted.New("enough")

// The reader goes on at another instance while the first one still believes
// that it serves the reader, or finds out late. The stream lasts longer than
// the first instance's grace, so that a cancel of its would show.
func TestReaderMovesOn(t *testing.T) {
	t.Parallel()
	wakeAfter := 3500 * time.Millisecond
	tests := map[string]func(t *testing.T, fleet *bench.Fleet) error{
		"after a hang-up": func(*testing.T, *bench.Fleet) error { return errHangUp },
		"from a silent link": func(t *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.Set(bench.AllSources, bench.Silence)
			later(t, wakeAfter, fleet.Entries[0].Proxy.Heal)
			return nil
		},
		"from a link that is cut": func(_ *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.Set(bench.AllSources, bench.Cut)
			return nil
		},
		"from a forgotten connection": func(_ *testing.T, fleet *bench.Fleet) error {
			fleet.Entries[0].Proxy.ForgetOpen()
			return nil
		},
		"from a frozen instance that wakes late": func(t *testing.T, fleet *bench.Fleet) error {
			later(t, wakeAfter, func() { _ = fleet.Entries[0].Signal(syscall.SIGCONT) })
			return fleet.Entries[0].Signal(syscall.SIGSTOP)
		},
		"while the first one has lost the engine": func(t *testing.T, fleet *bench.Fleet) error {
			fleet.Engines[0].Proxy.Set(fleet.Entries[0].IP, bench.Silence)
			later(t, wakeAfter, fleet.Engines[0].Proxy.Heal)
			return errHangUp
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 1, Step: step, Proxies: true})
			r := newReader()
			r.OnToken = at(r, 50, func() error { return leave(t, fleet) })
			const tokens = 1800
			assert.NilError(t, r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

// The reader hangs up and goes on by way of the instances in the order given.
func TestReaderGoesOnInOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		order  []int
		frozen int
	}{
		"back to the same instance": {[]int{0, 0}, -1},
		// It wakes when the reader has gone on, takes the request that waits in
		// its socket, and is the last to attach to the generation. That the
		// reader has hung up reaches it only then.
		"past an instance that is frozen when it is asked": {[]int{0, 1, 2}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Step: step, Proxies: true})
			r := newReader()
			r.OnToken = at(r, 50, func() error {
				if test.frozen >= 0 {
					frozen := fleet.Entries[test.frozen]
					assert.Check(t, frozen.Signal(syscall.SIGSTOP))
					later(t, 1500*time.Millisecond, func() { frozen.Proxy.Set(bench.AllSources, bench.Silence) })
					later(t, 4*time.Second, func() { _ = frozen.Signal(syscall.SIGCONT) })
					later(t, 5500*time.Millisecond, frozen.Proxy.Heal)
				}
				return errHangUp
			})
			var instances []*bench.Process
			for _, i := range test.order {
				instances = append(instances, fleet.Entries[i])
			}
			const tokens = 2500
			assert.NilError(t, r.ReadAll(ctx, impatientClient(t), instances, prompt(tokens)))
			assert.NilError(t, r.CheckCompleted(tokens))
		})
	}
}

func running(ctx context.Context, t *testing.T, fleet *bench.Fleet) int {
	t.Helper()
	load, err := fleet.Load(ctx, fleet.Engines[0])
	assert.NilError(t, err)
	return load.Running
}

// A reader that doesn't come back frees the engine, also when the instance
// that it left makes its planned stop.
func TestReaderIsGoneForGood(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// stopAt and leaveAt are the tokens after which the planned stop begins,
		// and the reader hangs up. The stop is past its hand-over after 400.
		stopAt, leaveAt int
		thenStop        bool
	}{
		"after a hang-up":       {leaveAt: 20},
		"before a planned stop": {leaveAt: 20, thenStop: true},
		"in a planned stop":     {stopAt: 20, leaveAt: 600, thenStop: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: step})
			entry := fleet.Entries[0]
			r := newReader()
			r.OnToken = func() error {
				if test.stopAt > 0 && len(r.Texts) == test.stopAt {
					return entry.Signal(syscall.SIGTERM)
				}
				if len(r.Texts) == test.leaveAt {
					return errHangUp
				}
				return nil
			}
			assert.ErrorIs(t, r.Begin(ctx, http.DefaultClient, entry.Addr, bench.DraftClass, prompt(30000)), errHangUp)
			assert.Equal(t, running(ctx, t, fleet), 1, "cancelled without a grace")
			if test.thenStop {
				assert.NilError(t, entry.Stop(ctx))
			}
			eventually(t, "the engine is free", func() bool { return running(ctx, t, fleet) == 0 })
		})
	}
}

// Slow readers take nothing. Others get their tokens meanwhile, the instance's
// memory stays bounded, and in the end the slow ones are gone for good.
func TestSlowReaders(t *testing.T) {
	t.Parallel()
	fleet, ctx := startStreams(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Step: time.Millisecond})
	const (
		slowReaders = 6
		// slowTokens are some 40 MB to each reader.
		slowTokens   = 60000
		maxGrowthKiB = 64 << 10
	)
	before, err := fleet.Entries[0].ResidentKiB()
	assert.NilError(t, err)
	for range slowReaders {
		readNothing(t, fleet.Entries[0], slowTokens)
	}
	fast := newReader()
	const tokens = 3000
	assert.NilError(t, fast.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(tokens)))
	assert.NilError(t, fast.CheckCompleted(tokens))
	after, err := fleet.Entries[0].ResidentKiB()
	assert.NilError(t, err)
	assert.Assert(t, after-before < maxGrowthKiB, "the instance grew by %d KiB", after-before)
	eventually(t, "the slow readers are dropped", func() bool {
		status, err := fleet.Status(ctx, fleet.Entries[0])
		return err == nil && status.OpenRequests == 0
	})
	eventually(t, "the engine is free", func() bool { return running(ctx, t, fleet) == 0 })
}

// readNothing begins a stream and takes none of it.
func readNothing(t *testing.T, entry *bench.Process, tokens int) {
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
