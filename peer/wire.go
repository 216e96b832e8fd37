package peer

import (
	"net/netip"
	"time"

	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/peerpb"
	"mangoloft/verdict"
)

// heartbeat returns what this instance says of itself now.
func (l *links) heartbeat() *peerpb.Heartbeat {
	snapshot := l.rt.Snapshot()
	h := &peerpb.Heartbeat{
		Name: l.rt.Settings.Instance, DataCentre: l.rt.Settings.DataCentre,
		Peer: l.rt.Home.Peer.String(), Incarnation: uint64(l.rt.Home.Incarnation),
		Stopping: snapshot.Stopping,
	}
	if snapshot.Config != nil {
		h.ConfigVersion, h.ConfigDigest = snapshot.Config.Version, snapshot.Config.Digest
	}
	for _, mark := range snapshot.Leaving {
		h.Leaving = append(h.Leaving, &peerpb.Mark{Upstream: mark.Upstream, Incarnation: uint64(mark.Incarnation)})
	}
	return h
}

func heartbeatFromWire(wire *peerpb.Heartbeat) (member.Heartbeat, error) {
	addr, err := netip.ParseAddrPort(wire.Peer)
	if err != nil {
		return member.Heartbeat{}, err
	}
	h := member.Heartbeat{
		Name: wire.Name, DataCentre: wire.DataCentre,
		Home:     ident.Home{Peer: addr, Incarnation: ident.Incarnation(wire.Incarnation)},
		Stopping: wire.Stopping, ConfigVersion: wire.ConfigVersion, ConfigDigest: wire.ConfigDigest,
	}
	for _, mark := range wire.Leaving {
		h.Leaving = append(h.Leaving, member.Mark{Upstream: mark.Upstream, Incarnation: ident.Incarnation(mark.Incarnation)})
	}
	return h, nil
}

func outcomeToWire(err error) *peerpb.Outcome {
	o := verdict.Of(err)
	wire := &peerpb.Outcome{Verdict: o.Verdict.String(), Reason: o.Reason.String(), Detail: o.Detail}
	if !o.RetryAt.IsZero() {
		wire.RetryAtUnixMs = o.RetryAt.UnixMilli()
	}
	return wire
}

// errorFromWire returns the error of an outcome, nil for a success. What a
// peer says in words unknown here proves nothing.
func errorFromWire(wire *peerpb.Outcome) error {
	var o verdict.Outcome
	if o.Verdict.UnmarshalText([]byte(wire.GetVerdict())) != nil || o.Reason.UnmarshalText([]byte(wire.GetReason())) != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.Internal, "a peer answered with an unknown outcome")
	}
	if o.Verdict == verdict.Ran && o.Reason == verdict.Completed {
		return nil
	}
	if wire.RetryAtUnixMs != 0 {
		return verdict.FailAt(o.Verdict, o.Reason, time.UnixMilli(wire.RetryAtUnixMs), "%s", wire.Detail)
	}
	return verdict.Fail(o.Verdict, o.Reason, "%s", wire.Detail)
}
