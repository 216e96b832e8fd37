// Package baseline holds the simple rules that the product's scheduler is
// measured against, and the bound of a scheduler that knows every length. It
// is built only into the entry instance of the measurement tool.
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

// Options are what a policy may need.
type Options struct {
	DataCentre string
	// LengthsFile is the file with the true lengths, for the bound alone.
	LengthsFile string
	// Seed is for rules that draw lots.
	Seed uint64
}

var policies = map[string]func(Options) (control.Scheduler, error){}

func register(name string, create func(Options) (control.Scheduler, error)) { policies[name] = create }

// New returns the scheduler of the named policy.
func New(name string, o Options) (control.Scheduler, error) {
	create, ok := policies[name]
	if !ok {
		return nil, errorx.IllegalArgument.New("no policy %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return create(o)
}

// Names returns the policies' names, sorted.
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

// candidate is an upstream as a simple rule sees it.
type candidate struct {
	decide.Upstream
	report decide.Report
	// outstanding counts what this instance placed there and that isn't over.
	outstanding int
}

// rule is a scheduler that places every request at once at the upstream that
// choose picks, and refuses none while there is an upstream.
type rule struct {
	choose    func(of []*candidate) *candidate
	upstreams map[string]*candidate
	order     []string
	placed    map[ident.Request]string
}

func newRule(choose func(of []*candidate) *candidate) *rule {
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
	old := r.upstreams
	r.upstreams, r.order = map[string]*candidate{}, nil
	for _, u := range list {
		c := &candidate{Upstream: u}
		if previous := old[u.Name]; previous != nil {
			c.report, c.outstanding = previous.report, previous.outstanding
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
		if c.Pool == request.Class.Pool && !c.Leaving && !slices.Contains(request.Avoid, name) {
			live = append(live, c)
		}
	}
	if len(live) == 0 {
		return decide.Refuse{ID: request.ID, Reason: verdict.NoUpstream, RetryAt: now.Add(time.Second), Why: "no live upstream"}
	}
	chosen := r.choose(live)
	chosen.outstanding++
	r.placed[request.ID] = chosen.Name
	return decide.Place{ID: request.ID, Upstream: chosen.Upstream, Why: fmt.Sprintf("rule: one of %d", len(live))}
}

func (r *rule) release(id ident.Request) {
	if c := r.upstreams[r.placed[id]]; c != nil {
		c.outstanding--
	}
	delete(r.placed, id)
}
