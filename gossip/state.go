package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/history"
	"mangoloft/http1"
	"mangoloft/routing"
	"mangoloft/upstream"
)

const (
	statePath = "/state"
	// pullTimeout is the timeout of one call for a member's state.
	pullTimeout = 1500 * time.Millisecond
	// maxStateBytes is the maximum size of a member's response.
	maxStateBytes = 8 << 20
	// maxStateHeaderBytes is the maximum size of the head of a member's response.
	maxStateHeaderBytes = 64 << 10
)

var stateClient = &http.Client{Transport: http1.Transport{Base: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxStateHeaderBytes}}}

// Handler serves the routing table and the list to members that have older
// ones.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+originPath, p.serveOrigin)
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		state, query := p.options.State(), r.URL.Query()
		body := stateWire{Orders: encodeOrders(state.Orders)}
		if version, err := strconv.ParseUint(query.Get("table_version"), 10, 64); err == nil && state.TableVersion > version {
			body.Table = state.Table
		}
		era, errEra := strconv.ParseUint(query.Get("list_era"), 10, 64)
		revision, errRevision := strconv.ParseUint(query.Get("list_revision"), 10, 64)
		if errEra == nil && errRevision == nil && state.ListPosition.After(history.Position{Era: era, Revision: revision}) {
			items, at := p.options.List(r.Context())
			body.Items, body.ListEra, body.ListRevision = encodeItems(items), at.Era, at.Revision
		}
		w.Header().Set("Content-Type", "application/json")
		// Encoding fails if the member has disconnected. The member retries its
		// pull.
		_ = json.NewEncoder(w).Encode(body)
	})
	return mux
}

// pull fetches the routing table and the list from a member if they are newer
// there.
func (p *Peers) pull(ctx context.Context, m Member, current State) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?table_version=%d&list_era=%d&list_revision=%d", m.Control, statePath, current.TableVersion, current.ListPosition.Era, current.ListPosition.Revision)
	var wire stateWire
	if err := getJSON(ctx, url, maxStateBytes, &wire); err != nil {
		return err
	}
	if wire.Orders != nil {
		// Before the table, with which the instance begins to serve.
		orders, err := decodeOrders(wire.Orders)
		if err != nil {
			return errorx.Decorate(err, "decode orders of %s", m.Name)
		}
		p.sink.UpdateOrders(orders, m.Name)
	}
	if len(wire.Table) > 0 {
		table, err := p.options.Decoder.Table(wire.Table)
		if err != nil {
			return errorx.Decorate(err, "decode routing table of %s", m.Name)
		}
		p.sink.UpdateTable(routing.Document{Table: table, Raw: wire.Table}, m.Name)
	}
	if wire.listPosition().After(current.ListPosition) {
		p.sink.UpdateList(p.decodeItems(wire.Items), wire.listPosition(), true, upstream.FromPeer)
	}
	return nil
}

// getJSON makes a call to a member and decodes its response, of at most maxBytes.
func getJSON(ctx context.Context, url string, maxBytes int64, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := stateClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorx.ExternalError.New("response status %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(into); err != nil {
		return errorx.Decorate(err, "decode the response")
	}
	return nil
}

// decodeItems decodes list entries. The entry of an item is nil if it is deleted
// or can't be decoded.
func (p *Peers) decodeItems(wire []itemWire) []upstream.Item {
	items := make([]upstream.Item, 0, len(wire))
	for _, w := range wire {
		item := upstream.Item{ID: w.ID, Revision: w.Revision, Raw: w.Entry, Deleted: w.Deleted}
		if !w.Deleted {
			// The directory ignores an entry that can't be decoded; the
			// others are still valid.
			item.Entry, _ = p.options.Decoder.Entry(w.ID, w.Entry)
		}
		items = append(items, item)
	}
	return items
}
