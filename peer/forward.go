package peer

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/peerpb"
	"mangoloft/verdict"
)

// forwardLimit bounds a call that runs at another instance.
const forwardLimit = 15 * time.Second

// RunTicket asks the ticket's home to run the call. When the home doesn't
// answer, nobody knows whether it ran.
func (l *links) RunTicket(ctx context.Context, home ident.Home, text string, r call.Request) charge.Result {
	client, err := l.client(home.Peer)
	if err != nil {
		return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "%v", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	reply, err := client.RunTicket(ctx, &peerpb.TicketRequest{
		Ticket: text, RequestId: r.ID.String(), Team: r.Team, Class: r.Class, ContentType: r.ContentType, Body: r.Body,
	})
	if err != nil {
		return charge.Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "the ticket's home does not answer: %v", err)}
	}
	return charge.Result{
		Answer: call.Answer{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body, Upstream: reply.Upstream},
		Steps:  reply.Steps, Err: errorFromWire(reply.Outcome),
	}
}

// Explain returns the audit records of a request, from its home.
func (l *links) Explain(ctx context.Context, id ident.Request) ([]json.RawMessage, error) {
	if id.Home == l.rt.Home {
		return l.rt.Trail.Find(id.String()), nil
	}
	client, err := l.client(id.Home.Peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	reply, err := client.Explain(ctx, &peerpb.ExplainRequest{RequestId: id.String()})
	if status.Code(err) == codes.Unavailable {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.HomeGone, "the request's home does not answer; its trail is in the logs: %v", err)
	}
	if err != nil {
		return nil, err
	}
	records := make([]json.RawMessage, len(reply.Records))
	for i, record := range reply.Records {
		records[i] = json.RawMessage(record)
	}
	return records, nil
}
