package peer

import (
	"context"
	"maps"

	"github.com/joomcode/errorx"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/event"
	"mangoloft/peerpb"
)

// fetch brings configurations from peers that have a newer one.
func (l *links) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case asked := <-l.fetches:
			doc, err := l.fetchFrom(ctx, asked)
			if err != nil {
				l.rt.Log.Emit(event.ConfigServiceFailed, "peer", asked.Peer.Name, "error", err)
				continue
			}
			l.rt.Send(control.ConfigOffered{Document: doc, Source: asked.Peer.Name})
		}
	}
}

func (l *links) fetchFrom(ctx context.Context, asked control.FetchConfig) (config.Document, error) {
	client, err := l.client(asked.Peer.Home.Peer)
	if err != nil {
		return config.Document{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	have := l.rt.Snapshot().Document
	for _, base := range []config.Document{have, {}} {
		reply, err := client.FetchConfig(ctx, &peerpb.ConfigRequest{HaveVersion: base.Index.Version})
		if err != nil {
			return config.Document{}, err
		}
		doc := merge(base, reply)
		if doc.Index.Digest() == reply.Digest {
			return doc, nil
		}
	}
	return config.Document{}, errorx.ExternalError.New("the values from %s do not fit its digest", asked.Peer.Name)
}

// merge puts the values of reply over those of base. A removed key stays, so
// the digest then differs and the caller asks for all values.
func merge(base config.Document, reply *peerpb.ConfigReply) config.Document {
	doc := config.Document{
		Index:  config.Index{Version: reply.Version, Values: maps.Clone(base.Index.Values)},
		Values: maps.Clone(base.Values),
	}
	if doc.Values == nil {
		doc.Index.Values, doc.Values = map[string]config.Entry{}, map[string][]byte{}
	}
	for _, value := range reply.Values {
		doc.Index.Values[value.Key] = config.Entry{Version: value.Version, SHA256: config.Hash(value.Content)}
		doc.Values[value.Key] = value.Content
	}
	return doc
}

// newerValues is the other side of merge.
func newerValues(doc config.Document, digest string, haveVersion uint64) *peerpb.ConfigReply {
	reply := &peerpb.ConfigReply{Version: doc.Index.Version, Digest: digest}
	for key, entry := range doc.Index.Values {
		if entry.Version > haveVersion {
			reply.Values = append(reply.Values, &peerpb.ConfigValue{Key: key, Version: entry.Version, Content: doc.Values[key]})
		}
	}
	return reply
}
