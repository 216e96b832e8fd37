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
	// probeInterval is the time between two looks whether the home of a
	// forwarded ticket is still there. After maxMisses looks without an answer,
	// each within exchangeLimit, the connection counts as silent.
	probeInterval = 250 * time.Millisecond
	maxMisses     = 2
	// maxForwards bounds how often a ticket is sent to its home, each time on a
	// new connection.
	maxForwards = 2
)

// RunTicket asks the instance that holds the ledger of the ticket's home to run
// the call. When it doesn't answer, instances of its data centre are asked to
// pass the request on: they may reach it, or know who holds the ledger now. When
// that fails too, nobody knows whether the call ran. The answer then comes at
// once when the home is gone, and after a few looks when it is silent.
func (l *links) RunTicket(ctx context.Context, t ticket.Ticket, text string, r call.Request) charge.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	request := &peerpb.TicketRequest{
		Ticket: text, RequestId: r.ID.String(), Team: r.Team, Class: r.Class, ContentType: r.ContentType, Body: r.Body,
		DeadlineUnixMs: r.Deadline.UnixMilli(),
	}
	result := l.runAtHome(ctx, t.Home, request)
	if verdict.Of(result.Err).Reason != verdict.HomeGone {
		return result
	}
	request.Relay = true
	for _, relay := range l.relays(t) {
		reply, err := l.forward(ctx, relay, request)
		if err != nil {
			continue
		}
		relayed := settle(resultFromWire(reply), true)
		switch verdict.Of(relayed.Err).Reason {
		case verdict.HomeGone, verdict.Overloaded, verdict.Stopping:
			continue // Another may do better.
		}
		return relayed
	}
	return result
}

// runAtHome sends the request to the holder of the home's ledger. The holder
// knows the ticket again, so it may be sent more than once.
func (l *links) runAtHome(ctx context.Context, home ident.Home, request *peerpb.TicketRequest) charge.Result {
	var err error
	for try := range maxForwards {
		var reply *peerpb.TicketReply
		reply, err = l.forward(ctx, l.holders.of(home), request)
		if err == nil {
			return settle(resultFromWire(reply), try > 0)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "the ticket's home does not answer: %v", err)}
}

// settle returns what a reply proves when the request was sent before, with an
// unknown fate. Then a refusal speaks of the last sending only, unless it is the
// ledger's word that the ticket can't run.
func settle(result charge.Result, sentBefore bool) charge.Result {
	outcome := verdict.Of(result.Err)
	closed := result.RetryTicket != "" || outcome.Reason == verdict.TicketClosed || outcome.Reason == verdict.TicketExpired
	if !sentBefore || outcome.Verdict != verdict.NotRun || closed {
		return result
	}
	return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, outcome.Reason, "sent before without an answer, and now: %s", outcome.Detail)}
}

// maxRelays bounds how many instances are asked to pass a ticket on.
const maxRelays = 2

// relays returns instances of the data centre of the ticket's home.
func (l *links) relays(t ticket.Ticket) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, listed := range l.rt.Snapshot().ListedPeers {
		if listed.DataCentre == t.DataCentre && !listed.Leaving && listed.Peer != l.holders.of(t.Home) && listed.Peer != t.Home.Peer && len(addrs) < maxRelays {
			addrs = append(addrs, listed.Peer)
		}
	}
	return addrs
}

// forward sends the request once, and abandons a connection that is silent.
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
		if l.watchSilence(ctx, client) {
			cancel(errSilent)
			l.abandon(addr, conn)
		}
	})
	reply, err := client.RunTicket(ctx, request)
	if cause := context.Cause(ctx); err != nil && cause == errSilent {
		return nil, cause
	}
	return reply, err
}

var errSilent = verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "the connection is silent")

// watchSilence returns true when the peer stops answering before ctx ends.
func (l *links) watchSilence(ctx context.Context, client peerpb.PeerClient) bool {
	misses := 0
	for misses < maxMisses {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(probeInterval):
		}
		probe, cancel := context.WithTimeout(ctx, exchangeLimit)
		_, err := client.Exchange(probe, l.heartbeat(l.rt.Snapshot().LeavingHash, ""))
		cancel()
		misses++
		if err == nil {
			misses = 0
		}
	}
	return ctx.Err() == nil
}

// abandon closes the connection, so that the next use makes a new one.
func (l *links) abandon(addr netip.AddrPort, conn *grpc.ClientConn) {
	l.mu.Lock()
	if l.conns[addr] == conn {
		delete(l.conns, addr)
	}
	l.mu.Unlock()
	conn.Close()
}
