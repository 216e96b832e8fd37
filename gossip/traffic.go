package gossip

import "sync/atomic"

// Traffic counts datagrams and their bytes.
type Traffic struct{ Sent, SentBytes, Received, ReceivedBytes uint64 }

// The contents by which datagrams are counted. A datagram with several counts for the
// first of them.
const (
	contentForwarded = "forwarded"
	contentNotices   = "notices"
	contentList      = "list"
	contentLoads     = "loads"
	contentLeaving   = "leaving"
	contentLimits    = "limits"
	contentBrittle   = "brittle"
	contentCrashes   = "crashes"
	contentHeartbeat = "heartbeat"
)

// trafficCounters count the datagrams of one content.
type trafficCounters struct{ sent, sentBytes, received, receivedBytes atomic.Uint64 }

// datagram is an encoded datagram.
type datagram struct {
	bytes    []byte
	counters *trafficCounters
}

func newTrafficCounters() map[string]*trafficCounters {
	counters := map[string]*trafficCounters{}
	for _, content := range []string{contentForwarded, contentNotices, contentList, contentLoads, contentLeaving, contentLimits, contentBrittle, contentCrashes, contentHeartbeat} {
		counters[content] = &trafficCounters{}
	}
	return counters
}

// contentName returns the content by which the datagram is counted.
func (w datagramWire) contentName() string {
	switch {
	case w.Forward != "":
		return contentForwarded
	case len(w.Notices) > 0:
		return contentNotices
	case w.List != nil:
		return contentList
	case len(w.Loads) > 0:
		return contentLoads
	case len(w.Leaving) > 0:
		return contentLeaving
	case len(w.Limits) > 0:
		return contentLimits
	case len(w.Brittle) > 0:
		return contentBrittle
	case len(w.Crashes) > 0:
		return contentCrashes
	}
	return contentHeartbeat
}

// Traffic returns the datagrams sent and received so far, by content.
func (p *Peers) Traffic() map[string]Traffic {
	all := map[string]Traffic{}
	for content, c := range p.traffic {
		all[content] = Traffic{c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load()}
	}
	return all
}
