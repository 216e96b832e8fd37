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

// chargeFleet starts a fleet with two data centres, each with two entry instances
// and a service, and with proxies.
func chargeFleet(t *testing.T) (*bench.Fleet, context.Context, *bench.Caller) {
	t.Helper()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Services: 1, Proxies: true})
	return fleet, ctx, bench.NewCaller(bench.Credential)
}

// silentHomeTimeout is the documented maximum response time for a request with a
// ticket whose home does not respond. The normal time is much shorter, so that the
// tests also pass on a busy machine.
const silentHomeTimeout = 14 * time.Second

// chargeCaseTimeout is the timeout of one case of TestCharges. It is shorter than
// the timeout of the fleet, so that a failed case doesn't fail the others.
const chargeCaseTimeout = 40 * time.Second

// describedReplies is the number of replies that a failed case prints.
const describedReplies = 20

// runsOf returns the number of runs of the charge on all services.
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

// chargeUntilDone sends the charge to the instances in turn until its whole answer
// arrives or the verdict is that it ran. If a ticket is closed, it continues with
// the next one.
func chargeUntilDone(ctx context.Context, h *bench.ChargeHistory, c *bench.Caller, instances []*bench.Process, charge, ticket string, attempt int) bench.Reply {
	for i := 0; ; i++ {
		reply := h.Call(ctx, c, instances[i%len(instances)], charge, ticket, attempt)
		if reply.Completed() || reply.Verdict == "ran" || ctx.Err() != nil {
			return reply
		}
		if reply.Ticket != "" && reply.Ticket != ticket {
			ticket, attempt = reply.Ticket, attempt+1
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// chargeCase is the input of one case of TestCharges: a charge and its ticket. The
// home of the ticket is the first entry instance.
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
		"killed home is reported at once":                    homeKilled,
		"frozen home is reported and recovers":               homeFrozen,
		"silent connection is replaced":                      connectionBlackholed,
		"delayed request for a refused ticket has no effect": delayedTicket,
		"failing services run nothing twice":                 serviceFaults,
		"lost answer is kept":                                lostAnswer,
		"home cut off from one instance answers another":     homeCutOffFromOne,
		"cut between data centres is bypassed":               remoteInstanceCutOff,
	}
	fleet, ctx, caller := chargeFleet(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
			ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(ctx, chargeCaseTimeout)
			defer cancel()
			c := chargeCase{t, fleet, caller, bench.NewChargeHistory(), ticket, "headset: " + name}
			defer func() {
				if t.Failed() {
					t.Logf("the last replies:\n%s", c.h.DescribeReplies(describedReplies))
				}
			}()
			c.waitForLinks(ctx)
			defer fleet.Entries[0].PeerProxy.Heal()
			test(ctx, c)
			runs, err := fleet.Runs(ctx)
			assert.NilError(t, err)
			assert.NilError(t, c.h.Check(runs))
		})
	}
}

// call makes one request for the case's charge through p.
func (c chargeCase) call(ctx context.Context, p *bench.Process, ticket string, attempt int) bench.Reply {
	return c.h.Call(ctx, c.caller, p, c.charge, ticket, attempt)
}

// waitForLinks waits until every instance has a working connection to the home.
func (c chargeCase) waitForLinks(ctx context.Context) {
	c.Helper()
	for i, p := range c.fleet.Entries[1:] {
		ticket, err := c.caller.Mint(ctx, c.fleet.Entries[0], bench.PurchaseClass)
		assert.NilError(c, err)
		done := chargeUntilDone(ctx, c.h, c.caller, []*bench.Process{p}, fmt.Sprint(c.charge, ", link ", i), ticket, 0)
		assert.Assert(c, done.Completed(), "%+v", done)
	}
}

// assertRuns checks the number of runs of the case's charge on all services.
func (c chargeCase) assertRuns(ctx context.Context, runs int) {
	c.Helper()
	assert.Equal(c, runsOf(ctx, c.T, c.fleet, c.charge), runs)
}

func homeKilled(ctx context.Context, c chargeCase) {
	c.fleet.Entries[0].Kill()
	for _, p := range c.fleet.Entries[1:] {
		reply := c.call(ctx, p, c.ticket, 0)
		assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
		assert.Equal(c, reply.Ticket, c.ticket)
		assert.Assert(c, reply.Elapsed < silentHomeTimeout, reply.Elapsed)
	}
	// The next incarnation is not the home of its predecessor's tickets.
	assert.NilError(c, c.fleet.Restart(c.fleet.Entries[0]))
	assert.NilError(c, c.fleet.WaitReady(ctx, time.Now().Add(30*time.Second)))
	for _, p := range c.fleet.Entries {
		reply := c.call(ctx, p, c.ticket, 0)
		assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	}
	c.assertRuns(ctx, 0)
}

func homeFrozen(ctx context.Context, c chargeCase) {
	home := c.fleet.Entries[0]
	assert.NilError(c, home.Freeze(ctx))
	reply := c.call(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	assert.Assert(c, reply.Elapsed < silentHomeTimeout, reply.Elapsed)
	assert.NilError(c, home.Signal(syscall.SIGCONT))
	ctx, cancel := context.WithTimeout(ctx, silentHomeTimeout)
	defer cancel()
	done := chargeUntilDone(ctx, c.h, c.caller, c.fleet.Entries[1:], c.charge, c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.assertRuns(ctx, 1)
}

func connectionBlackholed(ctx context.Context, c chargeCase) {
	otherTicket, err := c.caller.Mint(ctx, c.fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(c, err)
	// This charge opens the connection that the proxy then blackholes.
	assert.Assert(c, c.h.Call(ctx, c.caller, c.fleet.Entries[1], c.charge+", another", otherTicket, 0).Completed())
	c.fleet.Entries[0].PeerProxy.BlackholeOpen()
	reply := c.call(ctx, c.fleet.Entries[1], c.ticket, 0)
	assert.Assert(c, reply.Completed(), "%+v", reply)
	c.assertRuns(ctx, 1)
}

// delayedTicket delays a forwarded request until the home has refused another
// request with the same ticket.
func delayedTicket(ctx context.Context, c chargeCase) {
	home, peer := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(peer.IP, bench.SilenceRequests)
	reply := c.call(ctx, peer, c.ticket, 0)
	assert.Equal(c, reply.Verdict, "may_have_run", "%+v", reply)
	assert.NilError(c, c.fleet.SetFault(ctx, standin.Refuse))
	refused := c.call(ctx, home, c.ticket, 0)
	assert.Equal(c, refused.Verdict, "not_run", "%+v", refused)
	assert.Assert(c, refused.Ticket != c.ticket, "the ticket must be closed")
	assert.NilError(c, c.fleet.SetFault(ctx, ""))
	home.PeerProxy.Heal()
	closed := c.call(ctx, peer, c.ticket, 0)
	for closed.Reason == "home_gone" && ctx.Err() == nil {
		closed = c.call(ctx, peer, c.ticket, 0)
	}
	assert.Equal(c, closed.Verdict+" "+closed.Reason, "not_run ticket_closed")
	c.assertRuns(ctx, 0)
	done := chargeUntilDone(ctx, c.h, c.caller, []*bench.Process{peer, home}, c.charge, refused.Ticket, 1)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.assertRuns(ctx, 1)
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
			repeated := c.h.Call(ctx, c.caller, c.fleet.Entries[3], charge, reply.Ticket, 0)
			assert.Equal(c, repeated.Verdict+" "+repeated.Reason, test.want, "%s: %+v", fault, repeated)
			assert.Equal(c, repeated.Status, reply.Status)
			assert.Equal(c, repeated.Verdict != "" || repeated.Body == reply.Body, true, "%s: %+v", fault, repeated)
		}
		assert.Equal(c, runsOf(ctx, c.T, c.fleet, charge), test.runs, "%s", fault)
	}
}

// lostAnswer delays the home's response to the instance that forwarded a charge
// until that instance has reported the home as unavailable (home_gone).
func lostAnswer(ctx context.Context, c chargeCase) {
	home, peer := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(peer.IP, bench.SilenceAnswers)
	reply := c.call(ctx, peer, c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	home.PeerProxy.Heal()
	done := chargeUntilDone(ctx, c.h, c.caller, c.fleet.Entries[1:], c.charge, c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.assertRuns(ctx, 1)
}

func homeCutOffFromOne(ctx context.Context, c chargeCase) {
	home, peer := c.fleet.Entries[0], c.fleet.Entries[1]
	home.PeerProxy.Set(peer.IP, bench.Cut)
	reply := c.call(ctx, peer, c.ticket, 0)
	assert.Equal(c, reply.Verdict+" "+reply.Reason, "may_have_run home_gone")
	done := c.call(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	home.PeerProxy.Heal()
	repeated := chargeUntilDone(ctx, c.h, c.caller, []*bench.Process{peer}, c.charge, c.ticket, 0)
	assert.Equal(c, repeated.Body, done.Body)
}

// remoteInstanceCutOff cuts one instance of the other data centre off from the
// home. The other instance there can still reach the home.
func remoteInstanceCutOff(ctx context.Context, c chargeCase) {
	c.fleet.Entries[0].PeerProxy.Set(c.fleet.Entries[2].IP, bench.Cut)
	done := c.call(ctx, c.fleet.Entries[2], c.ticket, 0)
	assert.Assert(c, done.Completed(), "%+v", done)
	c.assertRuns(ctx, 1)
}

const (
	// callTimeout is the documented maximum time from the arrival of a call to its
	// answer. A forwarded call must not run after it.
	callTimeout = 15 * time.Second
	// wakeMargin is the time from the latest possible deadline of the forwarded call
	// to the time at which the home wakes.
	wakeMargin = 2 * time.Second
	// forwardingTime is more than the time in which an instance forwards a call that
	// it has received.
	forwardingTime = time.Second
)

const (
	// freezeTimes is the number of times at which TestHomeFrozenDuringCall freezes
	// the home, from the start of a call on in steps of freezeStep.
	freezeTimes = 16
	freezeStep  = 125 * time.Microsecond
	// freezeTime is longer than a service keeps a connection open without a request.
	freezeTime = 1500 * time.Millisecond
)

// TestHomeFrozenDuringCall freezes the home at different times after a charge was
// sent, and checks that the charge completes after it wakes. In particular, the home
// may be frozen between connecting to the service and sending the call, and the
// service then closes the connection.
func TestHomeFrozenDuringCall(t *testing.T) {
	t.Parallel()
	fleet, ctx, caller := chargeFleet(t)
	home := fleet.Entries[0]
	for i := range freezeTimes {
		c := chargeCase{t, fleet, caller, bench.NewChargeHistory(), mustMint(ctx, t, caller, home), fmt.Sprint("headset ", i)}
		c.waitForLinks(ctx)
		var group sync.WaitGroup
		group.Go(func() { c.call(ctx, fleet.Entries[2], c.ticket, 0) })
		sleep(ctx, time.Duration(i)*freezeStep)
		assert.NilError(t, home.Signal(syscall.SIGSTOP))
		sleep(ctx, freezeTime)
		assert.NilError(t, home.Signal(syscall.SIGCONT))
		askCtx, cancel := context.WithTimeout(ctx, silentHomeTimeout)
		done := chargeUntilDone(askCtx, c.h, caller, fleet.Entries[1:], c.charge, c.ticket, 0)
		cancel()
		group.Wait()
		assert.Assert(t, done.Completed(), "frozen after %v: %+v, the last replies:\n%s", time.Duration(i)*freezeStep, done, c.h.DescribeReplies(describedReplies))
		c.assertRuns(ctx, 1)
	}
}

// TestHomeThatWakesLateRunsNothing checks that a home runs no forwarded charge after
// its deadline. The home is frozen before the request is forwarded, and resumes
// after the deadline. The forwarding instance is frozen too, so that it doesn't
// close the connection.
func TestHomeThatWakesLateRunsNothing(t *testing.T) {
	t.Parallel()
	fleet, ctx, caller := chargeFleet(t)
	home, history := fleet.Entries[0], bench.NewChargeHistory()
	ticket, err := caller.Mint(ctx, home, bench.PurchaseClass)
	assert.NilError(t, err)
	assert.NilError(t, home.Freeze(ctx))
	forwarder := fleet.Entries[1]
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { history.Call(ctx, caller, forwarder, "headset", ticket, 0) })
	eventually(t, "the forwarder has received the call", func() bool {
		status, err := fleet.Status(ctx, forwarder)
		return err == nil && status.OpenRequests > 0
	})
	sleep(ctx, forwardingTime)
	assert.NilError(t, forwarder.Freeze(ctx))
	// The forwarder received the call before now, so its deadline is at most
	// callTimeout away.
	sleep(ctx, callTimeout+wakeMargin)
	assert.NilError(t, home.Signal(syscall.SIGCONT))
	// Once later charges have completed, the home has processed the forwarded request.
	for i := range 10 {
		done := chargeUntilDone(ctx, history, caller, fleet.Entries[2:], fmt.Sprint("later ", i), mustMint(ctx, t, caller, home), 0)
		assert.Assert(t, done.Completed(), "%+v", done)
	}
	assert.Equal(t, runsOf(ctx, t, fleet, "headset"), 0)
	assert.NilError(t, forwarder.Signal(syscall.SIGCONT))
	group.Wait()
	done := chargeUntilDone(ctx, history, caller, fleet.Entries[1:], "headset", ticket, 0)
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

// TestChargesUnderRandomFaults checks a history of charges through all instances
// while homes are killed, frozen, stopped as planned and cut off, connections are
// blackholed, and services fail.
func TestChargesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	const workers, faults = 8, 10
	seed := chargeSeed(t)
	fleet, ctx, caller := chargeFleet(t)
	w := &chargeLoad{fleet: fleet, caller: caller, history: bench.NewChargeHistory()}
	loadCtx, end := context.WithCancel(ctx)
	defer end()
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() { w.run(ctx, loadCtx, rand.New(rand.NewPCG(seed, uint64(worker)+1)), worker) })
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range faults {
		sleep(ctx, time.Duration(random.IntN(200))*time.Millisecond)
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

// chargeSeed returns the seed in MANGOLOFT_SEED, or 1 if it is not set.
func chargeSeed(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv("MANGOLOFT_SEED")
	if value == "" {
		return 1
	}
	seed, err := strconv.ParseUint(value, 10, 64)
	assert.NilError(t, err)
	return seed
}

// chargeLoad makes charges and retries them as callers do.
type chargeLoad struct {
	fleet   *bench.Fleet
	caller  *bench.Caller
	history *bench.ChargeHistory

	charges, answered atomic.Int32
}

var callFaults = []standin.ServiceFault{standin.Refuse, standin.FailAfterRun, standin.Drop, standin.DropAnswer, standin.CutAnswer, standin.WrongRequestID, standin.Slow}

// maxRequests is the maximum number of requests of a caller for one charge.
const maxRequests = 4

// chargeInterval is the pause of a worker between charges. It limits the load.
const chargeInterval = 20 * time.Millisecond

// run makes charges until loadCtx ends.
func (w *chargeLoad) run(ctx, loadCtx context.Context, random *rand.Rand, worker int) {
	for i := 0; loadCtx.Err() == nil; i++ {
		charge := fmt.Sprintf("headset %d/%d", worker, i)
		if random.IntN(4) == 0 {
			charge += " fault=" + string(callFaults[random.IntN(len(callFaults))])
		}
		w.charge(ctx, random, charge)
		sleep(ctx, chargeInterval)
	}
}

func (w *chargeLoad) charge(ctx context.Context, random *rand.Rand, charge string) {
	ticket, err := w.caller.Mint(ctx, w.randomEntry(random), bench.PurchaseClass)
	if err != nil {
		return // The instance is unavailable, and nothing was charged.
	}
	w.charges.Add(1)
	for attempt, requests := 0, 0; requests < maxRequests; requests++ {
		var group sync.WaitGroup
		if random.IntN(8) == 0 {
			// In one of eight cases the caller makes a second request concurrently.
			p := w.randomEntry(random)
			group.Go(func() { w.history.Call(ctx, w.caller, p, charge, ticket, attempt) })
		}
		reply := w.history.Call(ctx, w.caller, w.randomEntry(random), charge, ticket, attempt)
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

func (w *chargeLoad) randomEntry(random *rand.Rand) *bench.Process {
	return w.fleet.Entries[random.IntN(len(w.fleet.Entries))]
}

// injectFault injects a random fault into the fleet and reverts it, except for
// blackholed connections, after a random time.
func injectFault(ctx context.Context, fleet *bench.Fleet, random *rand.Rand) {
	p, peer := fleet.Entries[random.IntN(len(fleet.Entries))], fleet.Entries[random.IntN(len(fleet.Entries))]
	duration := time.Duration(100+random.IntN(1500)) * time.Millisecond
	switch random.IntN(7) {
	case 0:
		p.Kill()
		sleep(ctx, duration/4)
		_ = fleet.Restart(p) // After a failed restart the instance never responds.
	case 6:
		_ = p.Stop(ctx) // After a failed stop charges remain without answers.
		_ = fleet.Restart(p)
	case 1:
		_ = p.Signal(syscall.SIGSTOP)
		sleep(ctx, 2*duration)
		_ = p.Signal(syscall.SIGCONT)
	case 2:
		p.PeerProxy.Set(peer.IP, bench.Cut)
		sleep(ctx, duration)
		p.PeerProxy.Heal()
	case 3:
		p.PeerProxy.Set(peer.IP, bench.SilenceAnswers)
		sleep(ctx, 2*duration)
		p.PeerProxy.Heal()
	case 4:
		p.PeerProxy.BlackholeOpen()
	case 5:
		fleet.Services[random.IntN(len(fleet.Services))].Proxy.Set(p.IP, bench.SilenceAnswers)
		sleep(ctx, duration)
		for _, service := range fleet.Services {
			service.Proxy.Heal()
		}
	}
}
