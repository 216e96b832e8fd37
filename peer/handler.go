package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/peerpb"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// retryDelay is the delay after which a caller can retry a request that the home
// refused because it was overloaded or stopping.
const retryDelay = 1 * time.Second

// handler implements the gRPC service for peers.
type handler struct {
	peerpb.UnimplementedPeerServer
	rt    *kernel.Runtime
	links *links
}

// Exchange implements peerpb.PeerServer.
func (h *handler) Exchange(_ context.Context, wire *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	heartbeat, err := heartbeatFromWire(wire, time.Now())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	h.links.holders.update(wire)
	h.links.receiveHeartbeat(heartbeat, wire, time.Time{})
	return h.links.heartbeat(heartbeat.LeavingHash, heartbeat.DataCentre), nil
}

// FetchConfig implements peerpb.PeerServer.
func (h *handler) FetchConfig(_ context.Context, request *peerpb.ConfigRequest) (*peerpb.ConfigReply, error) {
	snapshot := h.rt.Snapshot()
	if snapshot.Config == nil {
		return nil, status.Error(codes.Unavailable, "no configuration yet")
	}
	return deltaSince(snapshot.Document, snapshot.Removed, snapshot.Config.Digest, request.HaveVersion), nil
}

// FetchList implements peerpb.PeerServer.
func (h *handler) FetchList(context.Context, *peerpb.ListRequest) (*peerpb.ListReply, error) {
	snapshot := h.rt.Snapshot()
	if snapshot.ListReadAt.IsZero() {
		return nil, status.Error(codes.Unavailable, "no instance list yet")
	}
	return listToWire(snapshot, time.Now()), nil
}

// ticketRunner runs the tickets of the homes whose ledgers this instance holds.
type ticketRunner interface {
	HoldsLedger(home ident.Home) bool
	RunLocally(ctx context.Context, t ticket.Ticket, r call.Request) charge.Result
}

// RunTicket implements peerpb.PeerServer.
func (h *handler) RunTicket(ctx context.Context, request *peerpb.TicketRequest) (*peerpb.TicketReply, error) {
	return resultToWire(h.runTicket(ctx, request)), nil
}

func (h *handler) runTicket(ctx context.Context, request *peerpb.TicketRequest) charge.Result {
	t, err := h.rt.Keyring.VerifyTicket(request.Ticket)
	if err != nil || t.Team != request.Team || t.Class != request.Class {
		return charge.Result{Err: verdict.Fail(verdict.NotRun, verdict.ForeignKey, "the ticket is malformed, or for another team or class")}
	}
	id, err := ident.ParseRequest(request.RequestId)
	if err != nil {
		return charge.Result{Err: verdict.Fail(verdict.NotRun, verdict.BadRequest, "%v", err)}
	}
	runner, ok := kernel.Find[ticketRunner](h.rt)
	if !ok {
		return charge.Result{Err: verdict.Fail(verdict.NotRun, verdict.Internal, "no plug-in runs tickets")}
	}
	// A refusal here applies to this request only. The ticket stays open, because
	// an earlier request may have run it.
	switch h.rt.Requests.Begin(kernel.Call) {
	case kernel.Admitted:
	case kernel.Full:
		return charge.Result{Err: verdict.FailAt(verdict.NotRun, verdict.Overloaded, time.Now().Add(retryDelay), "the ticket's home has as many requests open as its settings allow")}
	case kernel.Stopping:
		return charge.Result{Err: verdict.FailAt(verdict.NotRun, verdict.Stopping, time.Now().Add(retryDelay), "the ticket's home is stopping and hands its ledger over")}
	}
	defer h.rt.Requests.End(kernel.Call)
	if request.Relay && !runner.HoldsLedger(t.Home) {
		request.Relay = false
		return h.links.runAtHome(ctx, t.Home, request)
	}
	return runner.RunLocally(ctx, t, call.Request{
		ID: id, Team: request.Team, Class: request.Class, ContentType: request.ContentType, Body: request.Body,
		Deadline: time.UnixMilli(request.DeadlineUnixMs),
	})
}

// Explain implements peerpb.PeerServer.
func (h *handler) Explain(_ context.Context, request *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	reply := &peerpb.ExplainReply{}
	for _, record := range h.rt.Trail.Find(request.RequestId) {
		reply.Records = append(reply.Records, string(record))
	}
	return reply, nil
}
