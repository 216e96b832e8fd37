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
	services, ok := kernel.Find[call.Runner](rt)
	if !ok {
		return nil, errorx.IllegalState.New("no plug-in runs calls")
	}
	c := &Charges{rt: rt, dispatcher: &call.Dispatcher{Placer: rt, Runner: services}}
	c.book = NewBook(rt.Home, rt.Settings.DataCentre, rt.Keyring, c.dispatch, time.Now)
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
	HandOver(ctx context.Context, handed []Handed) (successor string, err error)
}

// Charges takes tickets from callers and from peers.
type Charges struct {
	rt         *kernel.Runtime
	dispatcher *call.Dispatcher
	book       *Book
}

// Mint returns a new ticket of this home for the team and class.
func (c *Charges) Mint(team, class string) string { return c.book.Mint(team, class) }

// Run runs the call under the ticket, here or at the ticket's home.
func (c *Charges) Run(ctx context.Context, text string, r call.Request) Result {
	t, err := c.rt.Keyring.VerifyTicket(text)
	// One answer for all of these: nobody learns whether another's ticket is good.
	if err != nil || t.Team != r.Team || t.Class != r.Class {
		return *fail(verdict.NotRun, verdict.ForeignKey, "the idempotency key is no ticket of this team and class")
	}
	if c.book.Holds(t.Home) {
		return c.book.Run(ctx, t, r)
	}
	peers, ok := kernel.Find[forwarder](c.rt)
	if !ok {
		return *fail(verdict.MayHaveRun, verdict.HomeGone, "no plug-in speaks to peers")
	}
	return peers.RunTicket(ctx, t, text, r)
}

// Holds reports whether the tickets of the home are run here.
func (c *Charges) Holds(home ident.Home) bool { return c.book.Holds(home) }

// RunHere runs a verified ticket whose ledger should be here.
func (c *Charges) RunHere(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	return c.book.Run(ctx, t, r)
}

// dispatch sends a call to a service. What it refuses had no effect.
func (c *Charges) dispatch(ctx context.Context, r call.Request) (call.Answer, []string, error) {
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

// Held returns the homes whose ledgers were handed to this instance.
func (c *Charges) Held() []ident.Home { return c.book.Held() }

// handOverRecord is the audit record of ledgers that change their holder.
type handOverRecord struct {
	Homes []ident.Home `json:"homes"`
	// Successor is the peer that got them, or may have got them.
	Successor string `json:"successor,omitempty"`
	Error     string `json:"error,omitempty"`
}

func (c *Charges) record(id event.ID, handed []Handed, successor string, err error) {
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
func (c *Charges) Adopt(handed []Handed) error {
	err := c.book.Adopt(handed)
	if err == nil {
		c.record(event.LedgerTaken, handed, c.rt.Settings.Instance, nil)
	}
	return err
}

// handOver is the step of the planned stop: it gives up the role of home, then
// hands over all that is held.
func (c *Charges) handOver(ctx context.Context) {
	peers, ok := kernel.Find[successors](c.rt)
	handed := c.book.Release()
	if !ok || len(handed) == 0 {
		return
	}
	successor, err := peers.HandOver(ctx, handed)
	c.record(event.LedgerHandedOver, handed, successor, err)
}
