// Package call defines calls to plain services, which answer with one complete
// response, and dispatches them to upstreams.
package call

import (
	"time"

	"mangoloft/ident"
)

// Request is one call.
type Request struct {
	ID          ident.Request
	Team        string
	Class       string
	ContentType string
	Body        []byte
	// Deadline is the time at which the caller stops waiting for the answer. A
	// call must not be sent after it.
	Deadline time.Time
}

// Answer is a service's complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Upstream is the name of the service that returned the answer.
	Upstream string
}
