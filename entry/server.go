package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// defaultIdleLimit is the maximum idle time of a caller's connection until a
	// routing table sets the limit.
	defaultIdleLimit = 60 * time.Second
	// idleMargin is added to the limit that callers see, so that a request sent
	// just before the limit still finds the connection open.
	idleMargin = 2 * time.Second
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the time between two sweeps that close idle connections.
	sweepInterval = 1 * time.Second
)

// idleConns tracks and closes idle connections of callers. It replaces the idle
// timeout of http.Server, which can't follow changes of the routing table.
type idleConns struct {
	mu sync.Mutex
	// since contains the time from which each idle connection has been idle.
	since map[net.Conn]time.Time
	// open is the number of connections, whether they are idle or not.
	open int
}

// track is the ConnState hook of http.Server.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	switch state {
	case http.StateIdle, http.StateNew:
		c.since[conn] = time.Now()
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(c.since, conn)
	}
}

// closeIdle closes the connections that have been idle since idleSince or
// longer.
func (c *idleConns) closeIdle(idleSince time.Time) {
	c.mu.Lock()
	var idle []net.Conn
	for conn, since := range c.since {
		if !since.After(idleSince) {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		// The connection is discarded whether or not closing it fails.
		_ = conn.Close()
	}
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	server   *http.Server
	listener *drainingListener
	idle     *idleConns
	// limit returns the maximum idle time of a connection, or 0 for the default.
	limit func() time.Duration
}

func listenCallers(addr netip.AddrPort, handler http.Handler, limit func() time.Duration) (*callerServer, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	idle := &idleConns{since: map[net.Conn]time.Time{}}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: idle.track,
		ErrorLog: discardLog(), DisableGeneralOptionsHandler: true,
	}
	return &callerServer{server, &drainingListener{TCPListener: listener}, idle, limit}, nil
}

// closeIdle closes connections that exceed the idle limit, until ctx ends.
func (c *callerServer) closeIdle(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			limit := defaultIdleLimit
			if tableLimit := c.limit(); tableLimit > 0 {
				limit = tableLimit + idleMargin
			}
			c.idle.closeIdle(now.Add(-limit))
		}
	}
}

// openCount returns the number of connections, whether they are idle or not.
func (c *idleConns) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// count returns the number of idle connections.
func (c *idleConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.since)
}
