package peer

import (
	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/ident"
	"mangoloft/peerpb"
)

func resultToWire(r charge.Result) *peerpb.TicketReply {
	return &peerpb.TicketReply{
		Outcome: outcomeToWire(r.Err), Status: int32(r.Answer.Status), ContentType: r.Answer.ContentType,
		Body: r.Answer.Body, Upstream: r.Answer.Upstream, Steps: r.Steps, RanAs: r.RanAs.String(), NextTicket: r.RetryTicket,
	}
}

func resultFromWire(reply *peerpb.TicketReply) charge.Result {
	// RanAs is used only to explain a request, so a malformed one is ignored.
	ranAs, _ := ident.ParseRequest(reply.GetRanAs())
	return charge.Result{
		Answer: call.Answer{
			Status: int(reply.GetStatus()), ContentType: reply.GetContentType(), Body: reply.GetBody(), Upstream: reply.GetUpstream(),
		},
		RanAs: ranAs, Steps: reply.GetSteps(), Err: errorFromWire(reply.GetOutcome()), RetryTicket: reply.GetNextTicket(),
	}
}
