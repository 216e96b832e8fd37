package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/decide"
	"mangoloft/history"
)

// In a large fleet, the data centres exchange datagrams only through relays. Within
// a data centre, and in a small fleet, all instances exchange datagrams directly, but
// for changes of the list, which are large and always take the way through relays.

const (
	// allDataCentres is the target of datagrams that are forwarded to all other
	// data centres.
	allDataCentres = "*"
	// maxLoads is the maximum number of engines of a data centre whose load is sent
	// to the others: those with the most room, because only these are of use there.
	maxLoads = 12
)

// content returns the part of a datagram that is forwarded.
func (w datagramWire) content() datagramWire {
	return datagramWire{Notices: w.Notices, List: w.List, Loads: w.Loads, Limits: w.Limits, Brittle: w.Brittle, Crashes: w.Crashes, Findings: w.Findings, Orders: w.Orders}
}

// forward sends the content to another data centre, or to all, through the relays.
func (p *Peers) forward(now time.Time, dataCentre string, w datagramWire) {
	if relay, ok := p.members.LocalRelay(); ok && !p.members.IsRelay() {
		w.Forward = dataCentre
		p.write(p.encode(w), relay.Addr)
		return
	}
	p.sendToRelays(now, dataCentre, w)
}

// sendToRelays sends the content to the relay of another data centre, or to those of
// all others.
func (p *Peers) sendToRelays(now time.Time, dataCentre string, w datagramWire) {
	for name, relay := range p.members.RemoteRelays(now) {
		if dataCentre == allDataCentres || dataCentre == name {
			w.Forward = name
			p.write(p.encode(w), relay)
		}
	}
}

// relayContent sends what a relay of another data centre forwarded to the local
// broadcast group.
func (p *Peers) relayContent(w datagramWire) {
	if len(w.Notices) > 0 && len(p.relayedNotices) < maxPending {
		p.relayedNotices = append(p.relayedNotices, w.Notices...)
		p.wakeUp()
	}
	// Several data centres may have read and forwarded the same change.
	if w.List != nil && w.List.position().After(history.Max(p.relayedPosition, p.options.State().ListPosition)) {
		p.relayedPosition = w.List.position()
		p.sendLocally(datagramWire{List: w.List})
	}
	if len(w.Loads) > 0 {
		p.sendLocally(datagramWire{Loads: w.Loads})
	}
	if len(w.Limits) > 0 {
		p.sendLocally(datagramWire{Limits: w.Limits})
	}
	if len(w.Brittle) > 0 {
		p.sendLocally(datagramWire{Brittle: w.Brittle})
	}
	if len(w.Crashes)+len(w.Findings) > 0 {
		p.sendLocally(datagramWire{Crashes: w.Crashes, Findings: w.Findings})
	}
}

// remoteDataCentres returns the other data centres of which the instance tells its
// own one.
func (p *Peers) remoteDataCentres(now time.Time) map[string]dataCentreWire {
	if !p.members.IsLarge() {
		return nil // All instances know all others.
	}
	wire := map[string]dataCentreWire{}
	p.members.RemoteDataCentres(now, func(name string, count int, relays []netip.AddrPort, readsStore bool) {
		wire[name] = dataCentreWire{count, relays, readsStore}
	})
	return wire
}

// sendLoads sends the loads of this data centre's engines to the other data centres,
// if the instance is the primary.
func (p *Peers) sendLoads(ctx context.Context, now time.Time) {
	if !p.members.IsLarge() || !p.members.IsPrimary() {
		return
	}
	if loads := p.sink.Loads(ctx, p.options.DataCentre, maxLoads); len(loads) > 0 {
		p.sendToRelays(now, allDataCentres, datagramWire{Loads: []loadsWire{encodeLoads(loads)}})
	}
}

// loadInterval returns the time between two reports of loads.
func (p *Peers) loadInterval() time.Duration {
	return max(minLoadInterval, loadSpacing*time.Duration(p.members.OtherDataCentres()))
}

// maxFactorPercent is the largest plausible factor of an engine's speed.
const maxFactorPercent = 10_000

func (p *Peers) handleLoads(now time.Time, w loadsWire) error {
	count := len(w.Upstreams)
	if len(w.Running) != count || len(w.UsedTokens) != count || len(w.PendingPrefill) != count {
		return errorx.IllegalFormat.New("%d upstreams, but %d, %d and %d values", count, len(w.Running), len(w.UsedTokens), len(w.PendingPrefill))
	}
	if len(w.FactorPercent) != 0 && len(w.FactorPercent) != count {
		return errorx.IllegalFormat.New("%d upstreams, but %d factors", count, len(w.FactorPercent))
	}
	for _, percent := range w.FactorPercent {
		if percent < 1 || percent > maxFactorPercent {
			return errorx.IllegalFormat.New("a factor of %d percent is out of range", percent)
		}
	}
	for i, name := range w.Upstreams {
		r := decide.Report{TakenAt: now, Running: w.Running[i], UsedTokens: w.UsedTokens[i], PendingPrefillTokens: w.PendingPrefill[i]}
		if len(w.FactorPercent) > 0 {
			r.Factor = float64(w.FactorPercent[i]) / 100
		}
		p.sink.HandleReport(name, r)
	}
	return nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
