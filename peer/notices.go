package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/peerpb"
)

const (
	// noticeDelay is the time for which notices are batched before they are sent.
	noticeDelay = 1 * time.Millisecond
	// progressInterval is the maximum delay of a notice of progress.
	progressInterval = 500 * time.Millisecond
	// noticeTimeout is the timeout for sending one message.
	noticeTimeout = 500 * time.Millisecond
	// maxNotices is the capacity of the queue. Further notices are dropped.
	maxNotices = 4096
)

// notices is the queue of notices to send to peers. A notice reports that a stream
// was queued, was placed, progressed or ended.
type notices struct {
	mu   sync.Mutex
	list []*peerpb.Notice
	// ready receives a value when a notice is queued, except for a notice of progress.
	ready chan struct{}
}

func newNotices() *notices { return &notices{ready: make(chan struct{}, 1)} }

// add queues a notice. It runs on the control goroutine, so it must not block.
func (n *notices) add(notice decide.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.list) >= maxNotices {
		return
	}
	n.list = append(n.list, noticeToWire(notice))
	if notice.Kind == decide.NoticeProgressed {
		return // It is sent with the next notice, or when progressInterval ends.
	}
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns the queued notices.
func (n *notices) takeAll() []*peerpb.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.list
	n.list = nil
	return list
}

// runNotices sends queued notices to the recipients, each in its own goroutine, so
// that a slow recipient does not delay the others.
func (l *links) runNotices(ctx context.Context) error {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		message := &peerpb.Notices{Peer: l.rt.Home.Peer.String(), Incarnation: uint64(l.rt.Home.Incarnation)}
		select {
		case <-ctx.Done():
			return nil
		case <-l.notices.ready:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(noticeDelay):
			}
		case <-ticker.C:
		}
		message.Notices = l.notices.takeAll()
		if len(message.Notices) == 0 {
			continue
		}
		for _, listed := range l.noticeRecipients() {
			group.Go(func() { l.sendNotices(ctx, listed.Peer, message) })
		}
	}
}

// fleetNoticeLimit is the number of entry instances from which notices are no longer
// sent to other data centres.
const fleetNoticeLimit = 32

// noticeRecipients returns the instances to which notices are sent: the whole
// fleet if it is small, and otherwise only the instances in the local data
// centre.
func (l *links) noticeRecipients() []member.ListedInstance {
	listed := l.rt.Snapshot().ListedPeers
	if len(listed) < fleetNoticeLimit {
		return listed
	}
	return slices.DeleteFunc(slices.Clone(listed), func(m member.ListedInstance) bool {
		return m.DataCentre != l.rt.Settings.DataCentre
	})
}

func (l *links) sendNotices(ctx context.Context, addr netip.AddrPort, message *peerpb.Notices) {
	client, err := l.client(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, _ = client.Notify(ctx, message) // Without the notices, the receiver forecasts from load reports.
}

// Notify implements peerpb.PeerServer.
func (h *handler) Notify(_ context.Context, message *peerpb.Notices) (*peerpb.NoticesReceipt, error) {
	addr, err := netip.ParseAddrPort(message.Peer)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	configuration := h.rt.Snapshot().Config
	if configuration == nil {
		return &peerpb.NoticesReceipt{}, nil
	}
	home := ident.Home{Peer: addr, Incarnation: ident.Incarnation(message.Incarnation)}
	for _, wire := range message.Notices {
		notice := noticeFromWire(home, wire)
		// The configurations of two instances can differ temporarily. The load of
		// requests of a class that is unknown here is forecast from load reports.
		class, ok := configuration.Classes[wire.Class]
		if wire.Class != "" && !ok {
			continue
		}
		notice.Request.Class = class
		h.rt.Send(control.SchedulerEvent{Event: decide.NoticeReceived{Notice: notice}})
	}
	return &peerpb.NoticesReceipt{}, nil
}

func noticeToWire(n decide.Notice) *peerpb.Notice {
	wire := &peerpb.Notice{Kind: peerpb.Notice_Kind(n.Kind), Sequence: n.Request.ID.Sequence, Tokens: int64(n.Tokens), Completed: n.Completed}
	if n.Kind == decide.NoticePlaced || n.Kind == decide.NoticeWaiting {
		wire.Upstream, wire.Team, wire.Class = n.Upstream, n.Request.Team, n.Request.Class.Name
		wire.PromptTokens = int64(n.Request.PromptTokens)
		if !n.Request.StartBy.IsZero() {
			wire.StartByUnixMs = n.Request.StartBy.UnixMilli()
		}
	}
	return wire
}

func noticeFromWire(home ident.Home, wire *peerpb.Notice) decide.Notice {
	notice := decide.Notice{
		Kind: decide.NoticeKind(wire.Kind), Upstream: wire.Upstream, Tokens: int(wire.Tokens), Completed: wire.Completed,
		Request: decide.Request{ID: ident.Request{Home: home, Sequence: wire.Sequence}, Team: wire.Team, PromptTokens: int(wire.PromptTokens)},
	}
	if wire.StartByUnixMs != 0 {
		notice.Request.StartBy = time.UnixMilli(wire.StartByUnixMs)
	}
	return notice
}
