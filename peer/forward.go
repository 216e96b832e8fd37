package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/peerpb"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

const (
	// probeInterval is the time between two probes of a peer while a forwarded
	// ticket waits for its reply. After maxMissedProbes unanswered probes in a row,
	// each with a timeout of exchangeTimeout, the connection counts as silent.
	probeInterval   = 250 * time.Millisecond
	maxMissedProbes = 2
	// maxForwardAttempts is the maximum number of times that a ticket is sent to its
	// home. After a silent connection, the next attempt opens a new one.
	maxForwardAttempts = 2
)

// RunTicket forwards the call to the instance that holds the ledger of the
// ticket's home. If that instance doesn't respond, the request is sent to relays:
// other instances in the home's data centre, which may still reach the holder or
// have the address of a newer one. If that fails too, the outcome is unknown. A
// refused connection fails immediately, and a silent one after maxMissedProbes
// probes.
func (l *links) RunTicket(ctx context.Context, t ticket.Ticket, text string, r call.Request) charge.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	request := &peerpb.TicketRequest{
		Ticket: text, RequestId: r.ID.String(), Team: r.Team, Class: r.Class, ContentType: r.ContentType, Body: r.Body,
		DeadlineUnixMs: r.Deadline.UnixMilli(),
	}
	result := l.runAtHome(ctx, t.Home, request)
	if verdict.OutcomeOf(result.Err).Reason != verdict.HomeUnavailable {
		return result
	}
	request.Relay = true
	for _, relay := range l.relays(t) {
		reply, err := l.forward(ctx, relay, request)
		if err != nil {
			continue
		}
		relayed := resultAfterResend(resultFromWire(reply), true)
		switch verdict.OutcomeOf(relayed.Err).Reason {
		case verdict.HomeUnavailable, verdict.Overloaded, verdict.Stopping:
			continue // Another relay may succeed.
		}
		return relayed
	}
	return result
}

// runAtHome sends the request to the holder of the home's ledger. The holder
// recognises a repeated ticket, so the request can be sent more than once.
func (l *links) runAtHome(ctx context.Context, home ident.Home, request *peerpb.TicketRequest) charge.Result {
	var err error
	for attempt := range maxForwardAttempts {
		var reply *peerpb.TicketReply
		reply, err = l.forward(ctx, l.holders.addrOf(home), request)
		if err == nil {
			return resultAfterResend(resultFromWire(reply), attempt > 0)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeUnavailable, "the ticket's home does not answer: %v", err)}
}

// resultAfterResend returns the result that a reply proves. If an earlier attempt got
// no reply, a refusal covers only the latest attempt, and the result is MayHaveRun.
// The exception is a refusal because of the ledger, which proves that the ticket
// can't run.
func resultAfterResend(result charge.Result, sentBefore bool) charge.Result {
	outcome := verdict.OutcomeOf(result.Err)
	refusedByLedger := result.RetryTicket != "" || outcome.Reason == verdict.TicketClosed || outcome.Reason == verdict.TicketExpired
	if !sentBefore || outcome.Verdict != verdict.NotRun || refusedByLedger {
		return result
	}
	return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, outcome.Reason, "an earlier attempt got no answer; the latest was refused: %s", outcome.Detail)}
}

// maxRelays is the maximum number of relays that are tried for a ticket.
const maxRelays = 2

// relays returns instances of the home's data centre that can relay the ticket.
func (l *links) relays(t ticket.Ticket) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, listed := range l.rt.Snapshot().ListedPeers {
		if listed.DataCentre == t.DataCentre && !listed.Leaving && listed.Peer != l.holders.addrOf(t.Home) && listed.Peer != t.Home.Peer && len(addrs) < maxRelays {
			addrs = append(addrs, listed.Peer)
		}
	}
	return addrs
}

// forward sends the request once. If the connection becomes silent, it closes the
// connection and returns errSilent.
func (l *links) forward(ctx context.Context, addr netip.AddrPort, request *peerpb.TicketRequest) (*peerpb.TicketReply, error) {
	conn, err := l.conn(addr)
	if err != nil {
		return nil, err
	}
	client := peerpb.NewPeerClient(conn)
	ctx, cancel := context.WithCancelCause(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() {
		if l.detectSilence(ctx, client) {
			cancel(errSilent)
			l.dropConn(addr, conn)
		}
	})
	reply, err := client.RunTicket(ctx, request)
	if cause := context.Cause(ctx); err != nil && cause == errSilent {
		return nil, cause
	}
	return reply, err
}

var errSilent = verdict.Fail(verdict.MayHaveRun, verdict.HomeUnavailable, "the connection is silent")

// detectSilence probes the peer until ctx is done. It returns true if the peer stops
// responding before that.
func (l *links) detectSilence(ctx context.Context, client peerpb.PeerClient) bool {
	missed := 0
	for missed < maxMissedProbes {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(probeInterval):
		}
		probe, cancel := context.WithTimeout(ctx, exchangeTimeout)
		_, err := client.Exchange(probe, l.heartbeat(l.rt.Snapshot().LeavingHash, ""))
		cancel()
		missed++
		if err == nil {
			missed = 0
		}
	}
	return ctx.Err() == nil
}

// dropConn closes the connection, so that the next request opens a new one.
func (l *links) dropConn(addr netip.AddrPort, conn *grpc.ClientConn) {
	l.mu.Lock()
	if l.conns[addr] == conn {
		delete(l.conns, addr)
	}
	l.mu.Unlock()
	conn.Close()
}
