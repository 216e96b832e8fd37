package charge

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/call"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "charge", Stage: kernel.StageFleet, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	services, ok := kernel.Find[call.ServiceClient](rt)
	if !ok {
		return nil, errorx.IllegalState.New("no plug-in runs calls")
	}
	c := &Router{rt: rt, dispatcher: &call.Dispatcher{Scheduler: rt, Client: services}}
	c.book = NewExecutor(rt.Home, rt.Settings.DataCentre, rt.Keyring, c.dispatch, time.Now)
	rt.Provide(c)
	rt.OnHandOver(c.handOver)
	return nil, nil
}

// forwarder asks another instance to run a ticket of its own.
type forwarder interface {
	RunTicket(ctx context.Context, t ticket.Ticket, text string, r call.Request) Result
}

// successors finds a live peer that takes ledgers over.
type successors interface {
	HandOver(ctx context.Context, handed []HandedLedger) (successor string, err error)
}

// Router takes tickets from callers and from peers.
type Router struct {
	rt         *kernel.Runtime
	dispatcher *call.Dispatcher
	book       *Executor
}

// Mint returns a new ticket of this home for the team and class.
func (c *Router) Mint(team, class string) string { return c.book.Mint(team, class) }

// Run runs the call under the ticket, here or at the ticket's home.
func (c *Router) Run(ctx context.Context, text string, r call.Request) Result {
	t, err := c.rt.Keyring.VerifyTicket(text)
	// One answer for all of these: nobody learns whether another's ticket is good.
	if err != nil || t.Team != r.Team || t.Class != r.Class {
		return *fail(verdict.NotRun, verdict.ForeignKey, "the idempotency key is no ticket of this team and class")
	}
	if c.book.HoldsLedger(t.Home) {
		return c.book.Run(ctx, t, r)
	}
	peers, ok := kernel.Find[forwarder](c.rt)
	if !ok {
		return *fail(verdict.MayHaveRun, verdict.HomeGone, "no plug-in speaks to peers")
	}
	return peers.RunTicket(ctx, t, text, r)
}

// HoldsLedger reports whether the tickets of the home are run here.
func (c *Router) HoldsLedger(home ident.Home) bool { return c.book.HoldsLedger(home) }

// RunLocally runs a verified ticket whose ledger should be here.
func (c *Router) RunLocally(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	return c.book.Run(ctx, t, r)
}

// dispatch sends a call to a service. What it refuses had no effect.
func (c *Router) dispatch(ctx context.Context, r call.Request) (call.Answer, []string, error) {
	view := c.rt.Snapshot().Config
	if view == nil {
		return call.Answer{}, nil, verdict.Fail(verdict.NotRun, verdict.NotConfigured, "no configuration yet")
	}
	class, ok := view.Classes[r.Class]
	if !ok {
		return call.Answer{}, nil, verdict.Fail(verdict.NotRun, verdict.UnknownClass, "class %s is no longer configured", r.Class)
	}
	return c.dispatcher.Run(ctx, class, r)
}

// AdoptedHomes returns the homes whose ledgers were handed to this instance.
func (c *Router) AdoptedHomes() []ident.Home { return c.book.AdoptedHomes() }

// handOverRecord is the audit record of ledgers that change their holder.
type handOverRecord struct {
	Homes []ident.Home `json:"homes"`
	// Successor is the peer that got them, or may have got them.
	Successor string `json:"successor,omitempty"`
	Error     string `json:"error,omitempty"`
}

func (c *Router) record(id event.ID, handed []HandedLedger, successor string, err error) {
	r := handOverRecord{Successor: successor}
	for _, h := range handed {
		r.Homes = append(r.Homes, h.Ledger.Home)
	}
	if err != nil {
		r.Error = err.Error()
	}
	c.rt.Trail.Append(id, "", r)
	c.rt.Log.Emit(id, "ledgers", len(handed), "successor", successor, "error", r.Error)
}

// Adopt takes the ledgers of a peer that stops by plan.
func (c *Router) Adopt(handed []HandedLedger) error {
	err := c.book.Adopt(handed)
	if err == nil {
		c.record(event.LedgerTaken, handed, c.rt.Settings.Instance, nil)
	}
	return err
}

// handOver is the step of the planned stop: it gives up the role of home, then
// hands over all that is held.
func (c *Router) handOver(ctx context.Context) {
	peers, ok := kernel.Find[successors](c.rt)
	handed := c.book.Release()
	if !ok || len(handed) == 0 {
		return
	}
	successor, err := peers.HandOver(ctx, handed)
	c.record(event.LedgerHandedOver, handed, successor, err)
}
