package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/peerpb"
	"mangoloft/verdict"
)

const (
	// probeInterval is the time between two looks whether the home of a
	// forwarded ticket is still there. After maxMisses looks without an answer,
	// each within exchangeLimit, the connection counts as silent.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
	// maxForwards bounds how often a ticket is sent to its home, each time on a
	// new connection. The home knows the ticket again, so it runs once.
	maxForwards = 2
)

// RunTicket asks the instance that holds the ledger of the ticket's home to run
// the call. When it doesn't answer, nobody knows whether the call ran; the
// answer then comes at once when the instance is gone, and after a few looks
// when it is silent.
func (l *links) RunTicket(ctx context.Context, home ident.Home, text string, r call.Request) charge.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	request := &peerpb.TicketRequest{
		Ticket: text, RequestId: r.ID.String(), Team: r.Team, Class: r.Class, ContentType: r.ContentType, Body: r.Body,
		DeadlineUnixMs: r.Deadline.UnixMilli(),
	}
	var err error
	for range maxForwards {
		var reply *peerpb.TicketReply
		reply, err = l.forward(ctx, home, request)
		if err == nil {
			return resultFromWire(reply)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "the ticket's home does not answer: %v", err)}
}

// forward sends the request once, and abandons a connection that is silent.
func (l *links) forward(ctx context.Context, home ident.Home, request *peerpb.TicketRequest) (*peerpb.TicketReply, error) {
	addr := l.holders.of(home)
	client, err := l.client(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() {
		if l.watchSilence(ctx, client) {
			cancel(errSilent)
			l.abandon(addr)
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
func (l *links) abandon(addr netip.AddrPort) {
	l.mu.Lock()
	conn, ok := l.conns[addr]
	delete(l.conns, addr)
	l.mu.Unlock()
	if ok {
		conn.Close()
	}
}
