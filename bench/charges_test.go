package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/standin"
)

// chargeFleet is a fleet for charges: two data centres with two entry instances
// and a service each, and proxies between all.
func chargeFleet(t *testing.T) (*bench.Fleet, context.Context, *bench.Caller) {
	t.Helper()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Services: 1, Proxies: true})
	return fleet, ctx, bench.NewCaller(bench.Credential)
}

// silentHomeLimit is the stated bound on an answer about a home that is silent.
// The test allows a busy machine far more than the instance takes.
const silentHomeLimit = 14 * time.Second

func runsOf(ctx context.Context, t *testing.T, fleet *bench.Fleet, charge string) int {
	t.Helper()
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	count := 0
	for _, run := range runs {
		if run.Body == charge {
			count++
		}
	}
	return count
}

// askUntilDone goes on with the charge until it has its whole answer or it is
// said to have run. It goes through another instance each time.
func askUntilDone(ctx context.Context, h *bench.ChargeHistory, c *bench.Caller, through []*bench.Process, charge, ticket string, attempt int) bench.Reply {
	for i := 0; ; i++ {
		reply := h.Call(ctx, c, through[i%len(through)], charge, ticket, attempt)
		if reply.Completed() || reply.Verdict == "ran" || ctx.Err() != nil {
			return reply
		}
		if reply.Ticket != "" && reply.Ticket != ticket {
			ticket, attempt = reply.Ticket, attempt+1
		}
		wait(ctx, 50*time.Millisecond)
	}
}

func wait(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// chargeCase is one case of TestCharges: a ticket of the first entry instance,
// and the charge to make with it.
type chargeCase struct {
	*testing.T
	fleet  *bench.Fleet
	caller *bench.Caller
	h      *bench.ChargeHistory
	ticket string
	charge string
}

func TestCharges(t *testing.T) {
	t.Parallel()
	tests := map[string]func(context.Context, chargeCase){
		"a home that is gone is told of at once":          homeGone,
		"a home that is frozen is told of, and wakes":     homeFrozen,
		"a connection that went silent is replaced":       connectionForgotten,
		"a refused ticket held up on the way is dead":     heldUpTicket,
		"services that fail run nothing twice":            serviceFaults,
		"an answer lost on the way back is kept":          lostAnswer,
		"a home that is cut off from one, asked by other": cutBetween,
		"a cut between data centres is gone around":       cutCentres,
	}
	fleet, ctx, caller := chargeFleet(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
			ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
			assert.NilError(t, err)
			c := chargeCase{t, fleet, caller, bench.NewChargeHistory(), ticket, "headset: " + name}
			c.useLinks(ctx)
			defer fleet.Entries[0].PeerProxy.Heal()
			test(ctx, c)
			runs, err := fleet.Runs(ctx)
			assert.NilError(t, err)
			assert.NilError(t, c.h.Check(runs))
		})
	}
}

// ask makes one request of the case's charge through p.
func (c chargeCase) ask(ctx context.Context, p *bench.Process, ticket string, attempt int) bench.Reply {
	return c.h.Call(ctx, c.caller, p, c.charge, ticket, attempt)
}

// useLinks waits until every instance reaches the ticket's home.
func (c chargeCase) useLinks(ctx context.Context) {
	c.Helper()
	for i, p := range c.fleet.Entries[1:] {
		ticket, err := c.caller.Mint(ctx, c.fleet.Entries[0], bench.PurchaseClass)
		assert.NilError(c, err)
		done := askUntilDone(ctx, c.h, c.caller, []*bench.Process{p}, fmt.Sprint(c.charge, ", link ", i), ticket, 0)
		assert.Assert(c, done.Completed(), "%+v", done)
	}
}

// wantRuns checks how often the services ran the case's charge.
func (c chargeCase) wantRuns(ctx context.Context, runs int) {
	c.Helper()
	assert.Equal(c, runsOf(ctx, c.T, c.fleet, c.charge), runs)
}

func homeGone(ctx context.Context, c chargeCase) {
	c.fleet.Entries[0].Kill()
	for _, p := range c.fleet.Entries[1:] {
		reply := c.ask(ctx, p, c.ticket, 0)
		assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
		assert.Equal(c, reply.Ticket, c.ticket)
		assert.Assert(c, reply.Took < silentHomeLimit, reply.Took)
	}
	// Its next incarnation is not its home.
	assert.NilError(c, c.fleet.Restart(c.fleet.Entries[0]))
	assert.NilError(c, c.fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
	for _, p := range c.fleet.Entries {
		reply := c.ask(ctx, p, c.ticket, 0)
		assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	}
	c.wantRuns(ctx, 0)
}

func homeFrozen(ctx context.Context, c chargeCase) {
	home := c.fleet.Entries[0]
	assert.NilError(c, home.Signal(syscall.SIGSTOP))
	reply := c.ask(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	assert.Assert(c, reply.Took < silentHomeLimit, reply.Took)
	assert.NilError(c, home.Signal(syscall.SIGCONT))
	done := askUntilDone(ctx, c.h, c.caller, c.fleet.Entries[1:], c.charge, c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.wantRuns(ctx, 1)
}

func connectionForgotten(ctx context.Context, c chargeCase) {
	first, err := c.caller.Mint(ctx, c.fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(c, err)
	// The link is open and in use before it is forgotten.
	assert.Assert(c, c.h.Call(ctx, c.caller, c.fleet.Entries[1], c.charge+", another", first, 0).Completed())
	c.fleet.Entries[0].PeerProxy.ForgetOpen()
	reply := c.ask(ctx, c.fleet.Entries[1], c.ticket, 0)
	assert.Assert(c, reply.Completed(), "%+v", reply)
	c.wantRuns(ctx, 1)
}

// heldUpTicket holds a forwarded ticket in the network, has the home refuse the
// same ticket meanwhile, and lets the held one arrive afterwards.
func heldUpTicket(ctx context.Context, c chargeCase) {
	home, other := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(other.IP, bench.SilenceRequests)
	reply := c.ask(ctx, other, c.ticket, 0)
	assert.Equal(c, reply.Verdict, "may_have_run", "%+v", reply)
	assert.NilError(c, c.fleet.SetFault(ctx, standin.Refuse))
	refused := c.ask(ctx, home, c.ticket, 0)
	assert.Equal(c, refused.Verdict, "not_run", "%+v", refused)
	assert.Assert(c, refused.Ticket != c.ticket, "the ticket is still open")
	assert.NilError(c, c.fleet.SetFault(ctx, ""))
	home.PeerProxy.Heal()
	closed := c.ask(ctx, other, c.ticket, 0)
	for closed.Reason == "home_gone" && ctx.Err() == nil {
		closed = c.ask(ctx, other, c.ticket, 0)
	}
	assert.Equal(c, closed.Verdict+" "+closed.Reason, "not_run ticket_closed")
	c.wantRuns(ctx, 0)
	done := askUntilDone(ctx, c.h, c.caller, []*bench.Process{other, home}, c.charge, refused.Ticket, 1)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.wantRuns(ctx, 1)
}

func serviceFaults(ctx context.Context, c chargeCase) {
	tests := map[standin.ServiceFault]struct {
		want string
		runs int
	}{
		standin.Refuse:         {"not_run upstream_refused", 0},
		standin.FailAfterRun:   {"may_have_run upstream_failed", 1},
		standin.Redirect:       {"may_have_run upstream_failed", 1},
		standin.Drop:           {"may_have_run upstream_lost", 0},
		standin.DropAnswer:     {"may_have_run upstream_lost", 1},
		standin.CutAnswer:      {"may_have_run upstream_lost", 1},
		standin.WrongRequestID: {"may_have_run answer_mismatch", 1},
		standin.Slow:           {" ", 1},
		standin.Decline:        {" ", 1},
	}
	for fault, test := range tests {
		charge := c.charge + " fault=" + string(fault)
		reply := c.h.Call(ctx, c.caller, c.fleet.Entries[0], charge, "", 0)
		assert.Equal(c, reply.Verdict+" "+reply.Reason, test.want, "%s: %+v", fault, reply)
		if test.runs > 0 {
			again := c.h.Call(ctx, c.caller, c.fleet.Entries[3], charge, reply.Ticket, 0)
			assert.Equal(c, again.Verdict+" "+again.Reason, test.want, "%s: %+v", fault, again)
			assert.Equal(c, again.Status, reply.Status)
			assert.Equal(c, again.Verdict != "" || again.Body == reply.Body, true, "%s: %+v", fault, again)
		}
		assert.Equal(c, runsOf(ctx, c.T, c.fleet, charge), test.runs, "%s", fault)
	}
}

// lostAnswer loses the service's answer to one charge, and the home's answer to
// the forwarder of another.
func lostAnswer(ctx context.Context, c chargeCase) {
	home, other := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(other.IP, bench.SilenceAnswers)
	reply := c.ask(ctx, other, c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	home.PeerProxy.Heal()
	done := askUntilDone(ctx, c.h, c.caller, c.fleet.Entries[1:], c.charge, c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.wantRuns(ctx, 1)
}

func cutBetween(ctx context.Context, c chargeCase) {
	home, other := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(other.IP, bench.Cut)
	reply := c.ask(ctx, other, c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	done := c.ask(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	home.PeerProxy.Heal()
	again := askUntilDone(ctx, c.h, c.caller, []*bench.Process{other}, c.charge, c.ticket, 0)
	assert.Equal(c, again.Body, done.Body)
}

// cutCentres cuts one instance of the other data centre off from the home, which
// its neighbour still reaches.
func cutCentres(ctx context.Context, c chargeCase) {
	c.fleet.Entries[0].PeerProxy.Set(c.fleet.Entries[2].IP, bench.Cut)
	done := c.ask(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.wantRuns(ctx, 1)
}

// frozenFor is longer than a call may take from its arrival.
const frozenFor = 17 * time.Second

// TestHomeThatWakesLateRunsNothing freezes a home with a forwarded ticket in its
// hands until nobody waits for it any more. The forwarder is frozen too, so that
// the link stays as it is.
func TestHomeThatWakesLateRunsNothing(t *testing.T) {
	t.Parallel()
	fleet, ctx, caller := chargeFleet(t)
	home, history := fleet.Entries[0], bench.NewChargeHistory()
	ticket, err := caller.Mint(ctx, home, bench.PurchaseClass)
	assert.NilError(t, err)
	assert.NilError(t, home.Signal(syscall.SIGSTOP))
	frozenAt := time.Now()
	forwarder := fleet.Entries[1]
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { history.Call(ctx, caller, forwarder, "headset", ticket, 0) })
	wait(ctx, time.Second)
	assert.NilError(t, forwarder.Signal(syscall.SIGSTOP))
	wait(ctx, time.Until(frozenAt.Add(frozenFor)))
	assert.NilError(t, home.Signal(syscall.SIGCONT))
	// What it held has been looked at once later tickets are through.
	for i := range 10 {
		done := askUntilDone(ctx, history, caller, fleet.Entries[2:], fmt.Sprint("later ", i), mustMint(ctx, t, caller, home), 0)
		assert.Assert(t, done.Completed(), "%+v", done)
	}
	assert.Equal(t, runsOf(ctx, t, fleet, "headset"), 0)
	assert.NilError(t, forwarder.Signal(syscall.SIGCONT))
	group.Wait()
	done := askUntilDone(ctx, history, caller, fleet.Entries[1:], "headset", ticket, 0)
	assert.Assert(t, done.Completed(), "%+v", done)
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.NilError(t, history.Check(runs))
}

func mustMint(ctx context.Context, t *testing.T, caller *bench.Caller, p *bench.Process) string {
	t.Helper()
	ticket, err := caller.Mint(ctx, p, bench.PurchaseClass)
	assert.NilError(t, err)
	return ticket
}

// TestChargesUnderRandomFaults charges through all instances while homes die,
// freeze, stop by plan, are cut off and are forgotten, and services fail.
func TestChargesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	const workers, faults = 8, 10
	seed := chargeSeed(t)
	fleet, ctx, caller := chargeFleet(t)
	w := &chargeLoad{fleet: fleet, caller: caller, history: bench.NewChargeHistory()}
	over, end := context.WithCancel(ctx)
	defer end()
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() { w.run(ctx, over, rand.New(rand.NewPCG(seed, uint64(worker)+1)), worker) })
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range faults {
		wait(ctx, time.Duration(random.IntN(200))*time.Millisecond)
		injectFault(ctx, fleet, random)
	}
	end()
	group.Wait()
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	t.Logf("seed %d: %d charges, %d answered, %d runs, %d faults", seed, w.charges.Load(), w.answered.Load(), len(runs), faults)
	assert.Assert(t, w.answered.Load() > 0)
	assert.NilError(t, w.history.Check(runs))
}

// chargeSeed returns the seed of the run: 1, unless MANGOLOFT_SEED has another.
func chargeSeed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("MANGOLOFT_SEED")
	if text == "" {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// chargeLoad makes charges and asks again, as callers do.
type chargeLoad struct {
	fleet   *bench.Fleet
	caller  *bench.Caller
	history *bench.ChargeHistory

	charges, answered atomic.Int32
}

var callFaults = []standin.ServiceFault{standin.Refuse, standin.FailAfterRun, standin.Drop, standin.DropAnswer, standin.CutAnswer, standin.WrongRequestID, standin.Slow}

// maxAsks is how often a caller asks before it leaves a charge as unknown.
const maxAsks = 4

// chargePause keeps the load small.
const chargePause = 20 * time.Millisecond

// run charges until over ends.
func (w *chargeLoad) run(ctx, over context.Context, random *rand.Rand, worker int) {
	for i := 0; over.Err() == nil; i++ {
		charge := fmt.Sprintf("headset %d/%d", worker, i)
		if random.IntN(4) == 0 {
			charge += " fault=" + string(callFaults[random.IntN(len(callFaults))])
		}
		w.charge(ctx, random, charge)
		wait(ctx, chargePause)
	}
}

func (w *chargeLoad) charge(ctx context.Context, random *rand.Rand, charge string) {
	ticket, err := w.caller.Mint(ctx, w.through(random), bench.PurchaseClass)
	if err != nil {
		return // The instance is gone; nothing was charged.
	}
	w.charges.Add(1)
	for attempt, asked := 0, 0; asked < maxAsks; asked++ {
		var group sync.WaitGroup
		if random.IntN(8) == 0 {
			// An impatient caller asks twice at once.
			p := w.through(random)
			group.Go(func() { w.history.Call(ctx, w.caller, p, charge, ticket, attempt) })
		}
		reply := w.history.Call(ctx, w.caller, w.through(random), charge, ticket, attempt)
		group.Wait()
		if reply.Completed() {
			w.answered.Add(1)
			return
		}
		if reply.Ticket != "" && reply.Ticket != ticket {
			ticket, attempt = reply.Ticket, attempt+1
		}
	}
}

func (w *chargeLoad) through(random *rand.Rand) *bench.Process {
	return w.fleet.Entries[random.IntN(len(w.fleet.Entries))]
}

// injectFault puts a fault on the fleet for a while, and takes it back.
func injectFault(ctx context.Context, fleet *bench.Fleet, random *rand.Rand) {
	p, other := fleet.Entries[random.IntN(len(fleet.Entries))], fleet.Entries[random.IntN(len(fleet.Entries))]
	length := time.Duration(100+random.IntN(1500)) * time.Millisecond
	switch random.IntN(7) {
	case 0:
		p.Kill()
		wait(ctx, length/4)
		_ = fleet.Restart(p) // What fails here shows as an instance that never answers.
	case 6:
		_ = p.Stop(ctx) // What doesn't end shows as charges that nobody answers.
		_ = fleet.Restart(p)
	case 1:
		_ = p.Signal(syscall.SIGSTOP)
		wait(ctx, 2*length)
		_ = p.Signal(syscall.SIGCONT)
	case 2:
		p.PeerProxy.Set(other.IP, bench.Cut)
		wait(ctx, length)
		p.PeerProxy.Heal()
	case 3:
		p.PeerProxy.Set(other.IP, bench.SilenceAnswers)
		wait(ctx, 2*length)
		p.PeerProxy.Heal()
	case 4:
		p.PeerProxy.ForgetOpen()
	case 5:
		fleet.Services[random.IntN(len(fleet.Services))].Proxy.Set(p.IP, bench.SilenceAnswers)
		wait(ctx, length)
		for _, service := range fleet.Services {
			service.Proxy.Heal()
		}
	}
}
