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
	// defaultIdle bounds a connection without a request until a routing table
	// says how long callers may keep one.
	defaultIdle = 60 * time.Second
	// idleMargin is added to the limit that callers are told, so that their
	// last request still finds the connection open.
	idleMargin = 2 * time.Second
	// headTimeout bounds the head of a request.
	headTimeout = 10 * time.Second
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes  = 64 << 10
	sweepInterval = 1 * time.Second
)

// idleConns closes the connections of callers that are idle for too long. The
// server's own limit can't follow the routing table.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// track is a hook for http.Server.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle, http.StateNew:
		c.since[conn] = time.Now()
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(c.since, conn)
	}
}

// sweep closes those that are idle since a time or longer.
func (c *idleConns) sweep(idleSince time.Time) {
	c.mu.Lock()
	var idle []net.Conn
	for conn, since := range c.since {
		if !since.After(idleSince) {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		// The connection is of no use whatever the closing says.
		_ = conn.Close()
	}
}

// callers is the server for callers.
type callers struct {
	server   *http.Server
	listener net.Listener
	idle     *idleConns
	// limit says how long a connection may be idle.
	limit func() time.Duration
}

func listenCallers(addr netip.AddrPort, handler http.Handler, limit func() time.Duration) (*callers, error) {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	idle := &idleConns{since: map[net.Conn]time.Time{}}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headTimeout, MaxHeaderBytes: maxHeadBytes, ConnState: idle.track,
		ErrorLog: discardLog(),
	}
	return &callers{server, listener, idle, limit}, nil
}

// sweep closes idle connections until ctx ends.
func (c *callers) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			limit := defaultIdle
			if told := c.limit(); told > 0 {
				limit = told + idleMargin
			}
			c.idle.sweep(now.Add(-limit))
		}
	}
}

// count returns how many are idle.
func (c *idleConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.since)
}
