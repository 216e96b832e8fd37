package bench

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// processCount counts the processes of all fleets of this program.
var processCount atomic.Uint32

// nextIP returns a loopback address that no other process uses, not even one of
// another fleet that runs concurrently, unless their process ids differ by a multiple of
// 16,000. If processes shared an address, an outgoing connection of one could occupy the
// port on which another is about to listen.
func nextIP() netip.Addr {
	n, pid := processCount.Add(1), uint32(os.Getpid())
	subnet := pid/netCount%groupCount*subnetsPerGroup + n/addrsPerSubnet
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%netCount), byte(subnet), byte(1 + n%addrsPerSubnet)})
}

// UnusedAddr returns an address that refuses connections until the program listens on it.
// The port of a closed listener on 127.0.0.1 does not: the system gives it to the next
// listener or outgoing connection of any program.
func UnusedAddr() netip.AddrPort {
	return NewAddr(nextIP())
}

// A program has a group of subnets of one network, both derived from its process id.
const (
	netCount        = 250
	groupCount      = 64
	subnetsPerGroup = 4
	addrsPerSubnet  = 200
)

// assignAddrs returns a new address on which a process listens. It sets addr to the
// address that other processes dial: the same one, or the address of a new proxy.
func (f *Fleet) assignAddrs(ip netip.Addr, addr *netip.AddrPort, proxy **Proxy) (listen netip.AddrPort, err error) {
	listen = NewAddr(ip)
	*addr = listen
	if f.plan.Proxies {
		if *proxy, err = NewProxy(NewAddr(ip), listen); err != nil {
			return listen, err
		}
		*addr = (*proxy).Addr()
	}
	return listen, nil
}

// Ports are below the ephemeral range. A process dials from the IP address on which
// it listens, so an early outgoing connection could otherwise occupy the port of a
// listener that is not open yet.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter counts the ports chosen by this program.
var portCounter atomic.Uint32

// NewAddr returns an address with an unused port. No other program may use the IP
// address, so that a counter is enough. It does not probe the port with a trial
// listener, because a process forked at the same time inherits the listener: the port
// then stays in use briefly after the close, and the real listener fails.
func NewAddr(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(firstPort+portCounter.Add(1)%portCount))
}
