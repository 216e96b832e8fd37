// Package gateway passes callers' requests on to upstreams unchanged: it
// recognises a request, asks for a place, sends it, and brings back the answer
// or the events, over as many upstreams as the route allows.
package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/upstream"
)

// Ask is what a caller says of its request beside method, path and body.
type Ask struct {
	// ID names this one try of the caller.
	ID string
	// Deadline is when the caller stops waiting; zero when it didn't say.
	Deadline   time.Time
	Credential string
	// PromptTokens and MaxOutputTokens size a generation; 0 when not told.
	PromptTokens, MaxOutputTokens int
	// LastEvent is the id of the last event that the caller has of the stream.
	LastEvent string
}

// Order is what an upstream is told beside the caller's own headers.
type Order struct {
	// Deadline is when the upstream should stop its work.
	Deadline time.Time
	// Instance is the upstream that is meant. Any other refuses.
	Instance string
	// Team is whose request it is; empty where credentials aren't used.
	Team string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// From is the copy of a run's memory to go on from.
	From Handle
	// Backup is where the run's memory is copied to as it grows.
	Backup netip.AddrPort
}

// Handle names a copy of a run's memory.
type Handle struct {
	// Addr is the upstream that gave the handle.
	Addr netip.AddrPort
	Name string
}

// Load is an upstream's load as it says with an answer.
type Load struct{ Running, Waiting, Slots int }

// Answer is what an upstream says with the head of its answer.
type Answer struct {
	// ID is that of the request which it answers.
	ID string
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// NotRun is the upstream's word that it did not run the request.
	NotRun bool
	// Misdirected says that another upstream answers at the address.
	Misdirected bool
	Load        *Load
}

// Protocol translates between the product's terms and the headers that callers
// and upstreams use.
type Protocol interface {
	Ask(h http.Header, received time.Time) (Ask, error)
	// UpstreamHeader returns the headers for an upstream.
	UpstreamHeader(caller http.Header, o Order, now time.Time) http.Header
	Answer(status int, h http.Header) Answer
	// CallerHeader returns the headers of an upstream's answer for the caller.
	CallerHeader(h http.Header) http.Header
}

// Copy is a copy of a run's memory at another engine.
type Copy struct {
	Handle Handle
	// Events is how many the run had made.
	Events int
}

var (
	copyErrors = errorx.NewNamespace("copy")
	// ErrNoRun says that the engine has no such run at the moment.
	ErrNoRun = copyErrors.NewType("no_run")
	// ErrCopying says that another copy of the run is under way.
	ErrCopying = copyErrors.NewType("under_way")
	// ErrNoRoom says that the destination has no room or can't be reached.
	ErrNoRoom = copyErrors.NewType("no_room")
)

// Engines speaks to model engines beside requests.
type Engines interface {
	Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error)
	// Copy copies the memory of a run to another engine, and returns once the
	// copy is complete. With stop the run ends first.
	Copy(ctx context.Context, engine netip.AddrPort, run string, to netip.AddrPort, stop bool) (Copy, error)
	// Discard frees a copy.
	Discard(ctx context.Context, h Handle) error
}
