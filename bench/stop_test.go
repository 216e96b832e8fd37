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
	// stopTokens and stopStep make streams that end after all other requests.
	stopTokens = 1000
	stopStep   = 10 * time.Millisecond
	// stopCalls is the number of callers of reads, and also of charges.
	stopCalls = 100
	stopGrace = 2 * time.Second
)

// TestPlannedStopInterruptsNothing stops an instance with hundreds of open streams,
// reads and charges while callers continue to send requests. All open requests must
// complete, and later ones must be refused with the reason stopping.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Services: 2, Step: stopStep, StopGrace: stopGrace})
	load := &stopLoad{t: t, fleet: fleet, caller: bench.NewCaller(bench.Credential), history: bench.NewChargeHistory()}
	assert.NilError(t, fleet.SetFault(ctx, standin.Slow))
	load.start(ctx)
	for load.streaming.Load() < stopStreams && !t.Failed() {
		assert.NilError(t, ctx.Err())
		sleep(ctx, 10*time.Millisecond)
	}
	stopped := make(chan error, 1)
	load.group.Go(func() { load.pollReadiness(ctx) })
	load.group.Go(func() { stopped <- fleet.Entries[0].Stop(ctx) })
	load.group.Wait()
	assert.NilError(t, <-stopped)

	assert.Equal(t, load.completed.Load(), int32(stopStreams))
	assert.Equal(t, load.refusedStopping.Load(), int32(2*stopCalls))
	assert.Assert(t, load.answered.Load() >= 2*stopCalls, "%d", load.answered.Load())
	assert.Assert(t, load.servedInGrace.Load() > 0, "requests must be served after the instance became not ready")
	t.Logf("%d streams completed, %d calls answered, %d of them started after the instance became not ready", load.completed.Load(), load.answered.Load(), load.servedInGrace.Load())
	// The answers of the stopped instance, including the last ones, must remain
	// available to callers that repeat a request.
	assert.NilError(t, fleet.SetFault(ctx, ""))
	for _, recorded := range load.charges {
		repeated := load.history.Call(ctx, load.caller, fleet.Entries[2], recorded.charge, recorded.reply.Ticket, 0)
		assert.Equal(t, repeated.Body, recorded.reply.Body, "%s: %+v", recorded.charge, repeated)
	}
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.NilError(t, load.history.Check(runs))
}

// completedCharge is a charge and the reply that contains its answer.
type completedCharge struct {
	charge string
	reply  bench.Reply
}

// stopLoad sends requests to the first instance until it refuses them because it
// is stopping.
type stopLoad struct {
	t       *testing.T
	fleet   *bench.Fleet
	caller  *bench.Caller
	history *bench.ChargeHistory
	group   sync.WaitGroup

	// streaming and completed count streams. answered, refusedStopping and
	// servedInGrace count reads and charges; servedInGrace counts those that were
	// sent after the instance had become not ready.
	streaming, completed, answered, refusedStopping, servedInGrace atomic.Int32
	notReady                                                       atomic.Bool

	mu      sync.Mutex
	charges []completedCharge
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
		l.t.Errorf("a stream failed or was wrong after %d tokens: %v %s", len(r.Texts), err, r.Failure)
		return
	}
	l.completed.Add(1)
}

func (l *stopLoad) charge(ctx context.Context, charge string) bench.Reply {
	reply := l.history.Call(ctx, l.caller, l.fleet.Entries[0], charge, "", 0)
	if reply.Completed() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.charges = append(l.charges, completedCharge{charge, reply})
	}
	return reply
}

func (l *stopLoad) callUntilStopping(call func(n int) bench.Reply) {
	for n := 0; ; n++ {
		notReady := l.notReady.Load()
		reply := call(n)
		switch {
		case reply.Completed():
			l.answered.Add(1)
			if notReady {
				l.servedInGrace.Add(1)
			}
		case reply.Verdict == "not_run" && reply.Reason == "stopping" && reply.RetryAfter != "":
			l.refusedStopping.Add(1)
			if !l.notReady.Load() {
				l.t.Error("the instance refused work with reason stopping before it became not ready")
			}
			return
		default:
			l.t.Errorf("a call was neither answered nor refused with reason stopping: %+v", reply)
			return
		}
	}
}

// pollReadiness sets notReady when the readiness endpoint fails. Load balancers then
// send no new requests.
func (l *stopLoad) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil && !l.notReady.Load() {
		if _, err := l.fleet.Get(ctx, "http://"+l.fleet.Entries[0].Addr.String()+"/ready"); err != nil {
			l.notReady.Store(true)
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

// TestTicketsOutliveTheirHomesPlannedStop stops one instance after another as
// planned. Each hands over its ledger, the record of its tickets, to another
// instance. The tickets must work on all remaining instances until the holder of
// the ledger is killed.
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
			instances := []*bench.Process{p}
			repeated := chargeUntilDone(ctx, history, caller, instances, "ran", ran, 0)
			assert.Equal(t, repeated.Body, before.Body, "%+v", repeated)
			charge := fmt.Sprintf("fresh %d", i)
			done := chargeUntilDone(ctx, history, caller, instances, charge, fresh, 0)
			assert.Assert(t, done.Completed(), "%+v", done)
			assert.Equal(t, runsOf(ctx, t, fleet, charge), 1)
		}
	}
	// The heartbeats contain the holder of the ledgers for the restarted instances.
	for _, p := range fleet.Entries[:2] {
		assert.NilError(t, fleet.Restart(p))
	}
	assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
	repeated := chargeUntilDone(ctx, history, caller, fleet.Entries[:2], "ran", ran, 0)
	assert.Equal(t, repeated.Body, before.Body, "%+v", repeated)

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

// TestOtherDataCentreFindsTheSuccessor checks that the ticket of a stopped home also
// works in another data centre, which doesn't receive the heartbeats of the home's
// successor.
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

// TestFailedHandOver stops a home while the responses of its only peer don't reach
// it. No instance may run a charge with its tickets afterwards.
func TestFailedHandOver(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Services: 1, Proxies: true})
	caller, history := bench.NewCaller(bench.Credential), bench.NewChargeHistory()
	home, peer := fleet.Entries[0], fleet.Entries[1]
	ticket, err := caller.Mint(ctx, home, bench.PurchaseClass)
	assert.NilError(t, err)
	peer.PeerProxy.Set(home.IP, bench.SilenceAnswers)
	assert.NilError(t, home.Stop(ctx))
	peer.PeerProxy.Heal()
	reply := history.Call(ctx, caller, peer, "headset", ticket, 0)
	assert.Equal(t, reply.Verdict+" "+reply.Reason, "may_have_run home_gone", "%+v", reply)
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), 0)
	assert.NilError(t, history.Check(runs))
}
