package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangoloft/decide"
)

// maxLostPools is the maximum number of pools from which a datagram says that its sender is
// cut off.
const maxLostPools = 32

// lostPools returns the pools from which a member is cut off.
func (t *MemberTable) lostPools(addr netip.AddrPort) []string {
	if m := t.members[addr]; m != nil {
		return m.LostPools
	}
	return nil
}

// publishReachable publishes the live members for Detours, and tells the sink of those of
// the local data centre if they have changed.
func (p *Peers) publishReachable() {
	alive := p.members.Alive()
	p.reachable.Store(&alive)
	var e decide.MembersChanged
	// An instance that has just started does not know the others yet.
	if !p.stopping.Load() && time.Since(p.startedAt) >= startupWait {
		e.Self = p.options.Control
	}
	for _, m := range alive {
		if m.DataCentre == p.options.DataCentre {
			e.Others = append(e.Others, decide.Member{Control: m.Control, LostPools: m.LostPools})
		}
	}
	slices.SortFunc(e.Others, func(a, b decide.Member) int { return a.Control.Compare(b.Control) })
	isSame := func(a, b decide.Member) bool {
		return a.Control == b.Control && slices.Equal(a.LostPools, b.LostPools)
	}
	if e.Self != p.localMembers.Self || !slices.EqualFunc(e.Others, p.localMembers.Others, isSame) {
		p.localMembers = e
		p.sink.SetMembers(e)
	}
}

// Detours returns the control addresses of the live members that reach the upstreams of a
// pool, as far as known, in random order. Those of the local data centre come first, unless
// most instances there are cut off too and would overload them. Only data centres that allows
// accepts are considered; nil stands for all.
func (p *Peers) Detours(pool string, allows func(dataCentre string) bool) []netip.AddrPort {
	members := p.reachable.Load()
	if members == nil {
		return nil
	}
	var local, remote []netip.AddrPort
	localLost := 1 // this instance
	for _, m := range *members {
		switch {
		case slices.Contains(m.LostPools, pool) && m.DataCentre == p.options.DataCentre:
			localLost++
		case slices.Contains(m.LostPools, pool) || allows != nil && !allows(m.DataCentre):
		case m.DataCentre == p.options.DataCentre:
			local = append(local, m.Control)
		default:
			remote = append(remote, m.Control)
		}
	}
	if len(local) < localLost && len(*members) < fullMeshLimit {
		// In a large fleet only a few instances of other data centres are known.
		local, remote = append(local, remote...), nil
	}
	for _, addrs := range [][]netip.AddrPort{local, remote} {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	}
	return append(local, remote...)
}

// Reaching returns the number of live members that reach the upstreams of a pool, as far as
// known.
func (p *Peers) Reaching(pool string) int { return len(p.Detours(pool, nil)) }
