// Package freshconn provides connections that carry one request each. They know
// whether any part of it was sent: a request of which nothing was sent can't have
// run, so it can be sent again even if it must not run twice. They also distinguish
// the end of a response from a reset during the request.
package freshconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/http1"
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

	// head checks the head of the response.
	head http1.Scanner
	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
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
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the server has closed the connection
// in an orderly way, and http1.ErrMalformed for a malformed head.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err := c.head.Scan(b[:n]); err != nil {
		return 0, err
	}
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error that ended the connection. The operating system
// reports a reset only once: if a write has received it, reads only see the end of the data.
func (c *Conn) endError() error {
	// A write in progress is about to receive the error, or waits for a server that reads no
	// more. A connection on which no deadline can be set is closed, which ends the write too.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		// EPIPE means that the reset came after the orderly end.
		return io.EOF
	}
	return c.writeErr
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
