package peer

import (
	"context"
	"encoding/json"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/peerpb"
	"mangoloft/verdict"
)

// Explain returns the audit records of a request, which it reads from the request's
// home.
func (l *links) Explain(ctx context.Context, id ident.Request) ([]json.RawMessage, error) {
	if id.Home == l.rt.Home {
		return l.rt.Trail.Find(id.String()), nil
	}
	// The id is not signed, so it could contain any address.
	if !l.isEntryInstance(id.Home) {
		return nil, nil
	}
	client, err := l.client(id.Home.Peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := client.Explain(ctx, &peerpb.ExplainRequest{RequestId: id.String()})
	if status.Code(err) == codes.Unavailable {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.HomeUnavailable, "the request's home does not answer; its audit trail is in the logs: %v", err)
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

// isEntryInstance reports whether the home's address belongs to a listed or live
// entry instance.
func (l *links) isEntryInstance(home ident.Home) bool {
	snapshot := l.rt.Snapshot()
	return slices.ContainsFunc(snapshot.ListedPeers, func(m member.ListedInstance) bool { return m.Peer == home.Peer }) ||
		slices.ContainsFunc(snapshot.Peers, func(p member.Peer) bool { return p.Home.Peer == home.Peer })
}
