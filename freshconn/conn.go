// Package freshconn provides connections that carry one request each and know
// whether any part of it was sent. A request of which nothing was sent can't have
// run, so it can be sent again even if it must not run twice.
package freshconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// maxUnused is the maximum time from the opening of a connection to the first byte
// of its request. It passes only if the process was paused in between. By then the
// server may have closed the connection, and a request sent on it would be lost
// without a sign of whether it ran.
const maxUnused = 500 * time.Millisecond

// ErrUnusedTooLong is returned by the first write on a connection that was open for
// longer than maxUnused. Nothing is sent.
var ErrUnusedTooLong = errorx.TimeoutElapsed.New("the connection was open for too long before the request")

// Conn is a connection for one request.
type Conn struct {
	net.Conn
	unusedUntil time.Time
	written     atomic.Bool
}

// New returns a connection that was opened at the given time.
func New(conn net.Conn, openedAt time.Time) *Conn {
	return &Conn{Conn: conn, unusedUntil: openedAt.Add(maxUnused)}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.written.Load() {
		if time.Now().After(c.unusedUntil) {
			return 0, ErrUnusedTooLong
		}
		c.written.Store(true)
	}
	return c.Conn.Write(b)
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DialContext returns the dial function of an http.Transport.
func DialContext(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(conn, time.Now()), nil
	}
}

// Use tells whether a request was sent.
type Use struct {
	conn atomic.Pointer[Conn]
	// unknown is true if the request got a connection of another type.
	unknown atomic.Bool
}

// Watch returns a context for one request, and its use of a connection.
func Watch(ctx context.Context) (context.Context, *Use) {
	use := &Use{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*Conn)
		if !ok {
			use.unknown.Store(true)
			return
		}
		use.conn.Store(conn)
	}}), use
}

// Sent reports whether any part of the request may have been sent. After
// http.Transport.RoundTrip has returned an error, the connection is closed and the
// result no longer changes.
func (u *Use) Sent() bool {
	conn := u.conn.Load()
	return u.unknown.Load() || conn != nil && conn.written.Load()
}
