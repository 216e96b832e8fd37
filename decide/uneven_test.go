package decide_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// fakeEngine runs streams in steps. A step takes 7 ms, 0.12 ms for each running stream, and
// the time of a chunk of the first prompt that waits, all times the factor of the engine, and
// 2.5 times that in slow periods.
type fakeEngine struct {
	decide.Upstream
	factor    float64
	slowUntil time.Time
	streams   []*fakeStream
	stepping  bool
}

type fakeStream struct {
	request  decide.Request
	instance int
	long     bool
	// prompt and left are the numbers of prompt tokens not yet prefilled and of output
	// tokens not yet generated.
	prompt, left int
	sentAt       time.Time
	// first and last are the times of the first and the latest event.
	first, last time.Time
	tokens      int
	pause       time.Duration
	// reports, reportedAt, reportedTokens and reportPause are the number of progress reports,
	// the time and the tokens of the latest one, and the longest pause since.
	reports, reportedTokens int
	reportedAt              time.Time
	reportPause             time.Duration
}

const (
	fakeChunk, fakeTokensPerMS   = 112, 14.0
	fakeStep, fakeStepPerStream  = 7.0, 0.12
	fakeEventTokens              = 4
	fakeSlowShare, fakeSlowTimes = 0.15, 2.5
)

func (e *fakeEngine) step(now time.Time) time.Duration {
	ms, running := fakeStep, 0
	for _, f := range e.streams {
		if f.prompt <= 0 {
			running++
		}
	}
	ms += fakeStepPerStream * float64(running)
	if i := slices.IndexFunc(e.streams, func(f *fakeStream) bool { return f.prompt > 0 }); i >= 0 {
		ms += float64(min(fakeChunk, e.streams[i].prompt)) / fakeTokensPerMS
	}
	ms *= e.factor
	if now.Before(e.slowUntil) {
		ms *= fakeSlowTimes
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// uneven is a simulation of a service with several instances of one data centre, which
// receive each other's notices late.
type uneven struct {
	random    *rand.Rand
	instances []*decide.Scheduler
	engines   map[string]*fakeEngine
	names     []string
	list      []decide.Upstream
	waiting   map[ident.Request]*fakeStream
	events    eventHeap
	now       time.Time
	sequence  uint64
	factors   []float64
	// canMove lets streams look for engines where prompts delay them less, and moves counts
	// their moves.
	canMove bool
	moves   int
	steady  bool

	longStarts, shortStarts, longPauses, shortPauses []time.Duration
	ended                                            []*fakeStream
	refused, placed, lateStarts                      int
	placements                                       []string
}

type engineEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []engineEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(engineEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (u *uneven) after(d time.Duration, run func()) {
	u.sequence++
	heap.Push(&u.events, engineEvent{u.now.Add(d), u.sequence, run})
}

func newUneven(instances, engines int, factors []float64, seed uint64, countAsEqual bool) *uneven {
	u := &uneven{random: rand.New(rand.NewPCG(seed, uint64(instances))), engines: map[string]*fakeEngine{}, waiting: map[ident.Request]*fakeStream{}, now: epoch, factors: factors}
	for i := range engines {
		u.addEngine(fmt.Sprintf("e%02d", i), i)
	}
	for range instances {
		s := decide.New("a")
		if countAsEqual {
			s.CountEnginesAsEqual("drafting")
		}
		u.instances = append(u.instances, s)
	}
	u.publish()
	return u
}

func (u *uneven) addEngine(name string, i int) {
	engine := newEngine(name, 26_823)
	engine.Incarnation = ident.Incarnation(u.now.UnixMilli())
	e := &fakeEngine{Upstream: engine, factor: u.factors[i%len(u.factors)]}
	if !slices.Contains(u.names, name) {
		u.names = append(u.names, name)
	}
	u.engines[name] = e
	u.slowPeriods(e)
}

// slowPeriods makes an engine slow for 300 to 700 ms at a time.
func (u *uneven) slowPeriods(e *fakeEngine) {
	duration := time.Duration(300+u.random.IntN(400)) * time.Millisecond
	gap := time.Duration(u.random.ExpFloat64() * float64(500*time.Millisecond) * (1 - fakeSlowShare) / fakeSlowShare)
	u.after(gap, func() {
		if u.steady {
			return
		}
		e.slowUntil = u.now.Add(duration)
		u.after(duration, func() { u.slowPeriods(e) })
	})
}

func (u *uneven) publish() {
	u.list = nil
	for _, name := range u.names {
		u.list = append(u.list, u.engines[name].Upstream)
	}
	for i := range u.instances {
		u.step(i, decide.UpstreamsChanged{Upstreams: u.list})
	}
}

// replace replaces the oldest of the engines by a new one with another speed.
func (u *uneven) replace(i int) {
	name := u.names[i%len(u.names)]
	for _, f := range u.engines[name].streams {
		// The run is lost. It is not measured.
		u.step(f.instance, decide.Ended{ID: f.request.ID, Tokens: f.tokens})
	}
	u.engines[name].streams = nil
	u.addEngine(name, u.random.IntN(len(u.factors)))
	u.publish()
}

// step passes an event to an instance, and its notices to the others after 5 to 25 ms, or up
// to 250 ms later if they can be deferred.
func (u *uneven) step(instance int, e decide.Event) {
	for _, action := range u.instances[instance].Step(u.now, e) {
		switch a := action.(type) {
		case decide.Place:
			if u.waiting[a.ID] == nil {
				u.move(a)
				continue
			}
			u.start(a)
		case decide.Refuse:
			if u.waiting[a.ID] == nil {
				continue // A stream that stays where it is.
			}
			u.refused++
			delete(u.waiting, a.ID)
		case decide.Notify:
			delay := time.Duration(5+u.random.IntN(20)) * time.Millisecond
			if a.Notice.Deferrable {
				delay += time.Duration(u.random.IntN(250)) * time.Millisecond
			}
			u.after(delay, func() {
				for i := range u.instances {
					if i != instance {
						u.step(i, decide.NoticeReceived{Notice: a.Notice})
					}
				}
			})
		}
	}
}

func (u *uneven) arrive(r decide.Request, tokens int, long bool) {
	u.sequence++
	instance := u.random.IntN(len(u.instances))
	r.ID = ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(instance + 1)}, Sequence: u.sequence}
	u.waiting[r.ID] = &fakeStream{request: r, instance: instance, prompt: r.PromptTokens, left: tokens, long: long, sentAt: u.now}
	u.step(instance, decide.Arrived{Request: r})
}

func (u *uneven) start(p decide.Place) {
	f, e := u.waiting[p.ID], u.engines[p.Upstream.Name]
	delete(u.waiting, p.ID)
	u.placed++
	u.placements = append(u.placements, p.Upstream.Name)
	u.after(2*time.Millisecond, func() {
		e.streams = append(e.streams, f)
		if !e.stepping {
			u.run(e)
		}
	})
}

// fakeCopyTime is the time in which a run's memory is copied while it continues.
const fakeCopyTime = 200 * time.Millisecond

// move moves a running stream to another engine.
func (u *uneven) move(p decide.Place) {
	u.after(fakeCopyTime, func() {
		for _, from := range u.engines {
			i := slices.IndexFunc(from.streams, func(f *fakeStream) bool { return f.request.ID == p.ID })
			if i < 0 {
				continue
			}
			f, to := from.streams[i], u.engines[p.Upstream.Name]
			from.streams = slices.Delete(slices.Clone(from.streams), i, i+1)
			u.moves++
			u.step(f.instance, decide.MoveEnded{ID: p.ID, Moved: true})
			to.streams = append(to.streams, f)
			if !to.stepping {
				u.run(to)
			}
			return
		}
	})
}

// run runs one step of an engine, and the next ones.
func (u *uneven) run(e *fakeEngine) {
	e.stepping = len(e.streams) > 0
	if !e.stepping {
		return
	}
	reading := slices.IndexFunc(e.streams, func(f *fakeStream) bool { return f.prompt > 0 })
	running := slices.Clone(e.streams)
	u.after(e.step(u.now), func() {
		for i, f := range running {
			switch {
			case !slices.Contains(e.streams, f):
			case i == reading:
				f.prompt -= fakeChunk
			case f.prompt <= 0:
				u.generate(e, f)
			}
		}
		u.run(e)
	})
}

func (u *uneven) generate(e *fakeEngine, f *fakeStream) {
	f.tokens++
	f.left--
	if f.tokens%fakeEventTokens == 0 || f.left == 0 {
		u.event(f)
	}
	if f.left > 0 {
		return
	}
	e.streams = slices.DeleteFunc(e.streams, func(other *fakeStream) bool { return other == f })
	u.step(f.instance, decide.Ended{ID: f.request.ID, Tokens: f.tokens, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
	starts, pauses := &u.shortStarts, &u.shortPauses
	if f.long {
		starts, pauses = &u.longStarts, &u.longPauses
	}
	*starts, *pauses = append(*starts, f.first.Sub(f.sentAt)), append(*pauses, f.pause)
	u.ended = append(u.ended, f)
	if f.first.After(f.request.FirstTokenBy) {
		u.lateStarts++
	}
}

// event delivers an event to the caller, and reports the pace as the gateway does.
func (u *uneven) event(f *fakeStream) {
	interval := 4 * time.Second
	if f.reports == 1 {
		interval = 500 * time.Millisecond
	}
	if f.reports == 0 {
		f.first, f.last = u.now, u.now
	}
	f.pause, f.reportPause = max(f.pause, u.now.Sub(f.last)), max(f.reportPause, u.now.Sub(f.last))
	f.last = u.now
	if f.reports > 0 && u.now.Sub(f.reportedAt) < interval {
		return
	}
	var pace decide.Pace
	if f.reports > 0 {
		pace = decide.Pace{PerToken: u.now.Sub(f.reportedAt) / time.Duration(f.tokens-f.reportedTokens), LongestPause: f.reportPause}
	}
	f.reports++
	f.reportedAt, f.reportedTokens, f.reportPause = u.now, f.tokens, 0
	u.step(f.instance, decide.Progressed{ID: f.request.ID, Tokens: f.tokens, Pace: pace})
	if u.canMove && f.long && f.left > 0 {
		u.step(f.instance, decide.MoveRequested{ID: f.request.ID, Optional: true})
	}
}

// unevenDay describes the load of a simulation.
type unevenDay struct {
	instances, engines int
	factors            []float64
	// longPerSecond and shortPerSecond are the numbers of streams per second and engine.
	longPerSecond, shortPerSecond float64
	shortPrompt                   func(*rand.Rand) int
	replaceEach                   time.Duration
	duration                      time.Duration
	// pauseTarget is the target that the schedulers know.
	pauseTarget time.Duration
	seed        uint64
	// countAsEqual makes the schedulers ignore speeds.
	countAsEqual bool
	// canMove lets streams move, and steady keeps engines from being slow for a while.
	canMove, steady bool
}

func (d unevenDay) run() *uneven {
	u := newUneven(d.instances, d.engines, d.factors, d.seed, d.countAsEqual)
	u.canMove, u.steady = d.canMove, d.steady
	request := func(class string, prompt, limit int, first time.Duration) decide.Request {
		c := config.Class{Name: class, Pool: "drafting", Kind: config.Stream, WaitTarget: time.Duration(0.8 * float64(first)), MaxOutputTokens: limit}
		return decide.Request{
			Team: "reef", Class: c, PromptTokens: prompt, MaxOutputTokens: limit, PauseTarget: d.pauseTarget,
			StartBy: u.now.Add(c.WaitTarget), FirstTokenBy: u.now.Add(first),
		}
	}
	end := epoch.Add(d.duration)
	var arrivals func(perSecond float64, arrive func())
	arrivals = func(perSecond float64, arrive func()) {
		if perSecond <= 0 {
			return
		}
		u.after(time.Duration(u.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
			if u.now.Before(end) {
				arrive()
				arrivals(perSecond, arrive)
			}
		})
	}
	arrivals(d.longPerSecond*float64(d.engines), func() {
		u.arrive(request("long", 2000+u.random.IntN(2000), 1500, 4*time.Second), 500+u.random.IntN(500), true)
	})
	arrivals(d.shortPerSecond*float64(d.engines), func() {
		u.arrive(request("short", d.shortPrompt(u.random), 40, 1500*time.Millisecond), 4+u.random.IntN(12), false)
	})
	var replace func(i int)
	replace = func(i int) {
		u.after(d.replaceEach, func() {
			if u.now.Before(end) {
				u.replace(i)
				replace(i + 1)
			}
		})
	}
	if d.replaceEach > 0 {
		replace(0)
	}
	var tick func()
	tick = func() {
		u.after(50*time.Millisecond, func() {
			for i := range u.instances {
				if u.instances[i].Waiting() > 0 {
					u.step(i, decide.Tick{})
				}
			}
			if u.now.Before(end.Add(20 * time.Second)) {
				tick()
			}
		})
	}
	tick()
	for len(u.events) > 0 && u.now.Before(end.Add(20*time.Second)) {
		next := heap.Pop(&u.events).(engineEvent)
		u.now = next.at
		next.run()
	}
	return u
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(math.Floor(q*float64(len(sorted)))))].Round(time.Millisecond)
}

func shareAbove(values []time.Duration, limit time.Duration) float64 {
	count := 0
	for _, v := range values {
		if v > limit {
			count++
		}
	}
	return float64(count) / float64(max(1, len(values)))
}

const unevenPauseTarget = 180 * time.Millisecond

func (u *uneven) String() string {
	return fmt.Sprintf("placed %d, refused %d, late first events %d; long: %d, late pauses %.3f, first event %v and %v, pause %v and %v; short: %d, late pauses %.3f, first event %v and %v, pause %v and %v",
		u.placed, u.refused, u.lateStarts,
		len(u.longPauses), shareAbove(u.longPauses, unevenPauseTarget), quantile(u.longStarts, 0.5), quantile(u.longStarts, 0.95), quantile(u.longPauses, 0.5), quantile(u.longPauses, 0.95),
		len(u.shortPauses), shareAbove(u.shortPauses, unevenPauseTarget), quantile(u.shortStarts, 0.5), quantile(u.shortStarts, 0.95), quantile(u.shortPauses, 0.5), quantile(u.shortPauses, 0.95))
}

func shortPrompts(r *rand.Rand) int { return 1500 + r.IntN(1400) }

// runs runs the day with several seeds, and returns the sum of what was measured.
func (d unevenDay) runs(seeds uint64) *uneven {
	sum := &uneven{}
	for seed := range seeds {
		d.seed = seed
		u := d.run()
		sum.longStarts, sum.shortStarts = append(sum.longStarts, u.longStarts...), append(sum.shortStarts, u.shortStarts...)
		sum.longPauses, sum.shortPauses = append(sum.longPauses, u.longPauses...), append(sum.shortPauses, u.shortPauses...)
		sum.ended = append(sum.ended, u.ended...)
		sum.placed, sum.refused, sum.lateStarts = sum.placed+u.placed, sum.refused+u.refused, sum.lateStarts+u.lateStarts
	}
	return sum
}

// TestLongStreamsAvoidSlowEngines guards against long streams on engines where prompts and
// slow periods make their pauses longer than the target. Engines are replaced all the time,
// so their speeds must be learned from few streams. Four seeds are summed, because in a single
// simulation the share of late streams varies by half.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	for name, test := range map[string]struct {
		day unevenDay
		// ratio is how many times fewer streams must be late.
		ratio float64
	}{
		"1 instance":               {unevenDay{instances: 1, longPerSecond: 0.5, shortPerSecond: 1}, 3},
		"18 instances":             {unevenDay{instances: 18, longPerSecond: 0.35, shortPerSecond: 0.6}, 3},
		"18 instances, heavy load": {unevenDay{instances: 18, longPerSecond: 0.6, shortPerSecond: 1}, 3},
		// The fast engines can't hold all long streams.
		"18 instances, overload":     {unevenDay{instances: 18, longPerSecond: 0.9, shortPerSecond: 1.2}, 1.2},
		"87 instances in one centre": {unevenDay{instances: 87, longPerSecond: 0.5, shortPerSecond: 1}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			day := test.day
			day.engines, day.factors = 16, []float64{0.7, 0.7, 1.7}
			day.shortPrompt, day.duration, day.replaceEach, day.pauseTarget = shortPrompts, 20*time.Second, 1400*time.Millisecond, unevenPauseTarget
			u := day.runs(4)
			day.countAsEqual = true
			before := day.runs(4)
			t.Logf("speeds ignored: %v", before)
			t.Logf("speeds learned: %v", u)
			late, lateBefore := shareAbove(u.longPauses, unevenPauseTarget), shareAbove(before.longPauses, unevenPauseTarget)
			assert.Assert(t, lateBefore > 0.05, "the simulation must contain what the test guards against")
			assert.Assert(t, late < lateBefore/test.ratio, "%.3f of the long streams have a late pause, %.3f if speeds are ignored", late, lateBefore)
			// Single late first events differ by chance.
			assert.Assert(t, u.refused+u.lateStarts <= before.refused+before.lateStarts+u.placed/200)
		})
	}
}

// TestEqualEnginesGetPlacementsAsBefore guards against speeds that are inferred from noise:
// engines of equal speed that share machines have slow periods at different times.
func TestEqualEnginesGetPlacementsAsBefore(t *testing.T) {
	for _, instances := range []int{1, 18, 87} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			day := unevenDay{instances: instances, engines: 16, factors: []float64{1}, longPerSecond: 0.4, shortPerSecond: 0.8, shortPrompt: shortPrompts, duration: 30 * time.Second, replaceEach: 1400 * time.Millisecond, pauseTarget: unevenPauseTarget}
			u := day.run()
			for _, s := range u.instances {
				assert.Assert(t, !s.Uneven("drafting"))
			}
			day.countAsEqual = true
			assert.DeepEqual(t, u.placements, day.run().placements)
		})
	}
}

// TestSpeedIsLearnedFromFewStreams guards against estimates that need many streams, while engines
// are replaced all the time, and against a slow period that makes an engine count as slow.
func TestSpeedIsLearnedFromFewStreams(t *testing.T) {
	s := decide.New("a")
	var list []decide.Upstream
	for i := range 12 {
		list = append(list, newEngine(fmt.Sprint("e", i), 1_000_000))
	}
	now, sequence := epoch, uint64(0)
	stream := func(upstream string, perToken float64) {
		sequence++
		now = now.Add(20 * time.Millisecond)
		r := requestOf(1, int(sequence), 2000)
		s.Step(now, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticePlaced, Request: r, Upstream: upstream}})
		id := decide.Request{ID: r.ID}
		s.Step(now, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticeProgressed, Request: id, Upstream: upstream, Tokens: 4}})
		pace := decide.Pace{PerToken: time.Duration(perToken * float64(10*time.Millisecond)), LongestPause: 100 * time.Millisecond}
		s.Step(now, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticeProgressed, Request: id, Upstream: upstream, Tokens: 100, Pace: pace}})
		s.Step(now, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticeEnded, Request: id, Upstream: upstream, Tokens: 100}})
	}
	s.Step(now, decide.UpstreamsChanged{Upstreams: list})
	for range 6 {
		for i := range 12 {
			stream(fmt.Sprint("e", i), []float64{0.7, 0.7, 1.7}[i%3])
		}
	}
	assert.Assert(t, s.Uneven("drafting"))
	for _, name := range []string{"fast", "slow"} {
		list = append(list, newEngine(name, 1_000_000))
	}
	s.Step(now, decide.UpstreamsChanged{Upstreams: list})
	assert.Equal(t, s.Factor("fast"), 1.0, "nothing is known of a new engine")
	stream("fast", 0.7)
	stream("slow", 1.7)
	assert.Assert(t, s.Factor("slow") > 1.2*s.Factor("fast"), "after one stream: %.2f and %.2f", s.Factor("slow"), s.Factor("fast"))
	for range 2 {
		stream("fast", 0.7)
		stream("slow", 1.7)
	}
	assert.Assert(t, s.Factor("slow") > 1.6*s.Factor("fast"), "after three streams: %.2f and %.2f", s.Factor("slow"), s.Factor("fast"))
	for range 4 {
		stream("fast", 0.7)
	}
	known := s.Factor("fast")
	for range 3 {
		stream("fast", 0.7*2.5)
	}
	assert.Assert(t, s.Factor("fast") < 1.2*known, "three streams in a slow period: %.2f, %.2f before", s.Factor("fast"), known)
}

// starts returns the times to the first event of streams with long or short prompts, and pauses
// their longest pauses.
func (u *uneven) starts(long bool) []time.Duration {
	return u.measure(long, func(f *fakeStream) time.Duration { return f.first.Sub(f.sentAt) })
}

func (u *uneven) pauses(long bool) []time.Duration {
	return u.measure(long, func(f *fakeStream) time.Duration { return f.pause })
}

// longPrompt is the number of tokens from which a prompt counts as long in the tests.
const longPrompt = 2000

func (u *uneven) measure(long bool, value func(*fakeStream) time.Duration) []time.Duration {
	var values []time.Duration
	for _, f := range u.ended {
		if (f.request.PromptTokens >= longPrompt) == long {
			values = append(values, value(f))
		}
	}
	return values
}

// TestLongPromptsBesideShortOnes guards against short prompts that wait for long ones on the
// same engine, and measures both kinds with and without learned speeds.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	mixed := func(r *rand.Rand) int {
		if r.IntN(4) == 0 {
			return 4000 + r.IntN(2000)
		}
		return 150 + r.IntN(350)
	}
	for name, factors := range map[string][]float64{"equal engines": {1}, "uneven engines": {0.7, 0.7, 1.7}} {
		t.Run(name, func(t *testing.T) {
			day := unevenDay{instances: 18, engines: 16, factors: factors, longPerSecond: 0.4, shortPerSecond: 1, shortPrompt: mixed, duration: 20 * time.Second, pauseTarget: unevenPauseTarget}
			u := day.runs(2)
			day.countAsEqual = true
			before := day.runs(2)
			for kind, r := range map[string]*uneven{"speeds ignored": before, "speeds learned": u} {
				t.Logf("%s: short prompts: first event %v and %v, pause %v and %v; long prompts: first event %v and %v, pause %v and %v; late pauses of long streams %.3f", kind,
					quantile(r.starts(false), 0.5), quantile(r.starts(false), 0.95), quantile(r.pauses(false), 0.5), quantile(r.pauses(false), 0.95),
					quantile(r.starts(true), 0.5), quantile(r.starts(true), 0.95), quantile(r.pauses(true), 0.5), quantile(r.pauses(true), 0.95),
					shareAbove(r.longPauses, unevenPauseTarget))
			}
			assert.Equal(t, u.refused, 0)
			assert.Assert(t, quantile(u.starts(false), 0.95) < 1500*time.Millisecond, "short prompts must meet the target of their first event")
			assert.Assert(t, quantile(u.starts(true), 0.95) < 1500*time.Millisecond, "long prompts must meet the shortest target of a first event")
			assert.Assert(t, shareAbove(u.longPauses, unevenPauseTarget) < 0.05)
		})
	}
}
