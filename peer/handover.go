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
	// transferTimeout is the timeout for one transfer of ledgers.
	transferTimeout = 2 * time.Second
	// maxTransferAttempts is the maximum number of times that the ledgers are sent
	// to the successor.
	maxTransferAttempts = 2
	// propagationGrace is the time for which the former holder keeps running after a
	// handover, so that the successor's heartbeats can reach all peers.
	propagationGrace = heartbeatInterval + heartbeatInterval/2
)

// ledgerHolder keeps the ledgers of this instance and those handed over to it.
type ledgerHolder interface {
	AdoptedHomes() []ident.Home
	Adopt(handed []charge.HandedLedger) error
}

// heldHomes returns the homes whose ledgers were handed over to this instance.
func (l *links) heldHomes() []*peerpb.Home {
	holder, ok := kernel.Find[ledgerHolder](l.rt)
	if !ok {
		return nil
	}
	var heldHomes []*peerpb.Home
	for _, home := range holder.AdoptedHomes() {
		heldHomes = append(heldHomes, homeToWire(home))
	}
	return heldHomes
}

// HandOver sends the ledgers to one successor, and then waits until the successor's
// heartbeats have had time to reach all peers.
func (l *links) HandOver(ctx context.Context, handed []charge.HandedLedger) (successor string, err error) {
	transfer := &peerpb.LedgerTransfer{}
	for _, h := range handed {
		transfer.Ledgers = append(transfer.Ledgers, ledgerToWire(h))
	}
	successor, err = sendToOne(
		l.candidates(),
		func(p member.Peer) (ident.Incarnation, bool) { return l.probeSuccessor(ctx, p) },
		func(p member.Peer, i ident.Incarnation) error {
			transfer.To = homeToWire(ident.Home{Peer: p.Home.Peer, Incarnation: i})
			return l.transfer(ctx, p.Home.Peer, transfer)
		},
	)
	if err == nil {
		sleepUntil(ctx, time.Now().Add(propagationGrace))
	}
	return successor, err
}

// sendToOne sends the ledgers to the first candidate that responds to the probe and
// is not stopping. Once a candidate may have accepted them, no other candidate is
// tried: with two holders of a ledger, a ticket could run twice.
func sendToOne(candidates []member.Peer, probeSuccessor func(member.Peer) (ident.Incarnation, bool), send func(member.Peer, ident.Incarnation) error) (successor string, err error) {
	for _, peer := range candidates {
		incarnation, ok := probeSuccessor(peer)
		if !ok {
			continue
		}
		err := send(peer, incarnation)
		if status.Code(err) == codes.FailedPrecondition {
			continue // The candidate accepted nothing.
		}
		return peer.Name, err
	}
	return "", errorx.IllegalState.New("no live peer accepted the ledgers")
}

// candidates returns the peers in the order in which they are tried as successors:
// peers in the local data centre first.
func (l *links) candidates() []member.Peer {
	peers := slices.Clone(l.rt.Snapshot().Peers)
	localDataCentre := l.rt.Settings.DataCentre
	slices.SortStableFunc(peers, func(a, b member.Peer) int {
		if localA, localB := a.DataCentre == localDataCentre, b.DataCentre == localDataCentre; localA != localB {
			if localA {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return peers
}

// probeSuccessor requests the peer's current heartbeat, because the latest one
// received may be out of date. It returns the peer's incarnation, and whether the
// peer responded and is not stopping.
func (l *links) probeSuccessor(ctx context.Context, peer member.Peer) (ident.Incarnation, bool) {
	conn, err := l.conn(peer.Home.Peer)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(conn).Exchange(ctx, l.heartbeat(l.rt.Snapshot().LeavingHash, ""))
	if err != nil {
		l.dropConn(peer.Home.Peer, conn)
		return 0, false
	}
	return ident.Incarnation(reply.Incarnation), !reply.Stopping
}

// transfer sends the ledgers to the incarnation in transfer.To. An attempt without a
// reply can be repeated, because that incarnation recognises ledgers that it already
// has.
func (l *links) transfer(ctx context.Context, addr netip.AddrPort, transfer *peerpb.LedgerTransfer) error {
	return sendUntilConfirmed(func() error {
		conn, err := l.conn(addr)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		_, err = peerpb.NewPeerClient(conn).TakeLedgers(ctx, transfer)
		if err != nil && status.Code(err) != codes.FailedPrecondition {
			l.dropConn(addr, conn)
		}
		return err
	})
}

// sendUntilConfirmed retries until the receiver accepts or refuses the ledgers, at
// most maxTransferAttempts times. A refusal proves that the receiver accepted nothing
// only if it is the reply to the first attempt.
func sendUntilConfirmed(send func() error) error {
	err := send()
	for range maxTransferAttempts - 1 {
		if err == nil || status.Code(err) == codes.FailedPrecondition {
			return err
		}
		if err = send(); status.Code(err) == codes.FailedPrecondition {
			return errorx.ExternalError.New("refused after an unanswered attempt: %v", err)
		}
	}
	return err
}

// TakeLedgers implements peerpb.PeerServer.
func (h *handler) TakeLedgers(_ context.Context, transfer *peerpb.LedgerTransfer) (*peerpb.LedgerReceipt, error) {
	if receiver, err := homeFromWire(transfer.GetTo()); err != nil || receiver != h.rt.Home {
		return nil, status.Error(codes.FailedPrecondition, "the ledgers are for another incarnation")
	}
	holder, ok := kernel.Find[ledgerHolder](h.rt)
	if !ok || h.rt.Snapshot().Stopping {
		return nil, status.Error(codes.FailedPrecondition, "this instance doesn't accept ledgers")
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
		Attempts: h.Ledger.Attempts, ForgetAtUnixMs: h.Ledger.DropAfter.UnixMilli(),
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
		Attempts: wire.Attempts, DropAfter: time.UnixMilli(wire.ForgetAtUnixMs),
	}}
	if handed.Ledger.Attempts == nil {
		handed.Ledger.Attempts = map[uint64]uint32{}
	}
	for _, kept := range wire.Outcomes {
		if len(kept.BodySha256) != sha256.Size {
			return charge.HandedLedger{}, errorx.IllegalFormat.New("a kept outcome lacks the hash of its body")
		}
		handed.Results = append(handed.Results, charge.KeptResult{
			Sequence: kept.Sequence, BodyHash: [sha256.Size]byte(kept.BodySha256), Result: resultFromWire(kept.Reply),
		})
	}
	return handed, nil
}

func sleepUntil(ctx context.Context, deadline time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}
