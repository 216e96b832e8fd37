package charge

import (
	"context"

	"github.com/joomcode/errorx"

	"mangoloft/call"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "charge", Stage: kernel.StageFleet, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	runner, ok := kernel.Find[call.Runner](rt)
	if !ok {
		return nil, errorx.IllegalState.New("no plug-in runs calls")
	}
	home := NewHome(rt.Home, rt.Settings.DataCentre, rt.Keyring, &call.Dispatcher{Placer: rt, Runner: runner})
	rt.Provide(&Charges{rt, home})
	return nil, nil
}

// forwarder asks another instance to run a ticket of its own.
type forwarder interface {
	RunTicket(ctx context.Context, home ident.Home, text string, r call.Request) Result
}

// Charges takes tickets from callers and from peers.
type Charges struct {
	rt   *kernel.Runtime
	home *Home
}

// Home returns the ledger of this instance.
func (c *Charges) Home() *Home { return c.home }

// Run runs the call under the ticket, here or at the ticket's home.
func (c *Charges) Run(ctx context.Context, text string, r call.Request) Result {
	t, err := c.rt.Keyring.VerifyTicket(text)
	if err != nil {
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.ForeignKey, "the idempotency key is not a ticket: %v", err)}
	}
	if t.Team != r.Team || t.Class != r.Class {
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.ForeignKey, "the ticket is for another team or class")}
	}
	if t.Home == c.rt.Home {
		return c.RunHere(ctx, t, r)
	}
	peers, ok := kernel.Find[forwarder](c.rt)
	if !ok {
		return Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "no plug-in speaks to peers")}
	}
	return peers.RunTicket(ctx, t.Home, text, r)
}

// RunHere runs a verified ticket of this home.
func (c *Charges) RunHere(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	view := c.rt.Snapshot().Config
	if view == nil {
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.NotConfigured, "no configuration yet")}
	}
	class, ok := view.Classes[t.Class]
	if !ok {
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.UnknownClass, "class %s is no longer configured", t.Class)}
	}
	return c.home.Run(ctx, t, class, r)
}
