package peer

import (
	"context"
	"maps"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/event"
	"mangoloft/member"
	"mangoloft/peerpb"
)

// fetchConfig fetches a peer's newer configuration and sends it to the control
// goroutine.
func (l *links) fetchConfig(ctx context.Context, from member.Peer) {
	requestedAt := time.Now()
	doc, err := l.requestConfig(ctx, from)
	if err != nil {
		l.rt.Log.EmitRateLimited(event.ConfigServiceFailed, "peer", from.Name, "error", err)
		l.rt.Send(control.FetchFailed{})
		return
	}
	l.rt.Send(control.ConfigReceived{Document: doc, Source: from.Name, RequestedAt: requestedAt})
}

// requestConfig requests the values that changed after the local version. If the
// result doesn't have the peer's digest, it requests all values.
func (l *links) requestConfig(ctx context.Context, from member.Peer) (config.Document, error) {
	client, err := l.client(from.Home.Peer)
	if err != nil {
		return config.Document{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current := l.rt.Snapshot().Document
	for _, base := range []config.Document{current, {}} {
		reply, err := client.FetchConfig(ctx, &peerpb.ConfigRequest{HaveVersion: base.Index.Version}, grpc.UseCompressor(gzip.Name))
		if err != nil {
			return config.Document{}, err
		}
		doc := applyDelta(base, reply)
		if doc.Index.Digest() == reply.Digest {
			return doc, nil
		}
	}
	return config.Document{}, errorx.ExternalError.New("the values from %s don't match its digest", from.Name)
}

// applyDelta returns base with the changes of reply applied. If the two instances
// have different histories, the result doesn't have the digest of reply, and the
// caller must fetch all values.
func applyDelta(base config.Document, reply *peerpb.ConfigReply) config.Document {
	doc := config.Document{
		Index:  config.Index{Version: reply.Version, Values: maps.Clone(base.Index.Values)},
		Values: maps.Clone(base.Values),
	}
	if doc.Values == nil {
		doc.Index.Values, doc.Values = map[string]config.IndexEntry{}, map[string][]byte{}
	}
	for _, value := range reply.Values {
		doc.Index.Values[value.Key] = config.IndexEntry{Version: value.Version, SHA256: config.Hash(value.Content)}
		doc.Values[value.Key] = value.Content
	}
	for _, key := range reply.Removed {
		delete(doc.Index.Values, key)
		delete(doc.Values, key)
	}
	return doc
}

// deltaSince returns the changes of the document after haveVersion. applyDelta
// applies them.
func deltaSince(doc config.Document, removed []config.Removal, digest string, haveVersion uint64) *peerpb.ConfigReply {
	reply := &peerpb.ConfigReply{Version: doc.Index.Version, Digest: digest}
	for key, entry := range doc.Index.Values {
		if entry.Version > haveVersion {
			reply.Values = append(reply.Values, &peerpb.ConfigValue{Key: key, Version: entry.Version, Content: doc.Values[key]})
		}
	}
	for _, removal := range removed {
		if _, readded := doc.Index.Values[removal.Key]; removal.Version > haveVersion && !readded {
			reply.Removed = append(reply.Removed, removal.Key)
		}
	}
	return reply
}
