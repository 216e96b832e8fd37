package decide

import (
	"fmt"
	"slices"
	"time"

	"mangoloft/ident"
	"mangoloft/verdict"
)

// refusalBackoff is when a refused request may come back, until a forecast
// knows better.
const refusalBackoff = time.Second

// Scheduler places requests. It belongs to one goroutine.
type Scheduler struct {
	dataCentre string
	upstreams  []upstream
	placed     map[ident.Request]string
}

type upstream struct {
	Upstream
	report Report
	// outstanding counts what this instance placed there and that isn't over.
	outstanding int
}

// New returns a scheduler for an instance in the data centre.
func New(dataCentre string) *Scheduler {
	return &Scheduler{dataCentre: dataCentre, placed: map[ident.Request]string{}}
}

// Step takes one event at a time that never falls, and returns what to do.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(e.Upstreams)
	case Reported:
		if u := s.find(e.Upstream); u != nil && e.Report.TakenAt.After(u.report.TakenAt) {
			u.report = e.Report
		}
	case Arrived:
		return []Action{s.place(now, e.Request)}
	case Ended:
		s.release(e.ID)
	case Progressed, Failed, Tick:
	}
	return nil
}

func (s *Scheduler) replaceUpstreams(list []Upstream) {
	old := s.upstreams
	s.upstreams = make([]upstream, len(list))
	for i, next := range list {
		s.upstreams[i] = upstream{Upstream: next}
		for _, previous := range old {
			if previous.Name == next.Name {
				s.upstreams[i].report, s.upstreams[i].outstanding = previous.report, previous.outstanding
			}
		}
	}
}

func (s *Scheduler) find(name string) *upstream {
	for i := range s.upstreams {
		if s.upstreams[i].Name == name {
			return &s.upstreams[i]
		}
	}
	return nil
}

func (s *Scheduler) place(now time.Time, r Request) Action {
	s.release(r.ID)
	var best *upstream
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.Pool != r.Class.Pool || u.Leaving || slices.Contains(r.Avoid, u.Name) {
			continue
		}
		if best == nil || s.before(u, best) {
			best = u
		}
	}
	if best == nil {
		return Refuse{r.ID, verdict.NoUpstream, now.Add(refusalBackoff), fmt.Sprintf("no live upstream in pool %s", r.Class.Pool)}
	}
	best.outstanding++
	s.placed[r.ID] = best.Name
	return Place{
		ID: r.ID, Upstream: best.Upstream,
		Why: fmt.Sprintf("least outstanding: %d here, %d running by report", best.outstanding, best.report.Running),
	}
}

// before reports whether a is the better choice: the own data centre first,
// then the fewest requests.
func (s *Scheduler) before(a, b *upstream) bool {
	if localA, localB := a.DataCentre == s.dataCentre, b.DataCentre == s.dataCentre; localA != localB {
		return localA
	}
	return a.outstanding+a.report.Waiting < b.outstanding+b.report.Waiting
}

func (s *Scheduler) release(id ident.Request) {
	name, ok := s.placed[id]
	if !ok {
		return
	}
	delete(s.placed, id)
	if u := s.find(name); u != nil {
		u.outstanding--
	}
}
