package call_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mangoloft/call"
	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/verdict"
)

// scriptedServices is a scheduler and its services. It places attempts on the
// services in order, and refuses more attempts than there are services. The port
// selects the service.
type scriptedServices struct {
	behaviours []string

	mu             sync.Mutex
	placed         int
	calls          int
	reportedFailed []string
	ended          int
}

func (s *scriptedServices) Place(_ context.Context, r decide.Request) (decide.Place, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placed != len(r.Excluded) {
		return decide.Place{}, verdict.Fail(verdict.NotRun, verdict.Internal, "placed %d times, but %d upstreams are excluded", s.placed, len(r.Excluded))
	}
	if s.placed == len(s.behaviours) {
		return decide.Place{}, verdict.Fail(verdict.NotRun, verdict.Overloaded, "the retry budget is spent")
	}
	s.placed++
	addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(s.placed))
	return decide.Place{Upstream: decide.Upstream{Name: s.behaviours[s.placed-1], Addr: addr}}, nil
}

func (s *scriptedServices) Send(e control.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e := e.(control.SchedulerEvent).Event.(type) {
	case decide.Failed:
		s.reportedFailed = append(s.reportedFailed, e.Upstream)
	case decide.Ended:
		s.ended++
	}
}

func (s *scriptedServices) Call(ctx context.Context, addr netip.AddrPort, _ call.Request) (call.Answer, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	switch s.behaviours[addr.Port()-1] {
	case "silent":
		<-ctx.Done()
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "silent")
	case "lost":
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "lost")
	case "refuses":
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "refused")
	default:
		return call.Answer{Status: 200}, nil
	}
}

// TestRunIdempotent checks which services a call is sent to, and its outcome, when
// services answer, stay silent, fail or refuse.
func TestRunIdempotent(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]struct {
		behaviours     []string
		verdict        verdict.Verdict
		reason         verdict.Reason
		upstream       string
		calls          int
		reportedFailed []string
	}{
		"an answer":                     {[]string{"answers", "lost"}, verdict.Ran, verdict.Completed, "answers", 1, nil},
		"a lost answer":                 {[]string{"lost", "answers"}, verdict.Ran, verdict.Completed, "answers", 2, []string{"lost"}},
		"a silent service":              {[]string{"silent", "answers"}, verdict.Ran, verdict.Completed, "answers", 2, []string{"silent"}},
		"a refusal":                     {[]string{"refuses", "answers"}, verdict.Ran, verdict.Completed, "answers", 2, []string{"refuses"}},
		"no retry budget":               {[]string{"lost"}, verdict.MayHaveRun, verdict.UpstreamLost, "", 1, []string{"lost"}},
		"all services refuse":           {[]string{"refuses", "refuses"}, verdict.NotRun, verdict.UpstreamRefused, "", 2, []string{"refuses", "refuses"}},
		"a refusal after a lost answer": {[]string{"lost", "refuses"}, verdict.MayHaveRun, verdict.UpstreamLost, "", 2, []string{"lost", "refuses"}},
		"no more than three attempts":   {[]string{"lost", "lost", "lost", "answers"}, verdict.MayHaveRun, verdict.UpstreamLost, "", 3, []string{"lost", "lost", "lost"}},
		"refused by the scheduler":      {nil, verdict.NotRun, verdict.Overloaded, "", 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedServices{behaviours: test.behaviours}
			d := &call.Dispatcher{Scheduler: s, Client: s}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answer, _, err := d.RunIdempotent(ctx, config.Class{WaitTarget: 20 * time.Millisecond}, call.Request{})
			outcome := verdict.OutcomeOf(err)
			assert.Equal(t, outcome.Verdict, test.verdict, outcome.Detail)
			assert.Equal(t, outcome.Reason, test.reason, outcome.Detail)
			assert.Equal(t, answer.Upstream, test.upstream)
			assert.Equal(t, s.calls, test.calls)
			assert.DeepEqual(t, s.reportedFailed, test.reportedFailed)
			assert.Equal(t, s.ended, min(1, test.calls))
		})
	}
}
