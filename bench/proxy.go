package bench

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkFault is what a proxy does to connections.
type LinkFault uint8

const (
	// Pass does nothing.
	Pass LinkFault = iota
	// Cut resets connections, open and new.
	Cut
	// Silence holds all bytes both ways while connections stay open.
	Silence
	// SilenceAnswers holds only the bytes that come back.
	SilenceAnswers
	// SilenceRequests holds only the bytes that go out.
	SilenceRequests
)

// Proxy stands before one listener and puts faults on its connections. A fault
// can be put on the connections of one source address, because every process
// of a fleet dials from an address of its own.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	group    sync.WaitGroup
	stop     context.CancelFunc
	stopped  context.Context

	mu       sync.Mutex
	faults   map[netip.Addr]LinkFault
	delay    time.Duration
	links    map[*link]bool
	changed  chan struct{}
	accepted int
}

// link is one connection through a proxy.
type link struct {
	source    netip.Addr
	out, in   net.Conn
	forgotten bool
}

// AllSources stands for every source address that has no fault of its own.
var AllSources netip.Addr

// NewProxy listens at addr, where a zero port is chosen, and passes on to target.
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

// Addr returns where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set puts a fault on the connections from source, open and new.
func (p *Proxy) Set(source netip.Addr, f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	for l := range p.links {
		if p.fault(l) == Cut {
			l.reset()
		}
	}
	p.wake()
}

// Heal takes all faults away, but for connections that were forgotten.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faults)
	p.delay = 0
	p.wake()
}

// SetDelay holds each piece of data for the time.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// ForgetOpen makes the connections that are open now silent for good, while
// new ones work: something between the two ends has lost track of them.
func (p *Proxy) ForgetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.forgotten = true
	}
	p.wake()
}

// Accepted returns how many connections have come.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	for l := range p.links {
		l.reset()
	}
	p.wake()
	p.mu.Unlock()
	p.group.Wait()
}

// wake lets held pieces look at the faults again.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) fault(l *link) LinkFault {
	if l.forgotten {
		return Silence
	}
	if f, ok := p.faults[l.source]; ok {
		return f
	}
	return p.faults[AllSources]
}

func (l *link) reset() {
	for _, conn := range []net.Conn{l.out, l.in} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // It may be closed already.
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

func (p *Proxy) serve(out net.Conn) {
	source := out.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	l := &link{source: source, out: out}
	p.mu.Lock()
	p.accepted++
	cut := p.fault(l) == Cut
	p.mu.Unlock()
	var err error
	if !cut {
		l.in, err = net.Dial("tcp", p.target.String())
	}
	if cut || err != nil {
		_ = out.(*net.TCPConn).SetLinger(0) // The peer may have closed it already.
		out.Close()
		return
	}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(l, l.in, l.out, SilenceRequests) })
	group.Go(func() { p.copy(l, l.out, l.in, SilenceAnswers) })
	group.Wait()
	l.reset()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

const pieceBytes = 32 << 10

// copy passes pieces on, and holds them while oneWay or Silence is set.
func (p *Proxy) copy(l *link, to, from net.Conn, oneWay LinkFault) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if !p.hold(l, oneWay) {
				return
			}
			if _, err := to.Write(piece[:n]); err != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			if !p.hold(l, oneWay) {
				return
			}
			_ = to.(*net.TCPConn).CloseWrite() // The other side may be gone.
			return
		}
	}
}

// hold returns when a piece may pass; false means never.
func (p *Proxy) hold(l *link, oneWay LinkFault) bool {
	for {
		p.mu.Lock()
		f, delay, changed := p.fault(l), p.delay, p.changed
		p.mu.Unlock()
		if f != Silence && f != oneWay {
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
