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

// RequestInfo is what a caller says of its request beside method, path and body.
type RequestInfo struct {
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

// AttemptInfo is what an upstream is told beside the caller's own headers.
type AttemptInfo struct {
	// Deadline is when the upstream should stop its work.
	Deadline time.Time
	// Upstream is the upstream that is meant. Any other refuses.
	Upstream string
	// Team is whose request it is; empty where credentials aren't used.
	Team string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// ResumeFrom is the copy of a run's memory to go on from.
	ResumeFrom KVHandle
	// BackupAddr is where the run's memory is copied to as it grows.
	BackupAddr netip.AddrPort
}

// KVHandle names a copy of a run's memory.
type KVHandle struct {
	// Addr is the upstream that gave the handle.
	Addr netip.AddrPort
	Name string
}

// Load is an upstream's load as it says with an answer.
type Load struct{ Running, Waiting, Slots int }

// ResponseInfo is what an upstream says with the head of its answer.
type ResponseInfo struct {
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
	ParseRequest(h http.Header, received time.Time) (RequestInfo, error)
	// UpstreamHeader returns the headers for an upstream.
	UpstreamHeader(caller http.Header, o AttemptInfo, now time.Time) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerHeader returns the headers of an upstream's answer for the caller.
	CallerHeader(h http.Header) http.Header
}

// KVCopy is a copy of a run's memory at another engine.
type KVCopy struct {
	Handle KVHandle
	// Events is how many the run had made.
	Events int
}

var (
	copyErrors = errorx.NewNamespace("copy")
	// ErrRunNotFound says that the engine has no such run at the moment.
	ErrRunNotFound = copyErrors.NewType("no_run")
	// ErrCopyInProgress says that another copy of the run is under way.
	ErrCopyInProgress = copyErrors.NewType("under_way")
	// ErrNoCapacity says that the destination has no room or can't be reached.
	ErrNoCapacity = copyErrors.NewType("no_room")
)

// EngineClient speaks to model engines beside requests.
type EngineClient interface {
	Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error)
	// Copy copies the memory of a run to another engine, and returns once the
	// copy is complete. With stop the run ends first.
	CopyKV(ctx context.Context, engine netip.AddrPort, run string, to netip.AddrPort, stop bool) (KVCopy, error)
	// Discard frees a copy.
	DiscardCopy(ctx context.Context, h KVHandle) error
}
