package peer

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/peerpb"
	"mangoloft/verdict"
)

// heartbeat returns this instance's current heartbeat for a peer in dataCentre. The
// marks of leaving upstreams are included only if their hash differs from the
// receiver's.
func (l *links) heartbeat(receiverMarksHash uint64, dataCentre string) *peerpb.Heartbeat {
	snapshot, now := l.rt.Snapshot(), time.Now()
	h := &peerpb.Heartbeat{
		Name: l.rt.Settings.Instance, DataCentre: l.rt.Settings.DataCentre,
		Peer: l.rt.Home.Peer.String(), Incarnation: uint64(l.rt.Home.Incarnation),
		Stopping: snapshot.Stopping, LeavingHash: snapshot.LeavingHash, ConfigFailed: snapshot.ConfigFailed,
		ConfigContactMs: ageToWire(now, snapshot.ConfigContactAt),
		ListHash:        snapshot.ListHash, ListAgeMs: ageToWire(now, snapshot.ListReadAt), ListSinceMs: ageToWire(now, snapshot.ListSince),
		Held: l.heldHomes(),
	}
	if snapshot.Config != nil {
		h.ConfigVersion, h.ConfigDigest = snapshot.Config.Version, snapshot.Config.Digest
	}
	if receiverMarksHash != snapshot.LeavingHash {
		for _, mark := range snapshot.Leaving {
			h.Leaving = append(h.Leaving, &peerpb.Mark{Upstream: mark.Upstream, Incarnation: uint64(mark.Incarnation)})
		}
	}
	if dataCentre == l.rt.Settings.DataCentre && l.loads != nil {
		addLoads(h, l.loads.FreshLoads())
	}
	return h
}

// ageToWire returns the age in milliseconds plus one, or zero if at is the zero time.
func ageToWire(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxInt32)) + 1
}

// ageFromWire returns the time from the result of ageToWire.
func ageFromWire(now time.Time, ageMS uint32) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS-1) * time.Millisecond)
}

func heartbeatFromWire(wire *peerpb.Heartbeat, now time.Time) (member.Heartbeat, error) {
	addr, err := netip.ParseAddrPort(wire.Peer)
	if err != nil {
		return member.Heartbeat{}, err
	}
	h := member.Heartbeat{
		Name: wire.Name, DataCentre: wire.DataCentre,
		Home:     ident.Home{Peer: addr, Incarnation: ident.Incarnation(wire.Incarnation)},
		Stopping: wire.Stopping, ConfigVersion: wire.ConfigVersion, ConfigDigest: wire.ConfigDigest,
		ConfigContact: ageFromWire(now, wire.ConfigContactMs), ConfigFailed: wire.ConfigFailed,
		ListHash: wire.ListHash, ListRead: ageFromWire(now, wire.ListAgeMs), ListSince: ageFromWire(now, wire.ListSinceMs), LeavingHash: wire.LeavingHash,
	}
	for _, mark := range wire.Leaving {
		h.Leaving = append(h.Leaving, member.LeavingMark{Upstream: mark.Upstream, Incarnation: ident.Incarnation(mark.Incarnation)})
	}
	return h, nil
}

// addLoads adds the load reports to the heartbeat. Each keeps its timestamp, which
// comes from the upstream's clock.
func addLoads(h *peerpb.Heartbeat, loads []member.Load) {
	for i, load := range loads {
		if takenAt := load.Report.TakenAt.UnixMilli(); i == 0 || takenAt < h.LoadsBaseUnixMs {
			h.LoadsBaseUnixMs = takenAt
		}
	}
	for _, load := range loads {
		r := load.Report
		h.Loads = append(h.Loads, &peerpb.Load{
			UpstreamHash: nameHash(load.Upstream), TakenAfterMs: uint32(r.TakenAt.UnixMilli() - h.LoadsBaseUnixMs),
			Running: uint32(r.Running), Waiting: uint32(r.Waiting),
			UsedTokens: uint32(r.UsedTokens), CapacityTokens: uint32(r.CapacityTokens),
			StepUs: uint32(r.StepTime.Microseconds()), Preemptions: r.Preemptions,
		})
	}
}

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// upstreamNames maps the hashes of the names of a data centre's upstreams back to
// the names. It omits hashes that two names share.
func upstreamNames(listed []decide.Upstream, dataCentre string) map[uint32]string {
	names := map[uint32]string{}
	ambiguous := map[uint32]bool{}
	for _, u := range listed {
		if u.DataCentre != dataCentre {
			continue
		}
		hash := nameHash(u.Name)
		_, duplicate := names[hash]
		ambiguous[hash] = ambiguous[hash] || duplicate
		names[hash] = u.Name
	}
	maps.DeleteFunc(names, func(hash uint32, _ string) bool { return ambiguous[hash] })
	return names
}

// loadsFromWire returns the load reports whose upstream hashes are in names.
func loadsFromWire(wire *peerpb.Heartbeat, names map[uint32]string) []member.Load {
	var loads []member.Load
	for _, load := range wire.Loads {
		name, ok := names[load.UpstreamHash]
		if !ok {
			continue
		}
		loads = append(loads, member.Load{Upstream: name, Report: decide.Report{
			TakenAt: time.UnixMilli(wire.LoadsBaseUnixMs + int64(load.TakenAfterMs)), Running: int(load.Running), Waiting: int(load.Waiting),
			UsedTokens: int(load.UsedTokens), CapacityTokens: int(load.CapacityTokens),
			StepTime: time.Duration(load.StepUs) * time.Microsecond, Preemptions: load.Preemptions,
		}})
	}
	return loads
}

func listToWire(snapshot *control.Snapshot, now time.Time) *peerpb.ListReply {
	reply := &peerpb.ListReply{AgeMs: ageToWire(now, snapshot.ListReadAt), SinceMs: ageToWire(now, snapshot.ListSince)}
	for _, l := range snapshot.Entries {
		reply.Entries = append(reply.Entries, &peerpb.ListedEntry{Name: l.Name, DataCentre: l.DataCentre, Peer: l.Peer.String(), Leaving: l.Leaving})
	}
	for _, u := range snapshot.ListedUpstreams {
		reply.Upstreams = append(reply.Upstreams, &peerpb.ListedUpstream{
			Name: u.Name, Pool: u.Pool, DataCentre: u.DataCentre, Addr: u.Addr.String(), Incarnation: uint64(u.Incarnation), Leaving: u.Leaving,
		})
	}
	return reply
}

func listFromWire(wire *peerpb.ListReply, now time.Time) (control.ListRead, error) {
	list := control.ListRead{ReadAt: ageFromWire(now, wire.AgeMs), Since: ageFromWire(now, wire.SinceMs)}
	for _, l := range wire.Entries {
		addr, err := netip.ParseAddrPort(l.Peer)
		if err != nil {
			return list, err
		}
		list.Entries = append(list.Entries, member.ListedInstance{Name: l.Name, DataCentre: l.DataCentre, Peer: addr, Leaving: l.Leaving})
	}
	for _, u := range wire.Upstreams {
		addr, err := netip.ParseAddrPort(u.Addr)
		if err != nil {
			return list, err
		}
		list.Upstreams = append(list.Upstreams, decide.Upstream{
			Name: u.Name, Pool: u.Pool, DataCentre: u.DataCentre, Addr: addr, Incarnation: ident.Incarnation(u.Incarnation), Leaving: u.Leaving,
		})
	}
	return list, nil
}

func outcomeToWire(err error) *peerpb.Outcome {
	o := verdict.OutcomeOf(err)
	wire := &peerpb.Outcome{Verdict: o.Verdict.String(), Reason: o.Reason.String(), Detail: o.Detail}
	if !o.RetryAt.IsZero() {
		wire.RetryAtUnixMs = o.RetryAt.UnixMilli()
	}
	return wire
}

// errorFromWire returns the error of an outcome, or nil for a success. An outcome
// with an unknown verdict or reason counts as MayHaveRun.
func errorFromWire(wire *peerpb.Outcome) error {
	var o verdict.Outcome
	if o.Verdict.UnmarshalText([]byte(wire.GetVerdict())) != nil || o.Reason.UnmarshalText([]byte(wire.GetReason())) != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.Internal, "a peer responded with an unknown outcome")
	}
	if o.Verdict == verdict.Ran && o.Reason == verdict.Completed {
		return nil
	}
	if wire.RetryAtUnixMs != 0 {
		return verdict.FailAt(o.Verdict, o.Reason, time.UnixMilli(wire.RetryAtUnixMs), "%s", wire.Detail)
	}
	return verdict.Fail(o.Verdict, o.Reason, "%s", wire.Detail)
}
