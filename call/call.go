// Package call holds the plain structs of one call to a plain service, as they
// pass between the caller's side, the home of a ticket and the service's side.
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
	// Deadline is when nobody waits for the answer any more. A call that is
	// not sent by then is not sent at all.
	Deadline time.Time
}

// Answer is a service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Upstream names the service that gave it.
	Upstream string
}
