package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mangoloft/event"
	"mangoloft/origin"
)

const (
	originPath = "/origin"
	// originTimeout is the timeout of a question about a stream's origin. The caller that
	// takes the stream up waits for it.
	originTimeout = 200 * time.Millisecond
	// maxOriginPeers is the maximum number of members that are asked at once.
	maxOriginPeers = 4
	// maxOriginBytes is the maximum size of an answer.
	maxOriginBytes = 4 << 10
)

// originWire is the answer to a question about a stream's origin.
type originWire struct {
	Known   bool   `json:"known"`
	Version string `json:"version,omitempty"`
}

// serveOrigin answers questions of members about a stream's origin.
func (p *Peers) serveOrigin(w http.ResponseWriter, r *http.Request) {
	stream, err := origin.ParseKey(r.URL.Query().Get("stream"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body originWire
	body.Version, body.Known = p.options.Origin(r.Context(), stream)
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails if the member has disconnected. It asks others too.
	_ = json.NewEncoder(w).Encode(body)
}

// FindOrigin asks some members which version began a stream, and returns the first
// answer of one that knows it.
func (p *Peers) FindOrigin(ctx context.Context, stream origin.Key) (version string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	var group sync.WaitGroup
	answers := make(chan originWire, maxOriginPeers)
	asked := 0
	for _, addr := range p.originPeers() {
		asked++
		group.Go(func() {
			var answer originWire
			err := getJSON(ctx, "http://"+addr.String()+originPath+"?stream="+stream.String(), maxOriginBytes, &answer)
			if err != nil && ctx.Err() == nil {
				p.options.Log.EmitRateLimited(event.StatePullFailed, "peer", addr.String(), "error", err.Error())
			}
			answers <- answer
		})
	}
	defer group.Wait()
	defer cancel()
	for range asked {
		if answer := <-answers; answer.Known {
			return answer.Version, true
		}
	}
	return "", false
}

// originPeers returns the control addresses of a few random members of the group in which
// the beginnings of streams are announced.
func (p *Peers) originPeers() []netip.AddrPort {
	list := p.groupControls.Load()
	if list == nil {
		return nil
	}
	peers := slices.Clone(*list)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxOriginPeers)]
}

// publishControls publishes the control addresses of the broadcast group for FindOrigin.
func (p *Peers) publishControls() {
	var list []netip.AddrPort
	for _, m := range p.members.BroadcastGroup() {
		list = append(list, m.Control)
	}
	p.groupControls.Store(&list)
	if len(list) > 0 {
		p.latestControls = list
	}
}
