package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// Scheduler places requests. It belongs to one goroutine.
//
// A stream goes to an engine only if the forecast of the engine's memory with
// it stays under capacity at every horizon, and the forecast of its pace
// meets the targets. Of the engines that it may go to, one is drawn with a
// chance in proportion to the memory that stays free: many instances that see
// the same reports then don't all choose the same engine. A stream that may
// go to none waits in the queue. Calls to plain services go to the one with
// the fewest, the own data centre first.
type Scheduler struct {
	dataCentre string
	lengths    LengthForecaster
	upstreams  map[string]*upstream
	order      []string
	pools      map[string]*pool
	placed     map[ident.Request]string
	// moves holds where a request is being moved to.
	moves map[ident.Request]string
	queue queue
	// reaches holds the data centres of which upstreams could not be reached.
	reaches map[string]*reach
	retries retryBudget
	// reportsFar says that other data centres tell the loads of their engines
	// instead of each placement, as they do in a large fleet.
	reportsFar bool
	// notices gathers what to tell after a step, to other instances and the log.
	notices []Action
}

// New returns a scheduler for an instance in the data centre.
func New(dataCentre string) *Scheduler { return NewWithLengths(dataCentre, newLearned()) }

// NewWithLengths is New with another forecast of lengths.
func NewWithLengths(dataCentre string, lengths LengthForecaster) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, lengths: lengths, upstreams: map[string]*upstream{}, pools: map[string]*pool{},
		placed: map[ident.Request]string{}, moves: map[ident.Request]string{}, reaches: map[string]*reach{}, retries: newRetryBudget(),
	}
}

// LimitRetries replaces the retry budget: each first try adds a share of a
// retry, and at most saved are kept.
func (s *Scheduler) LimitRetries(share, saved float64) {
	s.retries = retryBudget{left: min(max(s.retries.left, saved/2), saved), share: share, saved: saved}
}

// Waiting returns how many requests wait for a place.
func (s *Scheduler) Waiting() int { return len(s.queue.list) }

// Step takes one event at a time that never falls, and returns what to do.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	actions := append(s.take(now, e), s.notices...)
	s.notices = nil
	return actions
}

func (s *Scheduler) take(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(e.Upstreams)
	case ReportReceived:
		s.takeReport(now, e)
	case Arrived:
		return s.arrive(now, e.Request)
	case Progressed:
		s.progress(now, e)
		return nil
	case Ended:
		s.end(now, e)
	case Failed:
		s.fail(now, e.Upstream, e.Reason)
		return nil
	case Relocating:
		return s.relocate(now, e)
	case Relocated:
		s.endMove(now, e)
	case NoticeReceived:
		s.takeNotice(now, e.Notice)
		if e.Notice.Kind != NoticeEnded {
			return nil
		}
	case Tick:
		s.forgetSilent(now)
	}
	return s.serveQueue(now)
}

func (s *Scheduler) replaceUpstreams(list []Upstream) {
	old := s.upstreams
	s.upstreams, s.order = make(map[string]*upstream, len(list)), nil
	for _, next := range list {
		u, ok := old[next.Name]
		if !ok || u.Incarnation != next.Incarnation {
			u = newUpstream(next)
		}
		u.Upstream = next
		s.upstreams[next.Name] = u
		s.order = append(s.order, next.Name)
	}
	slices.Sort(s.order)
	for name, u := range old {
		if s.upstreams[name] != u {
			s.forgetForeign(u)
		}
	}
}

// forgetForeign drops what other instances had at an upstream that is gone;
// what this one had there ends by itself.
func (s *Scheduler) forgetForeign(u *upstream) {
	for _, f := range u.flights {
		if f.foreign {
			delete(s.placed, f.ID)
		}
	}
}

func (s *Scheduler) takeReport(now time.Time, e ReportReceived) {
	u := s.upstreams[e.Upstream]
	if u == nil || !e.Report.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.take(now, e.Report)
	s.reportsFar = s.reportsFar || u.CapacityTokens > 0
	known, _ := u.knownAt(e.Report.TakenAt)
	s.pool(u.Pool).observe(e.Report.Running+e.Report.Waiting, known)
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = newPool()
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) progress(now time.Time, e Progressed) {
	if s.advance(now, e.ID, e.Tokens) {
		s.tell(Notice{Kind: NoticeProgressed, Request: Request{ID: e.ID}, Upstream: s.placed[e.ID], Tokens: e.Tokens})
	}
}

// advance notes how many tokens a flight has by now.
func (s *Scheduler) advance(now time.Time, id ident.Request, tokens int) bool {
	u := s.upstreams[s.placed[id]]
	if u == nil {
		return false
	}
	f := u.find(id)
	if f == nil || tokens <= f.tokens {
		return false
	}
	if f.tokens == 0 && !f.foreign {
		s.reached(u)
	}
	if f.tokens == 0 && f.readBy > 0 && !f.foreign {
		s.pool(u.Pool).reading.observe(f.readBy, now.Sub(f.sentAt))
	}
	s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	f.tokens, f.tokensAt = tokens, now
	u.stale = true
	return true
}

func (s *Scheduler) end(now time.Time, e Ended) {
	s.dropMove(e.ID)
	if s.queue.remove(e.ID) {
		s.tell(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}})
		return
	}
	completed := e.Outcome.Reason == verdict.Completed
	f := s.finish(now, e.ID, e.Tokens, completed)
	if f == nil {
		return
	}
	if f.Class.Kind == config.Stream {
		s.tell(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}, Upstream: f.upstream, Tokens: e.Tokens, Completed: completed})
	}
	if u := s.upstreams[f.upstream]; u != nil && completed {
		u.health.succeed(now)
		s.reached(u)
	}
}

// finish takes a flight away and learns from its length.
func (s *Scheduler) finish(now time.Time, id ident.Request, tokens int, completed bool) *flight {
	f := s.release(now, id)
	if f == nil {
		return nil
	}
	if tokens > f.tokens {
		s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	}
	if completed && tokens > 0 {
		s.lengths.ObserveEnd(f.Request, tokens)
	}
	return f
}

// release forgets where the request was placed.
func (s *Scheduler) release(now time.Time, id ident.Request) *flight {
	name, ok := s.placed[id]
	if !ok {
		return nil
	}
	delete(s.placed, id)
	if u := s.upstreams[name]; u != nil {
		return u.release(now, id)
	}
	return nil
}

func (s *Scheduler) fail(now time.Time, name string, reason verdict.Reason) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	if reason == verdict.UpstreamUnreachable {
		s.unreachable(now, u)
	}
	// One that can't be reached takes nobody's work, whoever else can't be.
	unreachable := reason == verdict.UpstreamUnreachable && u.health.share(now) > 0
	if !u.health.fail(now) && !unreachable {
		return
	}
	ejected, all := 1, 0
	for _, other := range s.upstreams {
		if other.Pool != u.Pool {
			continue
		}
		all++
		if other.health.share(now) == 0 {
			ejected++
		}
	}
	if unreachable && ejected < all || float64(ejected) <= maxEjectedShare*float64(all) {
		u.health.eject(now)
		s.notices = append(s.notices, Ejected{Upstream: u.Name, DataCentre: u.DataCentre, Until: u.health.ejectedUntil})
	}
}

func (s *Scheduler) arrive(now time.Time, r Request) []Action {
	s.release(now, r.ID)
	s.dropMove(r.ID)
	if len(r.Avoid) == 0 {
		s.retries.firstTry()
	} else if !r.Unsent && !s.retries.retry() {
		return []Action{s.refuse(now, r, verdict.Overloaded, "the retry budget is spent")}
	}
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return []Action{s.refuse(now, r, verdict.NoUpstream, "no live upstream in pool "+r.Class.Pool)}
	}
	w := newWaiting(now, r)
	ahead := s.queue.ahead(now, w)
	if ahead == 0 {
		if place, ok := s.place(now, w, candidates); ok {
			return []Action{place}
		}
	}
	start := earliest(now, ahead, s.pool(r.Class.Pool).placements.perSecond(now))
	if start.After(w.deadline) || len(s.queue.list) >= maxQueue {
		why := fmt.Sprintf("%d are ahead and the earliest start is %v after the target", ahead, start.Sub(w.deadline).Round(time.Millisecond))
		return []Action{s.refuse(now, r, verdict.Overloaded, why)}
	}
	s.limitStart(w)
	s.queue.add(now, w)
	s.tell(Notice{Kind: NoticeWaiting, Request: r})
	return nil
}

// candidates returns the live upstreams of the request's pool.
func (s *Scheduler) candidates(now time.Time, r Request) []*upstream {
	var live []*upstream
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.Pool == r.Class.Pool && !u.Leaving && !slices.Contains(r.Avoid, name) && u.health.share(now) > 0 {
			live = append(live, u)
		}
	}
	return s.reachable(now, live)
}

// choice is an upstream for a request, and why it was chosen.
type choice struct {
	upstream *upstream
	lengths  Distribution
	why      string
}

// place sends the request to an upstream with room, if there is one.
func (s *Scheduler) place(now time.Time, w *waiting, candidates []*upstream) (Place, bool) {
	c, ok := s.choose(now, w, candidates)
	if !ok {
		return Place{}, false
	}
	s.board(now, c.upstream, w.Request, c.lengths, false)
	if w.Class.Kind == config.Stream {
		s.tell(Notice{Kind: NoticePlaced, Request: w.Request, Upstream: c.upstream.Name})
	}
	return Place{ID: w.ID, Upstream: c.upstream.Upstream, Priority: priorityOf(w.Request, c.lengths.Mean()), Why: c.why}, true
}

// choose draws an upstream with room, if there is one.
func (s *Scheduler) choose(now time.Time, w *waiting, candidates []*upstream) (choice, bool) {
	lengths := s.lengthsOf(w.Request)
	anyFresh := slices.ContainsFunc(candidates, func(u *upstream) bool { return u.fresh(now) })
	if w.Class.Kind != config.Stream || !anyFresh {
		u := s.fewest(now, w.ID, candidates)
		why := fmt.Sprintf("fewest requests: %d here, %d running and %d waiting by report", len(u.flights), u.report.Running, u.report.Waiting)
		return choice{u, lengths, why}, true
	}
	traffic, curve := s.pool(w.Class.Pool), s.lengths.PoolForecast(w.Class.Pool)
	unseen := crowd{size: max(1, traffic.promptTokens)}
	unseenRate := traffic.unseenRate(now, len(candidates))
	deviations := margin(now, w.arrivedAt, w.deadline)
	var own forecast
	own.addFlight(float64(w.PromptTokens), 0, lengths)
	draw, least := lots{id: w.ID}, cheapest{}
	room := 0
	looked := s.sample(candidates, w.ID, w.looks)
	w.looks++
	for _, u := range looked {
		if !u.fresh(now) {
			continue
		}
		unseen.count = 0
		if u.reported(now) {
			unseen.count = unseenRate * now.Sub(u.report.TakenAt).Seconds()
		}
		u.refresh(now, unseen, curve)
		free := u.capacity() - u.with(&own, deviations)
		if free < 0 && u.idle() && float64(w.PromptTokens) < u.capacity() {
			// It will never have more room than now, so waiting is in vain.
			free = 1
		}
		if free < 0 || !u.hasSlot() || !u.holdsPace(w.Request) || s.busyReading(now, u) || s.blindly(now, w, u) {
			continue
		}
		room++
		if u.CapacityTokens > 0 {
			least.offer(u, s.startCost(now, w, u, free))
			continue
		}
		draw.offer(u, free*u.health.share(now))
	}
	u := draw.best
	if least.best != nil {
		u = least.best
	}
	if u == nil {
		return choice{}, false
	}
	why := fmt.Sprintf(
		"cost %v, room at %d of %d; here %d tokens stay free of %d at the peak with %.2f deviations, with %d known, %.1f others and %.1f unseen; output forecast %.0f tokens; waited %v",
		least.cost.Round(time.Millisecond), room, len(looked), int(u.capacity()-u.with(&own, deviations)), int(u.capacity()), deviations,
		u.baseLoad.known, u.baseLoad.others.count, u.baseLoad.unseen.count, lengths.Mean(), now.Sub(w.arrivedAt).Round(time.Millisecond))
	return choice{u, lengths, why}, true
}

// busyShare is the share of an upstream's slots in use from which calls go to
// another data centre.
const busyShare = 0.7

// fewest returns the upstream with the fewest requests for its slots, one of
// the own data centre as long as that is not busy. Those that return from an
// ejection are passed over as often as their share says.
func (s *Scheduler) fewest(now time.Time, id ident.Request, candidates []*upstream) *upstream {
	cost := func(u *upstream) float64 {
		load := u.load(now)
		if u.DataCentre != s.dataCentre || load >= busyShare {
			load += busyShare
		}
		if lot(id, ^u.hash) > u.health.share(now) {
			load += returningCost
		}
		return load
	}
	return slices.MinFunc(candidates, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(lot(id, a.hash), lot(id, b.hash)))
	})
}

// returningCost puts an upstream behind all that are not returning.
const returningCost = 100

// serveQueue places what there is room for now, and gives up what has waited
// too long. A request with little time left lets nobody go before it.
func (s *Scheduler) serveQueue(now time.Time) []Action {
	var actions []Action
	blocked := map[string]int{}
	s.queue.sort(now)
	for _, w := range slices.Clone(s.queue.list) {
		switch {
		case w.foreign && now.Before(w.keptUntil):
			continue
		case w.foreign && (w.kept >= maxKept || !now.Before(w.expiresAt)):
			s.queue.remove(w.ID)
			s.withdraw(w.ID)
			continue
		case w.foreign:
			s.withdraw(w.ID)
		case !now.Before(w.expiresAt):
			s.queue.remove(w.ID)
			s.tell(Notice{Kind: NoticeEnded, Request: Request{ID: w.ID}})
			why := fmt.Sprintf("no upstream had room in %v", now.Sub(w.arrivedAt).Round(time.Millisecond))
			actions = append(actions, s.refuse(now, w.Request, verdict.WaitExpired, why))
			continue
		}
		if blocked[w.Class.Pool] >= maxPassed {
			continue
		}
		action, ok := s.serve(now, w)
		if ok && action != nil {
			actions = append(actions, action)
		}
		if !ok {
			blocked[w.Class.Pool]++
			if urgent(now, w) {
				blocked[w.Class.Pool] = maxPassed
			}
		}
	}
	return actions
}

// urgentShare is the last part of its time for waiting in which a request lets
// nobody go before it, so that small ones don't starve a large one.
const urgentShare = 0.3

func urgent(now time.Time, w *waiting) bool {
	left := w.latest.Sub(now)
	return left >= 0 && left.Seconds() < urgentShare*w.Class.WaitTarget.Seconds()
}

// maxPassed is how many requests without room are passed over for later ones.
const maxPassed = 8

// serve places a waiting request, or keeps its place when it waits elsewhere.
func (s *Scheduler) serve(now time.Time, w *waiting) (Action, bool) {
	candidates := s.candidates(now, w.Request)
	if len(candidates) == 0 {
		return nil, false
	}
	if w.foreign {
		c, ok := s.choose(now, w, candidates)
		if ok {
			s.keep(now, w, c.upstream, c.lengths)
		}
		return nil, ok
	}
	place, ok := s.place(now, w, candidates)
	if !ok {
		return nil, false
	}
	s.queue.remove(w.ID)
	return place, true
}

const (
	shortestRetry = 250 * time.Millisecond
	longestRetry  = 30 * time.Second
)

// refuse tells when the queue should be empty, spread so that those who are
// refused together don't come back together.
func (s *Scheduler) refuse(now time.Time, r Request, reason verdict.Reason, why string) Refuse {
	after := shortestRetry
	if rate := s.pool(r.Class.Pool).placements.perSecond(now); rate > 0 {
		after += time.Duration(float64(len(s.queue.list)) / rate * float64(time.Second))
	}
	spread := 0.75 + lot(r.ID, 0)/2
	after = time.Duration(float64(min(after, longestRetry)) * spread)
	return Refuse{ID: r.ID, Reason: reason, RetryAt: now.Add(after), Why: why}
}

// maxLooked bounds the upstreams that are forecast for one decision.
const maxLooked = 12

// farLooked is how many of them are in other data centres.
const farLooked = 3

// sample returns some of the upstreams, others for each further look, most of
// them in the own data centre.
func (s *Scheduler) sample(all []*upstream, id ident.Request, look uint64) []*upstream {
	if len(all) <= maxLooked {
		return all
	}
	var near, far []*upstream
	for _, u := range all {
		if u.DataCentre == s.dataCentre {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	if len(near) == 0 || len(far) == 0 {
		return drawn(all, maxLooked, id, look)
	}
	some := drawn(near, maxLooked-farLooked, id, look)
	return append(some, drawn(far, maxLooked-len(some), id, look)...)
}

// drawn returns so many of the upstreams by lot.
func drawn(all []*upstream, most int, id ident.Request, look uint64) []*upstream {
	if len(all) <= most {
		return slices.Clone(all)
	}
	type ticket struct {
		upstream *upstream
		lot      float64
	}
	var least [maxLooked]ticket
	count := 0
	for _, u := range all {
		t := ticket{u, lot(id, ^u.hash+look)}
		if count == most && t.lot >= least[count-1].lot {
			continue
		}
		count = min(count+1, most)
		i := count - 1
		for ; i > 0 && least[i-1].lot > t.lot; i-- {
			least[i] = least[i-1]
		}
		least[i] = t
	}
	some := make([]*upstream, count)
	for i, t := range least[:count] {
		some[i] = t.upstream
	}
	return some
}

// lots draws one of several upstreams, each with a chance in proportion to
// its weight, and the same one each time for the same request.
type lots struct {
	id    ident.Request
	best  *upstream
	first float64
}

func (l *lots) offer(u *upstream, weight float64) {
	if weight <= 0 {
		weight = math.SmallestNonzeroFloat32
	}
	// The least of exponential times with these rates is drawn so.
	if at := -math.Log(lot(l.id, u.hash)) / weight; l.best == nil || at < l.first {
		l.best, l.first = u, at
	}
}

// lot returns a number in (0, 1) that hangs on the request and a salt alone.
func lot(id ident.Request, salt uint64) float64 {
	x := uint64(id.Home.Incarnation) ^ id.Sequence*0x9e3779b97f4a7c15 ^ salt
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}
