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
}

// CrashReceived contains another instance's report of a crash.
type CrashReceived struct{ Crash containment.Crash }

// FindingReceived contains what another instance knows of a part of prompts.
type FindingReceived struct{ Finding containment.Finding }

func (UpstreamEnded) decideEvent()   {}
func (CrashReceived) decideEvent()   {}
func (FindingReceived) decideEvent() {}

// NotifyCrash sends the report of a crash to all other instances.
type NotifyCrash struct{ Crash containment.Crash }

// NotifyFinding sends what is known of a part of prompts to all other instances.
type NotifyFinding struct{ Finding containment.Finding }

// ContainmentChanged reports that the containment of a part of prompts has begun or ended.
type ContainmentChanged struct {
	Finding   containment.Finding
	Contained bool
}

func (NotifyCrash) decideAction()        {}
func (NotifyFinding) decideAction()      {}
func (ContainmentChanged) decideAction() {}

// Contained returns the contained parts of prompts.
func (s *Scheduler) Contained() []containment.Finding { return s.containment.Contained() }

func engineOf(u *upstream) containment.Engine {
	return containment.Engine{Name: u.Name, Incarnation: u.Incarnation}
}

// handleUpstreamEnded suspects the prompts of an upstream that has ended, unless it had said
// that it would leave.
func (s *Scheduler) handleUpstreamEnded(now time.Time, e UpstreamEnded) {
	if u := s.upstreams[e.Upstream]; u != nil && u.Incarnation == e.Incarnation && !u.Leaving {
		s.containment.Ended(now, engineOf(u), e.At)
	}
}

// refuseContained refuses a request whose prompt has a contained part. It reports whether
// it did.
func (s *Scheduler) refuseContained(now time.Time, r Request) (Refuse, bool) {
	f, blocked := s.containment.Blocked(now, r.Parts)
	if !blocked {
		return Refuse{}, false
	}
	explanation := fmt.Sprintf("engines crash on part %s of the prompt, contained for %v", f.Part, now.Sub(f.ContainedAt).Round(time.Millisecond))
	return Refuse{ID: r.ID, Reason: verdict.PromptContained, RetryAt: f.ProbeAt, Explanation: explanation}, true
}

// containmentActions returns the actions that follow from the tracking of crashes.
func (s *Scheduler) containmentActions() []Action {
	out := s.containment.Take()
	var actions []Action
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
	return actions
}
