package charge_test

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// instance is an executor whose calls go to a scripted service.
type instance struct {
	t        *testing.T
	home     ident.Home
	now      time.Time
	keyring  *ticket.Keyring
	executor *charge.Executor
	runs     atomic.Int32
	// fault is the error that the service's calls return.
	fault error
	// gate, if not nil, blocks calls until it is closed.
	gate chan struct{}
	// answer is the body of the service's answers.
	answer []byte
}

func newInstance(t *testing.T, name byte) *instance {
	t.Helper()
	keyring, err := ticket.NewKeyring([]ticket.Key{{ID: "k", Secret: bytes.Repeat([]byte{1}, ticket.MinSecretBytes)}})
	assert.NilError(t, err)
	in := &instance{t: t, now: time.Now(), keyring: keyring, answer: []byte("done")}
	in.home = ident.Home{Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, name}), 1), Incarnation: 7}
	in.executor = charge.NewExecutor(in.home, "dc1", keyring, in.call, func() time.Time { return in.now })
	return in
}

func (in *instance) call(_ context.Context, _ call.Request) (call.Answer, []string, error) {
	if in.gate != nil {
		<-in.gate
	}
	if verdict.OutcomeOf(in.fault).Verdict != verdict.NotRun {
		in.runs.Add(1)
	}
	return call.Answer{Status: 200, Body: in.answer}, nil, in.fault
}

func (in *instance) run(text, body string) charge.Result {
	in.t.Helper()
	t, err := in.keyring.VerifyTicket(text)
	assert.NilError(in.t, err)
	return in.executor.Run(context.Background(), t, call.Request{
		ID: ident.Request{Home: in.home, Sequence: 1}, Body: []byte(body), Deadline: in.now.Add(time.Minute),
	})
}

// check checks one result and the number of calls that the service has run so far.
func (in *instance) check(r charge.Result, v verdict.Verdict, reason verdict.Reason, runs int32) charge.Result {
	in.t.Helper()
	outcome := verdict.OutcomeOf(r.Err)
	assert.Equal(in.t, outcome.Verdict, v, outcome.Detail)
	assert.Equal(in.t, outcome.Reason, reason, outcome.Detail)
	assert.Equal(in.t, in.runs.Load(), runs)
	return r
}

var (
	errRefused = verdict.Fail(verdict.NotRun, verdict.NoUpstream, "none")
	errLost    = verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "lost")
)

func TestExecutor(t *testing.T) {
	tests := map[string]func(*instance, string){
		"a repeated request gets the kept answer": func(in *instance, text string) {
			in.check(in.run(text, "a"), verdict.Ran, verdict.Completed, 1)
			repeated := in.check(in.run(text, "a"), verdict.Ran, verdict.Completed, 1)
			assert.Equal(in.t, string(repeated.Answer.Body), "done")
			assert.Equal(in.t, repeated.RanAs.Home, in.home)
		},
		"a lost answer is not followed by a second run": func(in *instance, text string) {
			in.fault = errLost
			in.check(in.run(text, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 1)
			in.fault = nil
			in.check(in.run(text, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 1)
		},
		"a different body is refused and changes nothing": func(in *instance, text string) {
			in.run(text, "a")
			in.check(in.run(text, "b"), verdict.NotRun, verdict.ForeignKey, 1)
			in.check(in.run(text, "a"), verdict.Ran, verdict.Completed, 1)
		},
		"a refused ticket is closed and its retry ticket runs": func(in *instance, text string) {
			in.fault = errRefused
			retryTicket := in.check(in.run(text, "a"), verdict.NotRun, verdict.NoUpstream, 0).RetryTicket
			in.fault = nil
			// A delayed copy of the refused request arrives.
			delayed := in.check(in.run(text, "a"), verdict.NotRun, verdict.TicketClosed, 0)
			assert.Equal(in.t, delayed.RetryTicket, retryTicket)
			in.check(in.run(retryTicket, "a"), verdict.Ran, verdict.Completed, 1)
			in.check(in.run(text, "a"), verdict.NotRun, verdict.TicketClosed, 1)
			in.check(in.run(retryTicket, "a"), verdict.Ran, verdict.Completed, 1)
		},
		"a request after its deadline does nothing": func(in *instance, text string) {
			t, err := in.keyring.VerifyTicket(text)
			assert.NilError(in.t, err)
			delayed := in.executor.Run(context.Background(), t, call.Request{Deadline: in.now.Add(-time.Second)})
			assert.Equal(in.t, in.check(delayed, verdict.NotRun, verdict.WaitExpired, 0).RetryTicket, "")
			in.check(in.run(text, "a"), verdict.Ran, verdict.Completed, 1)
		},
		"an expired ticket stays closed when the clock is set back": func(in *instance, text string) {
			in.now = in.now.Add(61 * time.Minute)
			in.check(in.run(text, "a"), verdict.NotRun, verdict.TicketExpired, 0)
			in.now = in.now.Add(-61 * time.Minute)
			in.check(in.run(text, "a"), verdict.NotRun, verdict.TicketClosed, 0)
		},
		"a run is recorded past the expiry of its ticket, and later reported as unknown, never as not run": func(in *instance, text string) {
			in.run(text, "a")
			in.now = in.now.Add(61 * time.Minute)
			in.check(in.run(text, "a"), verdict.Ran, verdict.Completed, 1)
			for range 64 {
				in.executor.Mint("reef", "top_up")
			}
			in.now = in.now.Add(62 * time.Minute)
			in.executor.Mint("reef", "top_up")
			in.now = in.now.Add(121 * time.Minute)
			in.executor.Mint("reef", "top_up")
			in.check(in.run(text, "a"), verdict.MayHaveRun, verdict.TicketExpired, 1)
		},
		"the total size of kept answers is limited": func(in *instance, text string) {
			in.answer = make([]byte, 3<<20)
			in.run(text, "a")
			for range 3 {
				in.run(in.executor.Mint("reef", "top_up"), "b")
			}
			in.check(in.run(text, "a"), verdict.Ran, verdict.AlreadyRan, 4)
		},
		"a ticket of a home whose ledger is not held may have run": func(in *instance, _ string) {
			other := newInstance(in.t, 2)
			in.check(in.run(other.executor.Mint("reef", "top_up"), "a"), verdict.MayHaveRun, verdict.HomeUnavailable, 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, 1)
			test(in, in.executor.Mint("reef", "top_up"))
		})
	}
}

// TestConcurrentRequestsRunOnce checks that concurrent requests with one ticket run
// the call once and all get its result.
func TestConcurrentRequestsRunOnce(t *testing.T) {
	in := newInstance(t, 1)
	in.gate = make(chan struct{})
	text := in.executor.Mint("reef", "top_up")
	const callers = 50
	results := make([]charge.Result, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { results[i] = in.run(text, "a") })
	}
	close(in.gate)
	group.Wait()
	for _, result := range results {
		in.check(result, verdict.Ran, verdict.Completed, 1)
	}
}
