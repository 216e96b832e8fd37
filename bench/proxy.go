package bench

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkFault is a network fault that a proxy applies to connections.
type LinkFault uint8

const (
	// Pass forwards all data.
	Pass LinkFault = iota
	// Cut resets open and new connections.
	Cut
	// Silence delays all data, in both directions, until the fault ends. Connections
	// stay open.
	Silence
	// SilenceAnswers delays only data from the target.
	SilenceAnswers
	// SilenceRequests delays only data to the target.
	SilenceRequests
)

// Proxy is a TCP proxy in front of one listener, the target. It injects faults into
// its connections by source address: every process of a fleet dials from its own IP
// address.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	group    sync.WaitGroup
	stop     context.CancelFunc
	stopped  context.Context

	mu     sync.Mutex
	faults map[netip.Addr]LinkFault
	delay  time.Duration
	links  map[*link]bool
	// changed is closed and replaced when a fault changes.
	changed  chan struct{}
	accepted int
}

// link is one connection through a proxy, from the client to the target.
type link struct {
	source         netip.Addr
	client, server net.Conn
	// blackholed links never forward data again.
	blackholed bool
}

// AllSources stands for every source address without a fault of its own.
var AllSources netip.Addr

// NewProxy listens on addr and forwards to target. Port zero selects a free port.
func NewProxy(addr, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, faults: map[netip.Addr]LinkFault{}, links: map[*link]bool{}, changed: make(chan struct{})}
	p.stopped, p.stop = context.WithCancel(context.Background())
	p.group.Go(p.accept)
	return p, nil
}

// Addr returns the address of the proxy's listener.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set applies the fault to open and new connections from source.
func (p *Proxy) Set(source netip.Addr, f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	for l := range p.links {
		if p.faultOf(l) == Cut {
			l.reset()
		}
	}
	p.notifyWaiters()
}

// Heal removes all faults and the delay. Blackholed connections stay silent.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faults)
	p.delay = 0
	p.notifyWaiters()
}

// SetDelay delays the forwarding of all data by the duration.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// BlackholeOpen makes the currently open connections silent permanently. New
// connections work, as when a NAT or firewall has lost its connection table.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.blackholed = true
	}
	p.notifyWaiters()
}

// Accepted returns the number of accepted connections.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	for l := range p.links {
		l.reset()
	}
	p.notifyWaiters()
	p.mu.Unlock()
	p.group.Wait()
}

// notifyWaiters wakes the goroutines that hold back data, so that they check the
// current faults. The caller holds p.mu.
func (p *Proxy) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) faultOf(l *link) LinkFault {
	if l.blackholed {
		return Silence
	}
	if f, ok := p.faults[l.source]; ok {
		return f
	}
	return p.faults[AllSources]
}

func (l *link) reset() {
	for _, conn := range []net.Conn{l.client, l.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The connection may be closed already.
		}
		conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		p.group.Go(func() { p.serve(conn) })
	}
}

func (p *Proxy) serve(client net.Conn) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	l := &link{source: source, client: client}
	p.mu.Lock()
	p.accepted++
	cut := p.faultOf(l) == Cut
	p.mu.Unlock()
	var err error
	if !cut {
		l.server, err = net.Dial("tcp", p.target.String())
	}
	if cut || err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // The client may have closed it already.
		client.Close()
		return
	}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forward(l, l.server, l.client, SilenceRequests) })
	group.Go(func() { p.forward(l, l.client, l.server, SilenceAnswers) })
	group.Wait()
	l.reset()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

const bufferBytes = 32 << 10

// forward copies data in one direction. It holds data back while the fault is
// Silence or directional, the fault that silences only this direction.
func (p *Proxy) forward(l *link, to, from net.Conn, directional LinkFault) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitToForward(l, directional) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			if !p.waitToForward(l, directional) {
				return
			}
			_ = to.(*net.TCPConn).CloseWrite() // The other side may have closed it.
			return
		}
	}
}

// waitToForward waits until no fault holds data back. It returns false if the data
// must be dropped because the connection is cut or the proxy is closed.
func (p *Proxy) waitToForward(l *link, directional LinkFault) bool {
	for {
		p.mu.Lock()
		f, delay, changed := p.faultOf(l), p.delay, p.changed
		p.mu.Unlock()
		if f != Silence && f != directional {
			time.Sleep(delay)
			return f != Cut
		}
		select {
		case <-changed:
		case <-p.stopped.Done():
			return false
		}
	}
}
