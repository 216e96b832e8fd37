// Package gateway proxies callers' requests to upstreams unchanged. It matches
// the route, gets a placement from the dispatcher, sends the request, and
// returns the response or relays its events, using as many upstreams as the
// route allows.
//
// A run is one execution of a streamed generation on a model engine. An engine
// that drains leaves, that is, exits, after a short time. The gateway moves the
// engine's runs before that: it has their KV caches copied to another engine
// and continues the streams there.
package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/prompt"
	"mangoloft/upstream"
)

// RequestInfo contains the values of a request's headers.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Deadline is the time at which the caller stops waiting; zero if not given.
	Deadline   time.Time
	Credential string
	// PromptTokens and MaxOutputTokens are the size of a generation; 0 if not
	// given.
	PromptTokens, MaxOutputTokens int
	// Resumes is the ID of the caller's attempt that began the stream which this one takes
	// up; empty if not given.
	Resumes string
	// SharedParts are the parts of the prompt that other requests may have too, in
	// order; nil if not given. The last part belongs to the request itself and is not
	// included.
	SharedParts []prompt.Part
	// LastEventID is the ID of the last event of the stream that the caller has
	// received.
	LastEventID string
}

// AttemptInfo contains the values that the gateway adds to the caller's headers
// when it sends a request to an upstream.
type AttemptInfo struct {
	// Deadline is the time at which the upstream should stop working on the
	// request.
	Deadline time.Time
	// Upstream names the intended upstream. Any other must refuse the request.
	Upstream string
	// Team is the team that sent the request; empty where credentials aren't
	// used.
	Team string
	// LastEventID is the ID of the event after which a stream continues.
	LastEventID string
	// Priority is the rank of the request among those of the service, 0 to 9, the most
	// urgent first, if HasPriority is true. Otherwise all have the same rank.
	Priority    int
	HasPriority bool
	// ResumeFrom is the copy of a run's KV cache from which the run continues.
	ResumeFrom KVHandle
	// BackupAddr is the address to which the run's KV cache is copied as it
	// grows.
	BackupAddr netip.AddrPort
}

// KVHandle identifies a copy of a run's KV cache.
type KVHandle struct {
	// Addr is the upstream that issued the handle.
	Addr netip.AddrPort
	Name string
}

// Load is an upstream's load as reported in a response.
type Load struct {
	Running, Waiting, Slots int
	// PacePercent is how long work takes at the moment, in percent of the usual time; 0 if
	// the upstream does not declare it.
	PacePercent float64
}

// ResponseInfo contains the values of the status and headers of an upstream's
// response.
type ResponseInfo struct {
	// ID is the ID of the answered request.
	ID string
	// Signed reports whether the response has the upstream's signature.
	Signed bool
	// NotRun reports whether the response declares that the upstream did not
	// run the request.
	NotRun bool
	// Misdirected reports whether the response came from another upstream than
	// the intended one.
	Misdirected bool
	// Load is nil if the response contains no load.
	Load *Load
	// HasLimit reports whether the upstream declares a limit. Limit is the number of
	// requests per second that it accepts from all instances together; nil if there is
	// none or it could not be decoded.
	HasLimit bool
	Limit    *float64
	// RetryAt is the time before which the upstream wants no requests from this
	// instance; zero if it declares none.
	RetryAt time.Time
	// MaxRejections is the number of requests that the upstream can reject in a second for
	// want of room before it fails, as it declares; 0 if it declares none.
	MaxRejections int
	// ColdUntil is the time until which the upstream declares to be cold; zero if it declares
	// none.
	ColdUntil time.Time
	// Leaving reports whether the upstream declares that it is leaving.
	Leaving bool
	// Malformed describes the headers that could not be decoded and were ignored; nil
	// if there are none.
	Malformed error
}

// Protocol translates between RequestInfo, AttemptInfo and ResponseInfo and the
// headers that callers and upstreams use.
type Protocol interface {
	ParseRequest(h http.Header, received time.Time) (RequestInfo, error)
	// UpstreamHeader returns the request headers for an upstream.
	UpstreamHeader(callerHeader http.Header, attempt AttemptInfo, now time.Time) http.Header
	// MemberHeader returns the request headers for another instance, which handles the
	// request as the caller sent it, but with the attempt's deadline and last event.
	MemberHeader(callerHeader http.Header, attempt AttemptInfo, now time.Time) http.Header
	ParseResponse(status int, h http.Header, received time.Time) ResponseInfo
	// CallerHeader returns the headers of an upstream's response for the
	// caller, including the ID and the signature: another instance may have to check them.
	CallerHeader(h http.Header) http.Header
}

// KVCopy is a copy of a run's KV cache on another engine.
type KVCopy struct {
	Handle KVHandle
	// Events is the number of events that the run had produced when it was
	// copied.
	Events int
}

var (
	copyErrors = errorx.NewNamespace("copy")
	// ErrRunNotFound means that the engine does not currently have the run.
	ErrRunNotFound = copyErrors.NewType("no_run")
	// ErrCopyInProgress means that another copy of the run is in progress.
	ErrCopyInProgress = copyErrors.NewType("under_way")
	// ErrNoCapacity means that the destination has no capacity or can't be
	// reached.
	ErrNoCapacity = copyErrors.NewType("no_room")
)

// EngineClient makes calls to model engines that are not part of a request.
type EngineClient interface {
	Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error)
	// CopyKV copies a run's KV cache to another engine and returns once the
	// copy is complete. If stop is set, the engine stops the run first.
	CopyKV(ctx context.Context, engine netip.AddrPort, run string, destination netip.AddrPort, stop bool) (KVCopy, error)
	// DiscardCopy frees a copy.
	DiscardCopy(ctx context.Context, h KVHandle) error
}
