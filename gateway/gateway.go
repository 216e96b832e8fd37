package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangoloft/bodies"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/freshconn"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/telemetry"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

// Dispatcher chooses an upstream for each request and receives what the gateway
// observes of upstreams.
type Dispatcher interface {
	// Snapshot returns the current routing table and upstreams.
	Snapshot() *dispatch.Snapshot
	// AwaitOrders waits until this instance knows which data centres are evacuated, if the
	// process was stopped for a while.
	AwaitOrders(ctx context.Context)
	// Place waits for a placement of the request. End must be called for each
	// placed request.
	Place(ctx context.Context, r decide.Request) (dispatch.Placement, error)
	// StreamOrigin returns the origin of a stream that a caller takes up in a pool.
	StreamOrigin(ctx context.Context, pool string, stream origin.Key, since time.Time) decide.StreamOrigin
	// RecordOrigin records the version that began a stream.
	RecordOrigin(stream origin.Key, version string)
	// StartMove waits for another upstream for a placed request. The excluded
	// upstreams are not chosen.
	StartMove(ctx context.Context, id ident.Request, excluded []string) (dispatch.Placement, error)
	// StartOptionalMove is like StartMove for a request that can stay where it is.
	StartOptionalMove(ctx context.Context, id ident.Request) (dispatch.Placement, error)
	// EndMove ends a move and reports whether the request has moved.
	EndMove(id ident.Request, moved bool)
	// Answered reports that the header of a stream has arrived.
	Answered(id ident.Request)
	// Progress reports the number of tokens that a request has generated so far, and its pace
	// since the previous report.
	Progress(id ident.Request, tokens int, pace decide.Pace)
	// End reports that a request is finished.
	End(id ident.Request, tokens int, o verdict.Outcome)
	// ReportFailure reports that a request failed on an upstream.
	ReportFailure(id ident.Request, name string, r verdict.Reason)
	// HandleReport submits an upstream's load report.
	HandleReport(name string, r decide.Report)
	// ReportPace submits how long work takes at an engine, as it declared in a response.
	ReportPace(r decide.PaceReported)
	// ReportCold submits for how long an upstream declared in a response that it is cold.
	ReportCold(r decide.ColdReported)
	// ReportLimit submits the limit that an upstream declared in a response, or that
	// it declared none.
	ReportLimit(r decide.LimitReported)
	// ReportBrittle submits what an upstream declared in a response about the rejections
	// that it bears.
	ReportBrittle(e decide.BrittleReported)
	// ReportCoordinatorFailed reports that a request could not be sent through the
	// coordinator of an upstream.
	ReportCoordinatorFailed(e decide.CoordinatorFailed)
	// ReportEnded reports that the process of an upstream has ended.
	ReportEnded(e decide.UpstreamEnded)
	// ReportPushBack reports that an upstream wants no requests from this instance for
	// a while.
	ReportPushBack(e decide.PushedBack)
	// ReportMisdirected reports that another incarnation responds at the
	// address of an upstream.
	ReportMisdirected(id string, startUnixMS int64)
	// ReportLeaving reports that an incarnation of an upstream is leaving.
	ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source)
}

// Origins are the streams that other instances know.
type Origins interface {
	// FindOrigin returns the version that began a stream, if any other instance knows it.
	FindOrigin(ctx context.Context, stream origin.Key) (version string, known bool)
}

// Past finds out what has happened to the upstreams that this instance may not have seen.
type Past interface {
	// ReadList makes the list of upstreams contain all changes until a time in the past. It
	// reports whether that succeeded.
	ReadList(ctx context.Context, until time.Time) bool
	// Extend reads which upstreams served before. It reports whether all are known now.
	Extend(ctx context.Context) bool
	// FindRun returns the version of the engine of a service that reports a run.
	FindRun(ctx context.Context, service, run string) (version string, known bool)
}

// Options configure a Gateway.
type Options struct {
	Home ident.Home
	// DataCentre is the instance's data centre.
	DataCentre string
	Dispatcher Dispatcher
	Protocol   Protocol
	Engines    EngineClient
	Origins    Origins
	// Past is nil if nothing is known of the past.
	Past Past
	// Members are the instances that can serve requests if this one is cut off; nil if
	// there are none.
	Members Members
	// IgnoresRanks reports whether the ranks of routes and teams have no effect; nil stands for no.
	IgnoresRanks func() bool
	// Dial opens connections to upstreams; nil for the network of the operating system.
	Dial    freshconn.Dial
	Log     *event.Log
	Metrics *telemetry.Metrics
	// MaxBodyBytes is the maximum total size of the bodies of requests and responses
	// and the events of streams that are buffered concurrently.
	MaxBodyBytes int64
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	Options
	transport http.RoundTripper
	// sequence is the sequence number of the last request ID.
	sequence atomic.Uint64
	// memory is the memory for the buffered bodies and events.
	memory   *bodies.Memory
	draining atomic.Bool
	// stopsAt is the time at which the planned stop ends; nil if there is none.
	stopsAt atomic.Pointer[time.Time]
	// open is the parent of the contexts of all requests, which interrupt cancels.
	open      context.Context
	interrupt context.CancelCauseFunc
	// aborting reports whether Abort has been called.
	aborting atomic.Bool

	mu        sync.Mutex
	openCount int
	// idle is the channel returned by Idle; nil if nothing waits for it.
	idle chan struct{}
}

// New returns a gateway with the options o.
func New(o Options) *Gateway {
	if o.Dial == nil {
		o.Dial = NewDialer().DialContext
	}
	g := &Gateway{Options: o, transport: newTransport(o.Dial), memory: bodies.NewMemory(o.MaxBodyBytes)}
	g.open, g.interrupt = context.WithCancelCause(context.Background())
	return g
}

func (g *Gateway) requestStarted() {
	g.mu.Lock()
	g.openCount++
	g.mu.Unlock()
}

func (g *Gateway) requestEnded() {
	g.mu.Lock()
	g.openCount--
	if g.openCount == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	g.mu.Unlock()
}

// OpenRequests returns the number of requests in progress.
func (g *Gateway) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openCount
}

// Drain makes the gateway close connections after each response, so that
// callers open new ones to other instances. The gateway still serves requests,
// except new streams that can't be resumed.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Abort records that the instance closes the connections of its callers, because its
// planned stop ends or a part of it has failed. Requests that are cut off from then on
// are logged as cut off by the instance, not by their callers.
func (g *Gateway) Abort() { g.aborting.Store(true) }

// Idle returns a channel that is closed once no request is in progress.
func (g *Gateway) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	done := make(chan struct{})
	if g.openCount == 0 {
		close(done)
		return done
	}
	if g.idle == nil {
		g.idle = done
	}
	return g.idle
}
