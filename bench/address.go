package bench

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// processes counts the processes of all fleets of this program.
var processes atomic.Uint32

// nextIP returns a loopback address that no other process has, also of other
// fleets that run at the same time: with shared addresses one of them could
// get the port that another has just chosen and not yet listened at.
func nextIP() netip.Addr {
	n := processes.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%netsPerMachine), byte(n / addrsPerNet), byte(1 + n%addrsPerNet)})
}

const (
	netsPerMachine = 250
	addrsPerNet    = 200
)

// listener chooses where a process listens, and sets addr to where others
// reach it: there, or at a proxy before it.
func (f *Fleet) listener(ip netip.Addr, addr *netip.AddrPort, proxy **Proxy) (listen netip.AddrPort, err error) {
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

// Ports are chosen below those from which connections leave: a process dials
// from the address that it listens at, and one of its first connections could
// take the port that was chosen for a listener that is not there yet.
const (
	firstPort = 10_000
	portCount = 20_000
)

// ports counts the ports chosen by this program.
var ports atomic.Uint32

// newAddr returns an address that nobody has: the IP address is the process's
// own. It is not tried out. A listener that is opened for a try and closed again
// lives on for a moment in any process that is being forked just then, and the
// real one is refused.
func newAddr(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(firstPort+ports.Add(1)%portCount))
}
