// Package baseline contains simple placement policies as a baseline for
// measurements of the scheduler, and an upper bound: the scheduler with
// perfect forecasts of output lengths. It is linked only into the entry
// instance of the measurement tool.
package baseline

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// Options configure a policy.
type Options struct {
	DataCentre string
	// LengthsFile is the path of the file with the true output lengths, which
	// only the policy known_lengths reads.
	LengthsFile string
	// Seed is the random seed of the policies that choose at random.
	Seed uint64
}

var policies = map[string]func(Options) (control.Scheduler, error){}

func register(name string, newScheduler func(Options) (control.Scheduler, error)) {
	policies[name] = newScheduler
}

// New returns the scheduler of the named policy.
func New(name string, o Options) (control.Scheduler, error) {
	newScheduler, ok := policies[name]
	if !ok {
		return nil, errorx.IllegalArgument.New("unknown policy %q; available policies: %s", name, strings.Join(Names(), ", "))
	}
	return newScheduler(o)
}

// Names returns the names of all policies, sorted.
func Names() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func init() {
	register("mangoloft", func(o Options) (control.Scheduler, error) { return decide.New(o.DataCentre), nil })
}

// candidate is an upstream with its load.
type candidate struct {
	decide.Upstream
	report decide.Report
	// outstanding is the number of unfinished requests that this instance placed
	// on the upstream.
	outstanding int
}

// rule is a scheduler that places every request immediately, on the upstream
// returned by choose. It refuses a request only if there is no upstream.
type rule struct {
	choose    func(live []*candidate) *candidate
	upstreams map[string]*candidate
	order     []string
	placed    map[ident.Request]string
}

func newRule(choose func(live []*candidate) *candidate) *rule {
	return &rule{choose: choose, upstreams: map[string]*candidate{}, placed: map[ident.Request]string{}}
}

// Step implements control.Scheduler.
func (r *rule) Step(now time.Time, e decide.Event) []decide.Action {
	switch e := e.(type) {
	case decide.UpstreamsChanged:
		r.replace(e.Upstreams)
	case decide.ReportReceived:
		if c := r.upstreams[e.Upstream]; c != nil && e.Report.TakenAt.After(c.report.TakenAt) {
			c.report = e.Report
		}
	case decide.Arrived:
		return []decide.Action{r.place(now, e.Request)}
	case decide.Ended:
		r.release(e.ID)
	}
	return nil
}

func (r *rule) replace(list []decide.Upstream) {
	previous := r.upstreams
	r.upstreams, r.order = map[string]*candidate{}, nil
	for _, u := range list {
		c := &candidate{Upstream: u}
		if known := previous[u.Name]; known != nil {
			c.report, c.outstanding = known.report, known.outstanding
		}
		r.upstreams[u.Name] = c
		r.order = append(r.order, u.Name)
	}
	slices.Sort(r.order)
}

func (r *rule) place(now time.Time, request decide.Request) decide.Action {
	r.release(request.ID)
	var live []*candidate
	for _, name := range r.order {
		c := r.upstreams[name]
		if c.Pool == request.Class.Pool && !c.Leaving && !slices.Contains(request.Excluded, name) {
			live = append(live, c)
		}
	}
	if len(live) == 0 {
		return decide.Refuse{ID: request.ID, Reason: verdict.NoUpstream, RetryAt: now.Add(time.Second), Explanation: "no live upstream"}
	}
	chosen := r.choose(live)
	chosen.outstanding++
	r.placed[request.ID] = chosen.Name
	return decide.Place{ID: request.ID, Upstream: chosen.Upstream, Explanation: fmt.Sprintf("simple rule: one of %d upstreams", len(live))}
}

func (r *rule) release(id ident.Request) {
	if c := r.upstreams[r.placed[id]]; c != nil {
		c.outstanding--
	}
	delete(r.placed, id)
}
