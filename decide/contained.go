package decide

import (
	"fmt"
	"time"

	"mangoloft/containment"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// UpstreamEnded reports that the process of an upstream has ended, as noticed at a time.
type UpstreamEnded struct {
	Upstream    string
	Incarnation ident.Incarnation
	At          time.Time
	// Unsent is the request whose connection was refused, if this showed the end.
	Unsent ident.Request
}

// CrashReceived contains another instance's report of a crash.
type CrashReceived struct{ Crash containment.Crash }

// FindingReceived contains what another instance knows of a trait of requests.
type FindingReceived struct{ Finding containment.Finding }

func (UpstreamEnded) decideEvent()   {}
func (CrashReceived) decideEvent()   {}
func (FindingReceived) decideEvent() {}

// NotifyCrash sends the report of a crash to all other instances.
type NotifyCrash struct{ Crash containment.Crash }

// NotifyFinding sends what is known of a trait of requests to all other instances.
type NotifyFinding struct{ Finding containment.Finding }

// ContainmentChanged reports that the containment of a trait of requests has begun or ended.
type ContainmentChanged struct {
	Finding   containment.Finding
	Contained bool
}

func (NotifyCrash) decideAction()        {}
func (NotifyFinding) decideAction()      {}
func (ContainmentChanged) decideAction() {}

// trackers track the traits of requests on which upstreams crash, by kind.
type trackers [2]*containment.Tracker

func newTrackers() trackers {
	return trackers{containment.PromptParts: containment.New(containment.PromptParts), containment.Requests: containment.New(containment.Requests)}
}

func (l trackers) setInstances(n int) {
	for _, t := range l {
		t.SetInstances(n)
	}
}

func (l trackers) tick(now time.Time) {
	for _, t := range l {
		t.Tick(now)
	}
}

func (l trackers) sent(now time.Time, r Request, to containment.Upstream) {
	l[containment.PromptParts].Sent(now, r.ID, to, containment.PartTraits(r.Parts))
	l[containment.Requests].Sent(now, r.ID, to, containment.RequestTraits(r.Fingerprint))
}

func (l trackers) answered(id ident.Request) {
	for _, t := range l {
		t.Answered(id)
	}
}

func (l trackers) began(now time.Time, id ident.Request) {
	for _, t := range l {
		t.Began(now, id)
	}
}

func (l trackers) closed(now time.Time, id ident.Request, completed, neverRan bool) {
	for _, t := range l {
		t.Closed(now, id, completed, neverRan)
	}
}

// Contained returns the contained traits of requests.
func (s *Scheduler) Contained() []containment.Finding {
	var all []containment.Finding
	for _, t := range s.trackers {
		all = append(all, t.Contained()...)
	}
	return all
}

func containedUpstream(u *upstream) containment.Upstream {
	return containment.Upstream{Name: u.Name, Incarnation: u.Incarnation}
}

// handleUpstreamEnded suspects the requests of an upstream that has ended, unless it had
// said that it would leave, or this instance is cut off from its pool.
func (s *Scheduler) handleUpstreamEnded(now time.Time, e UpstreamEnded) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation || u.Leaving || s.isLost(u.Pool) {
		return
	}
	s.trackers.closed(now, e.Unsent, false, true)
	for _, t := range s.trackers {
		t.Ended(now, containedUpstream(u), e.At)
	}
}

// refuseContained refuses a request with a contained trait. It reports whether it did.
func (s *Scheduler) refuseContained(now time.Time, r Request) (Refuse, bool) {
	if f, blocked := s.trackers[containment.PromptParts].Blocked(now, containment.PartTraits(r.Parts)); blocked {
		explanation := fmt.Sprintf("engines crash on part %s of the prompt, contained for %v", f.Trait, now.Sub(f.ContainedAt).Round(time.Millisecond))
		return Refuse{ID: r.ID, Reason: verdict.PromptContained, RetryAt: f.ProbeAt, Explanation: explanation}, true
	}
	if f, blocked := s.trackers[containment.Requests].Blocked(now, containment.RequestTraits(r.Fingerprint)); blocked {
		explanation := fmt.Sprintf("upstreams crash on this request, fingerprint %s, contained for %v", f.Trait, now.Sub(f.ContainedAt).Round(time.Millisecond))
		return Refuse{ID: r.ID, Reason: verdict.RequestContained, RetryAt: f.ProbeAt, Explanation: explanation}, true
	}
	return Refuse{}, false
}

// containmentActions returns the actions that follow from the tracking of crashes.
func (s *Scheduler) containmentActions() []Action {
	var actions []Action
	for _, t := range s.trackers {
		out := t.Take()
		for _, c := range out.Crashes {
			actions = append(actions, NotifyCrash{c})
		}
		for _, f := range out.Findings {
			actions = append(actions, NotifyFinding{f})
		}
		for _, f := range out.Contained {
			actions = append(actions, ContainmentChanged{f, true})
		}
		for _, f := range out.Released {
			actions = append(actions, ContainmentChanged{f, false})
		}
	}
	return actions
}
