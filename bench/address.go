package bench

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// processCount counts the processes of all fleets of this program.
var processCount atomic.Uint32

// nextIP returns a loopback address that no other process uses, including those
// of other fleets running at the same time. With a shared address, one process
// could take the port that another has chosen but does not listen on yet.
func nextIP() netip.Addr {
	n := processCount.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%subnetCount), byte(n / addrsPerSubnet), byte(1 + n%addrsPerSubnet)})
}

const (
	subnetCount    = 250
	addrsPerSubnet = 200
)

// assignAddrs returns a new address for a process to listen on, and sets addr to
// the address for others to dial: the same one, or that of a new proxy.
func (f *Fleet) assignAddrs(ip netip.Addr, addr *netip.AddrPort, proxy **Proxy) (listen netip.AddrPort, err error) {
	listen = newAddr(ip)
	*addr = listen
	if f.plan.Proxies {
		if *proxy, err = NewProxy(newAddr(ip), listen); err != nil {
			return listen, err
		}
		*addr = (*proxy).Addr()
	}
	return listen, nil
}

// Ports are below the ephemeral range. A process dials from the address that it
// listens on, so an early outgoing connection could otherwise take the port of a
// listener that is not open yet.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter counts the ports chosen by this program.
var portCounter atomic.Uint32

// newAddr returns an unused address: no other process uses the IP address. It
// does not probe the port with a trial listener, because a process forked at that
// moment inherits the listener, which then briefly stays open after its close and
// makes the real one fail.
func newAddr(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(firstPort+portCounter.Add(1)%portCount))
}
