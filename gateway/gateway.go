package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/telemetry"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

// Dispatcher gives requests their places and takes what they tell of upstreams.
type Dispatcher interface {
	Snapshot() *dispatch.Snapshot
	Place(ctx context.Context, r decide.Request) (dispatch.Placement, error)
	Relocate(ctx context.Context, id ident.Request, avoid []string) (dispatch.Placement, error)
	Relocated(id ident.Request, moved bool)
	Progress(id ident.Request, tokens int)
	End(id ident.Request, tokens int, o verdict.Outcome)
	Failed(name string, r verdict.Reason)
	Reported(name string, r decide.Report)
	Misdirected(id string, born int64)
	Leaving(id string, born int64, leavesAt time.Time, source upstream.Source)
}

// Options are what a gateway is made of.
type Options struct {
	Home       ident.Home
	Dispatcher Dispatcher
	Protocol   Protocol
	Engines    Engines
	Log        *event.Log
	Metrics    *telemetry.Metrics
	// MaxBodies bounds the bytes of all bodies that are held at once.
	MaxBodies int64
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	Options
	transport *http.Transport
	sequence  atomic.Uint64
	bodies    atomic.Int64
	stopping  atomic.Bool

	mu   sync.Mutex
	open int
	idle chan struct{}
}

// New returns a gateway.
func New(o Options) *Gateway { return &Gateway{Options: o, transport: newTransport()} }

func (g *Gateway) begin() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

func (g *Gateway) end() {
	g.mu.Lock()
	g.open--
	if g.open == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	g.mu.Unlock()
}

// Open returns how many requests are under way.
func (g *Gateway) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Stop makes the gateway ask callers to use other connections, for a planned
// stop. Requests are still served.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Idle returns a channel that is closed once no request is under way.
func (g *Gateway) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	done := make(chan struct{})
	if g.open == 0 {
		close(done)
		return done
	}
	if g.idle == nil {
		g.idle = done
	}
	return g.idle
}
