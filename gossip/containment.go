package gossip

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/containment"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/prompt"
)

// crashWire reports that an upstream has ended, with the traits of the requests that the
// sender had there. StartUnixMS identifies the incarnation.
type crashWire struct {
	ID          string `json:"id"`
	StartUnixMS uint64 `json:"born"`
	// AgoMS is the time in milliseconds since the end was noticed.
	AgoMS int64 `json:"ago_ms"`
	// Parts are those of prompts that the engine had just begun to answer, Waiting those
	// of others that it had not answered.
	Parts   []string `json:"parts,omitempty"`
	Waiting []string `json:"waiting,omitempty"`
	// Requests are the fingerprints of requests; a report has either these or parts.
	Requests []string `json:"requests,omitempty"`
}

// findingWire is what the sender knows of a trait of requests: a part of prompts or the
// fingerprint of a request. Times are in milliseconds.
type findingWire struct {
	Part    string `json:"part,omitempty"`
	Request string `json:"request,omitempty"`
	// SurvivedAgoMS, ContainedAgoMS and CrashedAgoMS are the times since then; nil if it
	// never was.
	SurvivedAgoMS  *int64 `json:"survived_ago_ms,omitempty"`
	ContainedAgoMS *int64 `json:"contained_ago_ms,omitempty"`
	CrashedAgoMS   *int64 `json:"crashed_ago_ms,omitempty"`
	// ProbeInMS is the time until the next probe, possibly negative.
	ProbeInMS int64 `json:"probe_in_ms,omitempty"`
	Probes    int   `json:"probes,omitempty"`
}

// sendContainment sends reports of crashes and findings to all instances.
func (p *Peers) sendContainment(now time.Time, crashes []containment.Crash, findings []containment.Finding) {
	for _, c := range crashes {
		for chunk := range slices.Chunk(c.Traits, maxTraits) {
			part := containment.Crash{Kind: c.Kind, Upstream: c.Upstream, At: c.At, Traits: chunk}
			p.sendToAll(now, datagramWire{Crashes: []crashWire{encodeCrash(now, part)}})
		}
		for chunk := range slices.Chunk(c.Waiting, maxTraits) {
			part := containment.Crash{Kind: c.Kind, Upstream: c.Upstream, At: c.At, Waiting: chunk}
			p.sendToAll(now, datagramWire{Crashes: []crashWire{encodeCrash(now, part)}})
		}
	}
	for chunk := range slices.Chunk(findings, maxTraits) {
		p.sendToAll(now, datagramWire{Findings: encodeFindings(now, chunk)})
	}
}

// handleContainment submits the reports of crashes and the findings of a datagram.
func (p *Peers) handleContainment(now time.Time, w datagramWire) {
	for _, c := range w.Crashes {
		crash, err := decodeCrash(now, c)
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed crash", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleCrash(crash)
	}
	for _, finding := range w.Findings {
		f, err := decodeFinding(now, finding)
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed finding", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleFinding(f)
	}
}

// newestContained returns the traits that were contained last, for heartbeats, so that
// instances that have started since refuse requests with them too.
func (p *Peers) newestContained() []containment.Finding {
	list := slices.Clone(p.options.State().Contained)
	slices.SortFunc(list, func(a, b containment.Finding) int { return b.ContainedAt.Compare(a.ContainedAt) })
	return list[:min(len(list), maxHeartbeatFindings)]
}

func encodeCrash(now time.Time, c containment.Crash) crashWire {
	w := crashWire{ID: c.Upstream.Name, StartUnixMS: uint64(c.Upstream.Incarnation), AgoMS: max(0, now.Sub(c.At).Milliseconds())}
	if c.Kind == containment.Requests {
		w.Requests = encodeTraits(c.Traits)
	} else {
		w.Parts, w.Waiting = encodeTraits(c.Traits), encodeTraits(c.Waiting)
	}
	return w
}

func encodeTraits(traits []containment.Trait) []string {
	var ids []string
	for _, t := range traits {
		ids = append(ids, t.String())
	}
	return ids
}

func decodeTrait(id string) containment.Trait { return containment.Trait(prompt.ParsePart(id)) }

func decodeTraits(ids []string) []containment.Trait {
	var traits []containment.Trait
	for _, id := range ids[:min(len(ids), maxTraits)] {
		traits = append(traits, decodeTrait(id))
	}
	return traits
}

func decodeCrash(now time.Time, w crashWire) (containment.Crash, error) {
	at, err := decodeAge(now, &w.AgoMS)
	if err != nil {
		return containment.Crash{}, err
	}
	c := containment.Crash{Upstream: containment.Upstream{Name: w.ID, Incarnation: ident.Incarnation(w.StartUnixMS)}, At: at}
	if len(w.Requests) > 0 {
		c.Kind, c.Traits = containment.Requests, decodeTraits(w.Requests)
	} else {
		c.Traits, c.Waiting = decodeTraits(w.Parts), decodeTraits(w.Waiting)
	}
	return c, nil
}

func encodeFindings(now time.Time, findings []containment.Finding) []findingWire {
	var wires []findingWire
	for _, f := range findings {
		w := findingWire{
			SurvivedAgoMS: encodeAge(now, f.SurvivedAt), ContainedAgoMS: encodeAge(now, f.ContainedAt),
			CrashedAgoMS: encodeAge(now, f.CrashedAt), Probes: f.Probes,
		}
		if f.Kind == containment.Requests {
			w.Request = f.Trait.String()
		} else {
			w.Part = f.Trait.String()
		}
		if !f.ProbeAt.IsZero() {
			w.ProbeInMS = f.ProbeAt.Sub(now).Milliseconds()
		}
		wires = append(wires, w)
	}
	return wires
}

func decodeFinding(now time.Time, w findingWire) (containment.Finding, error) {
	f := containment.Finding{Trait: decodeTrait(w.Part), Probes: w.Probes}
	if w.Request != "" {
		f.Kind, f.Trait = containment.Requests, decodeTrait(w.Request)
	}
	var errs [3]error
	f.SurvivedAt, errs[0] = decodeAge(now, w.SurvivedAgoMS)
	f.ContainedAt, errs[1] = decodeAge(now, w.ContainedAgoMS)
	f.CrashedAt, errs[2] = decodeAge(now, w.CrashedAgoMS)
	for _, err := range errs {
		if err != nil {
			return containment.Finding{}, err
		}
	}
	if w.Probes < 0 || max(w.ProbeInMS, -w.ProbeInMS) > maxFindingAge.Milliseconds() {
		return containment.Finding{}, errorx.IllegalFormat.New("the next probe of %v is out of range", f.Trait)
	}
	if !f.ContainedAt.IsZero() {
		f.ProbeAt = now.Add(milliseconds(w.ProbeInMS))
	}
	return f, nil
}

// encodeAge returns the time in milliseconds since t; nil if it is zero.
func encodeAge(now, t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	return new(max(0, now.Sub(t).Milliseconds()))
}

// decodeAge returns the time that was the given number of milliseconds ago; zero for nil.
func decodeAge(now time.Time, ms *int64) (time.Time, error) {
	switch {
	case ms == nil:
		return time.Time{}, nil
	case *ms < 0 || *ms > maxFindingAge.Milliseconds():
		return time.Time{}, errorx.IllegalFormat.New("an age of %d ms is out of range", *ms)
	}
	return now.Add(-milliseconds(*ms)), nil
}
