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
		return nil, errorx.IllegalState.New("no plug-in sends calls to services")
	}
	router := &Router{rt: rt, dispatcher: &call.Dispatcher{Scheduler: rt, Client: services}}
	router.executor = NewExecutor(rt.Home, rt.Settings.DataCentre, rt.Keyring, router.dispatch, time.Now)
	rt.Provide(router)
	rt.OnHandOver(router.handOver)
	return nil, nil
}

// forwarder sends a call to the instance that holds the ledger of its ticket's home
// and returns the result.
type forwarder interface {
	RunTicket(ctx context.Context, t ticket.Ticket, text string, r call.Request) Result
}

// ledgerSender hands ledgers over to a live peer.
type ledgerSender interface {
	HandOver(ctx context.Context, handed []HandedLedger) (successor string, err error)
}

// Router runs calls under tickets: in this instance if it holds the ledger of the
// ticket's home, and otherwise through the peer that does.
type Router struct {
	rt         *kernel.Runtime
	dispatcher *call.Dispatcher
	executor   *Executor
}

// Mint issues a new ticket of this home for the team and class.
func (router *Router) Mint(team, class string) string { return router.executor.Mint(team, class) }

// Run verifies the ticket and runs the call under it, in this instance or in the
// holder of the ledger.
func (router *Router) Run(ctx context.Context, text string, r call.Request) Result {
	t, err := router.rt.Keyring.VerifyTicket(text)
	// All of these cases get the same answer, so that a caller can't find out
	// whether another team's ticket is valid.
	if err != nil || t.Team != r.Team || t.Class != r.Class {
		return *fail(verdict.NotRun, verdict.ForeignKey, "the idempotency key is not a ticket of this team and class")
	}
	if router.executor.HoldsLedger(t.Home) {
		return router.executor.Run(ctx, t, r)
	}
	peers, ok := kernel.Find[forwarder](router.rt)
	if !ok {
		return *fail(verdict.MayHaveRun, verdict.HomeUnavailable, "no plug-in connects to peers")
	}
	return peers.RunTicket(ctx, t, text, r)
}

// HoldsLedger reports whether this instance holds the home's ledger and so runs
// its tickets.
func (router *Router) HoldsLedger(home ident.Home) bool { return router.executor.HoldsLedger(home) }

// RunLocally runs a verified ticket whose ledger this instance should hold.
func (router *Router) RunLocally(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	return router.executor.Run(ctx, t, r)
}

// dispatch sends a call to a service. A refusal that comes from dispatch itself
// proves that the call had no effect.
func (router *Router) dispatch(ctx context.Context, r call.Request) (call.Answer, []string, error) {
	configuration := router.rt.Snapshot().Config
	if configuration == nil {
		return call.Answer{}, nil, verdict.Fail(verdict.NotRun, verdict.NotConfigured, "this instance has no configuration yet")
	}
	class, ok := configuration.Classes[r.Class]
	if !ok {
		return call.Answer{}, nil, verdict.Fail(verdict.NotRun, verdict.UnknownClass, "class %s is no longer configured", r.Class)
	}
	return router.dispatcher.Run(ctx, class, r)
}

// AdoptedHomes returns the homes whose ledgers this instance adopted.
func (router *Router) AdoptedHomes() []ident.Home { return router.executor.AdoptedHomes() }

// handOverRecord is the audit record of a handover of ledgers, written by both
// the former and the new holder.
type handOverRecord struct {
	Homes []ident.Home `json:"homes"`
	// Successor is the instance that received the ledgers, or may have received
	// them.
	Successor string `json:"successor,omitempty"`
	Error     string `json:"error,omitempty"`
}

func (router *Router) recordHandover(id event.ID, handed []HandedLedger, successor string, err error) {
	r := handOverRecord{Successor: successor}
	for _, h := range handed {
		r.Homes = append(r.Homes, h.Ledger.Home)
	}
	if err != nil {
		r.Error = err.Error()
	}
	router.rt.Trail.Append(id, "", r)
	router.rt.Log.Emit(id, "ledgers", len(handed), "successor", successor, "error", r.Error)
}

// Adopt adds the ledgers that a peer hands over in its planned stop.
func (router *Router) Adopt(handed []HandedLedger) error {
	err := router.executor.Adopt(handed)
	if err == nil {
		router.recordHandover(event.LedgerAdopted, handed, router.rt.Settings.Instance, nil)
	}
	return err
}

// handOver is a step of the planned stop. It gives up all ledgers and then sends
// them to a successor.
func (router *Router) handOver(ctx context.Context) {
	peers, ok := kernel.Find[ledgerSender](router.rt)
	handed := router.executor.Release()
	if !ok || len(handed) == 0 {
		return
	}
	successor, err := peers.HandOver(ctx, handed)
	router.recordHandover(event.LedgerHandedOver, handed, successor, err)
}
