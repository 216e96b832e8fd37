package peer

import (
	"context"
	"crypto/sha256"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/member"
	"mangoloft/peerpb"
)

const (
	// transferLimit bounds one transfer of ledgers.
	transferLimit = 2 * time.Second
	// maxTransfers bounds how often the ledgers are sent to the one successor.
	maxTransfers = 2
	// spreadGrace is how long the former holder stays to let the successor's
	// heartbeats reach all.
	spreadGrace = heartbeatInterval + heartbeatInterval/2
)

// ledgerHolder holds the ledgers of this instance.
type ledgerHolder interface {
	AdoptedHomes() []ident.Home
	Adopt(handed []charge.HandedLedger) error
}

// held returns the homes whose ledgers were handed to this instance.
func (l *links) held() []*peerpb.Home {
	holder, ok := kernel.Find[ledgerHolder](l.rt)
	if !ok {
		return nil
	}
	var held []*peerpb.Home
	for _, home := range holder.AdoptedHomes() {
		held = append(held, homeToWire(home))
	}
	return held
}

// HandOver gives the ledgers to one successor and stays until all have heard.
func (l *links) HandOver(ctx context.Context, handed []charge.HandedLedger) (successor string, err error) {
	transfer := &peerpb.LedgerTransfer{}
	for _, h := range handed {
		transfer.Ledgers = append(transfer.Ledgers, ledgerToWire(h))
	}
	successor, err = giveToOne(
		l.candidates(),
		func(p member.Peer) (ident.Incarnation, bool) { return l.takesWork(ctx, p) },
		func(p member.Peer, i ident.Incarnation) error {
			transfer.To = homeToWire(ident.Home{Peer: p.Home.Peer, Incarnation: i})
			return l.transfer(ctx, p.Home.Peer, transfer)
		},
	)
	if err == nil {
		wait(ctx, time.Now().Add(spreadGrace))
	}
	return successor, err
}

// giveToOne sends the ledgers to the first candidate that takes work. Once a
// candidate may have them, no other is asked: two holders would be worse than
// none.
func giveToOne(candidates []member.Peer, takesWork func(member.Peer) (ident.Incarnation, bool), send func(member.Peer, ident.Incarnation) error) (successor string, err error) {
	for _, peer := range candidates {
		incarnation, ok := takesWork(peer)
		if !ok {
			continue
		}
		err := send(peer, incarnation)
		if status.Code(err) == codes.FailedPrecondition {
			continue // It took nothing.
		}
		return peer.Name, err
	}
	return "", errorx.IllegalState.New("no live peer takes the ledgers")
}

// candidates returns the peers by fitness, those of the own data centre first.
func (l *links) candidates() []member.Peer {
	peers := slices.Clone(l.rt.Snapshot().Peers)
	own := l.rt.Settings.DataCentre
	slices.SortStableFunc(peers, func(a, b member.Peer) int {
		if localA, localB := a.DataCentre == own, b.DataCentre == own; localA != localB {
			if localA {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return peers
}

// takesWork asks the peer itself, since what was last heard may be old.
func (l *links) takesWork(ctx context.Context, peer member.Peer) (ident.Incarnation, bool) {
	conn, err := l.conn(peer.Home.Peer)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	answer, err := peerpb.NewPeerClient(conn).Exchange(ctx, l.heartbeat(l.rt.Snapshot().LeavingHash, ""))
	if err != nil {
		l.abandon(peer.Home.Peer, conn)
		return 0, false
	}
	return ident.Incarnation(answer.Incarnation), !answer.Stopping
}

// transfer sends the ledgers to the one incarnation that they are for. It may
// do so again after a silence, because that incarnation knows them again.
func (l *links) transfer(ctx context.Context, addr netip.AddrPort, transfer *peerpb.LedgerTransfer) error {
	return sendUntilKnown(func() error {
		conn, err := l.conn(addr)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, transferLimit)
		defer cancel()
		_, err = peerpb.NewPeerClient(conn).TakeLedgers(ctx, transfer)
		if err != nil && status.Code(err) != codes.FailedPrecondition {
			l.abandon(addr, conn)
		}
		return err
	})
}

// sendUntilKnown sends until the receiver says what it did. A refusal proves
// that nothing was taken only when nothing was sent before it.
func sendUntilKnown(send func() error) error {
	err := send()
	for range maxTransfers - 1 {
		if err == nil || status.Code(err) == codes.FailedPrecondition {
			return err
		}
		if err = send(); status.Code(err) == codes.FailedPrecondition {
			return errorx.ExternalError.New("refused after a silence: %v", err)
		}
	}
	return err
}

// TakeLedgers implements peerpb.PeerServer.
func (h *handler) TakeLedgers(_ context.Context, transfer *peerpb.LedgerTransfer) (*peerpb.LedgerReceipt, error) {
	if to, err := homeFromWire(transfer.GetTo()); err != nil || to != h.rt.Home {
		return nil, status.Error(codes.FailedPrecondition, "the ledgers are for another incarnation")
	}
	holder, ok := kernel.Find[ledgerHolder](h.rt)
	if !ok || h.rt.Snapshot().Stopping {
		return nil, status.Error(codes.FailedPrecondition, "this instance takes no ledgers")
	}
	var handed []charge.HandedLedger
	for _, wire := range transfer.Ledgers {
		ledger, err := ledgerFromWire(wire)
		if err != nil {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		handed = append(handed, ledger)
	}
	if err := holder.Adopt(handed); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.LedgerReceipt{}, nil
}

func ledgerToWire(h charge.HandedLedger) *peerpb.Ledger {
	wire := &peerpb.Ledger{
		Home: homeToWire(h.Ledger.Home), First: h.Ledger.FirstSequence, Ran: h.Ledger.Ran, Closed: h.Ledger.Closed,
		Attempts: h.Ledger.Attempts, ForgetAtUnixMs: h.Ledger.ForgetAt.UnixMilli(),
	}
	for _, kept := range h.Results {
		wire.Outcomes = append(wire.Outcomes, &peerpb.KeptOutcome{
			Sequence: kept.Sequence, BodySha256: kept.BodyHash[:], Reply: resultToWire(kept.Result),
		})
	}
	return wire
}

func ledgerFromWire(wire *peerpb.Ledger) (charge.HandedLedger, error) {
	home, err := homeFromWire(wire.GetHome())
	if err != nil {
		return charge.HandedLedger{}, err
	}
	handed := charge.HandedLedger{Ledger: &charge.Ledger{
		Home: home, FirstSequence: wire.First, Ran: wire.Ran, Closed: wire.Closed,
		Attempts: wire.Attempts, ForgetAt: time.UnixMilli(wire.ForgetAtUnixMs),
	}}
	if handed.Ledger.Attempts == nil {
		handed.Ledger.Attempts = map[uint64]uint32{}
	}
	for _, kept := range wire.Outcomes {
		if len(kept.BodySha256) != sha256.Size {
			return charge.HandedLedger{}, errorx.IllegalFormat.New("a kept outcome has no hash of its body")
		}
		handed.Results = append(handed.Results, charge.KeptResult{
			Sequence: kept.Sequence, BodyHash: [sha256.Size]byte(kept.BodySha256), Result: resultFromWire(kept.Reply),
		})
	}
	return handed, nil
}

func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}
