package bench_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/standin"
)

const (
	stopStreams = 150
	// stopTokens and stopStep make streams that outlast the rest of the stop.
	stopTokens = 1000
	stopStep   = 10 * time.Millisecond
	stopCalls  = 100
	stopGrace  = 2 * time.Second
)

// TestPlannedStopCutsNothingOff stops an instance with hundreds of streams,
// reads and charges under way, while callers go on asking it.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Services: 2, Step: stopStep, StopGrace: stopGrace})
	load := &stopLoad{t: t, fleet: fleet, caller: bench.NewCaller(bench.Credential), history: bench.NewChargeHistory()}
	assert.NilError(t, fleet.SetFault(ctx, standin.Slow))
	load.start(ctx)
	for load.streaming.Load() < stopStreams && !t.Failed() {
		assert.NilError(t, ctx.Err())
		wait(ctx, 10*time.Millisecond)
	}
	stopped := make(chan error, 1)
	load.group.Go(func() { load.watchReady(ctx) })
	load.group.Go(func() { stopped <- fleet.Entries[0].Stop(ctx) })
	load.group.Wait()
	assert.NilError(t, <-stopped)

	assert.Equal(t, load.whole.Load(), int32(stopStreams))
	assert.Equal(t, load.toldStopping.Load(), int32(2*stopCalls))
	assert.Assert(t, load.answered.Load() >= 2*stopCalls, "%d", load.answered.Load())
	assert.Assert(t, load.servedInGrace.Load() > 0, "nothing was served after readiness fell")
	t.Logf("%d streams whole, %d calls answered, %d of them begun after readiness fell", load.whole.Load(), load.answered.Load(), load.servedInGrace.Load())
	// Its answers are kept for callers that ask again, those of the last moment too.
	assert.NilError(t, fleet.SetFault(ctx, ""))
	for _, charged := range load.charged {
		again := load.history.Call(ctx, load.caller, fleet.Entries[2], charged.charge, charged.reply.Ticket, 0)
		assert.Equal(t, again.Body, charged.reply.Body, "%s: %+v", charged.charge, again)
	}
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.NilError(t, load.history.Check(runs))
}

// charged is a charge with its whole answer.
type charged struct {
	charge string
	reply  bench.Reply
}

// stopLoad asks the first instance until it says that it stops.
type stopLoad struct {
	t       *testing.T
	fleet   *bench.Fleet
	caller  *bench.Caller
	history *bench.ChargeHistory
	group   sync.WaitGroup

	streaming, whole, answered, toldStopping, servedInGrace atomic.Int32
	unready                                                 atomic.Bool

	mu      sync.Mutex
	charged []charged
}

func (l *stopLoad) start(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: stopStreams}}
	for range stopStreams {
		l.group.Go(func() { l.stream(ctx, client) })
	}
	for i := range stopCalls {
		l.group.Go(func() {
			l.callUntilStopping(func(n int) bench.Reply {
				return l.caller.Call(ctx, l.fleet.Entries[0], bench.ReadClass, fmt.Sprintf("profile %d/%d", i, n), "")
			})
		})
		l.group.Go(func() {
			l.callUntilStopping(func(n int) bench.Reply {
				return l.charge(ctx, fmt.Sprintf("headset %d/%d", i, n))
			})
		})
	}
}

func (l *stopLoad) stream(ctx context.Context, client *http.Client) {
	r := &bench.Reader{Credential: bench.Credential}
	r.OnToken = func() error {
		if len(r.Texts) == 1 {
			l.streaming.Add(1)
		}
		return nil
	}
	err := r.Begin(ctx, client, l.fleet.Entries[0].Addr, bench.DraftClass, fmt.Sprintf("output_tokens=%d", stopTokens))
	if err != nil || !r.Done || len(r.Texts) != stopTokens || r.Check() != nil {
		l.t.Errorf("a stream was cut off after %d tokens: %v %s", len(r.Texts), err, r.Failure)
		return
	}
	l.whole.Add(1)
}

func (l *stopLoad) charge(ctx context.Context, charge string) bench.Reply {
	reply := l.history.Call(ctx, l.caller, l.fleet.Entries[0], charge, "", 0)
	if reply.Completed() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.charged = append(l.charged, charged{charge, reply})
	}
	return reply
}

func (l *stopLoad) callUntilStopping(call func(n int) bench.Reply) {
	for n := 0; ; n++ {
		unready := l.unready.Load()
		reply := call(n)
		switch {
		case reply.Completed():
			l.answered.Add(1)
			if unready {
				l.servedInGrace.Add(1)
			}
		case reply.Verdict == "not_run" && reply.Reason == "stopping" && reply.RetryAfter != "":
			l.toldStopping.Add(1)
			if !l.unready.Load() {
				l.t.Error("an instance was stopping before its readiness fell")
			}
			return
		default:
			l.t.Errorf("a call was cut off: %+v", reply)
			return
		}
	}
}

// watchReady notes when the instance tells the balancer to send no new work.
func (l *stopLoad) watchReady(ctx context.Context) {
	for ctx.Err() == nil && !l.unready.Load() {
		if _, err := l.fleet.Get(ctx, "http://"+l.fleet.Entries[0].Addr.String()+"/ready"); err != nil {
			l.unready.Store(true)
		}
		wait(ctx, 5*time.Millisecond)
	}
}

// TestTicketsOutliveTheirHomesPlannedStop replaces one instance after the other
// by plan. Tickets go on wherever they are shown, until a holder is killed.
func TestTicketsOutliveTheirHomesPlannedStop(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 3, Services: 1})
	caller, history := bench.NewCaller(bench.Credential), bench.NewChargeHistory()
	mint := func() string {
		ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
		assert.NilError(t, err)
		return ticket
	}
	ran, first, second, third := mint(), mint(), mint(), mint()
	before := history.Call(ctx, caller, fleet.Entries[1], "ran", ran, 0)
	assert.Assert(t, before.Completed(), "%+v", before)

	for i, fresh := range []string{first, second} {
		assert.NilError(t, fleet.Entries[i].Stop(ctx))
		for _, p := range fleet.Entries[i+1:] {
			through := []*bench.Process{p}
			again := askUntilDone(ctx, history, caller, through, "ran", ran, 0)
			assert.Equal(t, again.Body, before.Body, "%+v", again)
			charge := fmt.Sprintf("fresh %d", i)
			done := askUntilDone(ctx, history, caller, through, charge, fresh, 0)
			assert.Assert(t, done.Completed(), "%+v", done)
			assert.Equal(t, runsOf(ctx, t, fleet, charge), 1)
		}
	}
	// The newcomers are told by heartbeats who holds the ledgers.
	for _, p := range fleet.Entries[:2] {
		assert.NilError(t, fleet.Restart(p))
	}
	assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
	again := askUntilDone(ctx, history, caller, fleet.Entries[:2], "ran", ran, 0)
	assert.Equal(t, again.Body, before.Body, "%+v", again)

	fleet.Entries[2].Kill()
	for _, ticket := range []string{ran, third} {
		reply := history.Call(ctx, caller, fleet.Entries[0], "third", ticket, 0)
		assert.Equal(t, reply.Verdict+" "+reply.Reason, "may_have_run home_gone", "%+v", reply)
	}
	assert.Equal(t, runsOf(ctx, t, fleet, "third"), 0)
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.NilError(t, history.Check(runs))
}

// TestOtherDataCentreFindsTheSuccessor shows the ticket of a home that stopped
// in another data centre, whose heartbeats don't come here.
func TestOtherDataCentreFindsTheSuccessor(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 3, Services: 1})
	caller, history := bench.NewCaller(bench.Credential), bench.NewChargeHistory()
	ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Entries[0].Stop(ctx))
	for _, p := range fleet.Entries[1:] {
		done := history.Call(ctx, caller, p, "headset", ticket, 0)
		assert.Assert(t, done.Completed(), "%s: %+v", p.Name, done)
	}
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.NilError(t, history.Check(runs))
	assert.Equal(t, len(runs), 1)
}

// TestHandOverThatNobodyTakes stops a home whose only peer can't answer it.
// Then nobody runs its tickets.
func TestHandOverThatNobodyTakes(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Services: 1, Proxies: true})
	caller, history := bench.NewCaller(bench.Credential), bench.NewChargeHistory()
	home, other := fleet.Entries[0], fleet.Entries[1]
	ticket, err := caller.Mint(ctx, home, bench.PurchaseClass)
	assert.NilError(t, err)
	other.PeerProxy.Set(home.IP, bench.SilenceAnswers)
	assert.NilError(t, home.Stop(ctx))
	other.PeerProxy.Heal()
	reply := history.Call(ctx, caller, other, "headset", ticket, 0)
	assert.Equal(t, reply.Verdict+" "+reply.Reason, "may_have_run home_gone", "%+v", reply)
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), 0)
	assert.NilError(t, history.Check(runs))
}
