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

// crashWire reports that an engine has ended, with the parts of the prompts that the
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
}

// partWire is what the sender knows of a part of prompts. Times are in milliseconds.
type partWire struct {
	Part string `json:"part"`
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
		for chunk := range slices.Chunk(c.Parts, maxParts) {
			part := containment.Crash{Engine: c.Engine, At: c.At, Parts: chunk}
			p.sendToAll(now, datagramWire{Crashes: []crashWire{encodeCrash(now, part)}})
		}
		for chunk := range slices.Chunk(c.Waiting, maxParts) {
			part := containment.Crash{Engine: c.Engine, At: c.At, Waiting: chunk}
			p.sendToAll(now, datagramWire{Crashes: []crashWire{encodeCrash(now, part)}})
		}
	}
	for chunk := range slices.Chunk(findings, maxParts) {
		p.sendToAll(now, datagramWire{Parts: encodeFindings(now, chunk)})
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
	for _, part := range w.Parts {
		f, err := decodeFinding(now, part)
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed part", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleFinding(f)
	}
}

// newestContained returns the parts that were contained last, for heartbeats, so that
// instances that have started since refuse requests with them too.
func (p *Peers) newestContained() []containment.Finding {
	list := slices.Clone(p.options.State().Contained)
	slices.SortFunc(list, func(a, b containment.Finding) int { return b.ContainedAt.Compare(a.ContainedAt) })
	return list[:min(len(list), maxHeartbeatParts)]
}

func encodeCrash(now time.Time, c containment.Crash) crashWire {
	return crashWire{
		ID: c.Engine.Name, StartUnixMS: uint64(c.Engine.Incarnation), AgoMS: max(0, now.Sub(c.At).Milliseconds()),
		Parts: encodeParts(c.Parts), Waiting: encodeParts(c.Waiting),
	}
}

func encodeParts(parts []prompt.Part) []string {
	var ids []string
	for _, part := range parts {
		ids = append(ids, part.String())
	}
	return ids
}

func decodeParts(ids []string) []prompt.Part {
	var parts []prompt.Part
	for _, id := range ids[:min(len(ids), maxParts)] {
		parts = append(parts, prompt.ParsePart(id))
	}
	return parts
}

func decodeCrash(now time.Time, w crashWire) (containment.Crash, error) {
	at, err := decodeAge(now, &w.AgoMS)
	if err != nil {
		return containment.Crash{}, err
	}
	engine := containment.Engine{Name: w.ID, Incarnation: ident.Incarnation(w.StartUnixMS)}
	return containment.Crash{Engine: engine, At: at, Parts: decodeParts(w.Parts), Waiting: decodeParts(w.Waiting)}, nil
}

func encodeFindings(now time.Time, findings []containment.Finding) []partWire {
	var wires []partWire
	for _, f := range findings {
		w := partWire{
			Part: f.Part.String(), SurvivedAgoMS: encodeAge(now, f.SurvivedAt), ContainedAgoMS: encodeAge(now, f.ContainedAt),
			CrashedAgoMS: encodeAge(now, f.CrashedAt), Probes: f.Probes,
		}
		if !f.ProbeAt.IsZero() {
			w.ProbeInMS = f.ProbeAt.Sub(now).Milliseconds()
		}
		wires = append(wires, w)
	}
	return wires
}

func decodeFinding(now time.Time, w partWire) (containment.Finding, error) {
	f := containment.Finding{Part: prompt.ParsePart(w.Part), Probes: w.Probes}
	var errs [3]error
	f.SurvivedAt, errs[0] = decodeAge(now, w.SurvivedAgoMS)
	f.ContainedAt, errs[1] = decodeAge(now, w.ContainedAgoMS)
	f.CrashedAt, errs[2] = decodeAge(now, w.CrashedAgoMS)
	for _, err := range errs {
		if err != nil {
			return containment.Finding{}, err
		}
	}
	if w.Probes < 0 || max(w.ProbeInMS, -w.ProbeInMS) > maxPartAge.Milliseconds() {
		return containment.Finding{}, errorx.IllegalFormat.New("the next probe of part %q is out of range", w.Part)
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
	case *ms < 0 || *ms > maxPartAge.Milliseconds():
		return time.Time{}, errorx.IllegalFormat.New("an age of %d ms is out of range", *ms)
	}
	return now.Add(-milliseconds(*ms)), nil
}
