package decide_test

import (
	"container/heap"
	"fmt"
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

// failingSite simulates instances and engines in several data centres on a virtual clock.
// Streams may run only once, except for a share of them. Notices arrive after noticeDelay
// at the instances of the sender's data centre, and after remoteDelay at those of the
// engine's, as in a large fleet. Engines report their loads to other data centres through
// Loads.
type failingSite struct {
	random    *rand.Rand
	now       time.Time
	events    timedEvents
	lastOrder int
	instances []*siteInstance
	engines   []decide.Upstream
	options   siteOptions
	// open contains the streams at each engine, which a reset ends.
	open map[string]map[ident.Request]*siteStream
	// lost and lostBegun count once-only streams that an engine failed before and after
	// their first event; placed counts all sends by engine, and sendTimes their times.
	arrived, lost, lostBegun, refused, completed int
	sendTimes                                    map[string][]time.Time
	lostTimes                                    []time.Time
	avoided, usedAgain                           map[string][]time.Time
	// avoidedBySound counts the instances with sound links that avoided an engine, and
	// avoidedBy those of each data centre.
	avoidedBySound map[string]int
	avoidedBy      map[string]map[string]int
}

type siteOptions struct {
	instances, dataCentres, engines int
	// perSecond is the number of arriving streams; repeatable the share of them that can
	// be run again.
	perSecond, repeatable float64
	// fails reports how an engine treats a request of an instance in a data centre: whether it
	// resets it at once.
	fails func(s *failingSite, engine int, from string, at time.Time) bool
	// resetsAllAt contains the times at which an engine also resets its running streams.
	resetsAllAt map[int][]time.Time
	lasts       time.Duration
	// badLinks is the number of instances whose requests to any engine are reset.
	badLinks int
	// hotShare is the share of the streams that arrive in the first data centre, in addition
	// to its usual part.
	hotShare float64
}

type siteInstance struct {
	*decide.Scheduler
	number     int
	dataCentre string
	sequence   uint64
}

type siteStream struct {
	decide.Request
	instance   *siteInstance
	engine     string
	repeatable bool
	attempt    int
	tokens     int
	output     int
}

type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

type timedEvents []timedEvent

func (e timedEvents) Len() int { return len(e) }
func (e timedEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e timedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	noticeDelay = 20 * time.Millisecond
	remoteDelay = 45 * time.Millisecond
	sitePrompt  = 2500
	// siteTokens is the memory of an engine.
	siteTokens = 26_886
	// siteStep is the time for one output token.
	siteStep = 10 * time.Millisecond
	// loadInterval is the interval between the load reports to other data centres.
	loadInterval = 300 * time.Millisecond
)

func newFailingSite(options siteOptions, seed uint64) *failingSite {
	s := &failingSite{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, options: options, open: map[string]map[ident.Request]*siteStream{},
		sendTimes: map[string][]time.Time{}, avoided: map[string][]time.Time{}, usedAgain: map[string][]time.Time{},
		avoidedBySound: map[string]int{}, avoidedBy: map[string]map[string]int{},
	}
	for i := range options.engines {
		e := newEngine(fmt.Sprintf("e%02d", i), siteTokens)
		e.DataCentre = dataCentreName(i, options.dataCentres)
		s.engines = append(s.engines, e)
		s.open[e.Name] = map[ident.Request]*siteStream{}
	}
	for i := range options.instances {
		instance := &siteInstance{Scheduler: decide.New(dataCentreName(i, options.dataCentres)), number: i, dataCentre: dataCentreName(i, options.dataCentres)}
		instance.SetInstances(epoch, options.instances)
		instance.Step(epoch, decide.UpstreamsChanged{Upstreams: s.engines})
		s.instances = append(s.instances, instance)
	}
	return s
}

func dataCentreName(i, dataCentres int) string { return string(rune('a' + i%dataCentres)) }

func (s *failingSite) after(d time.Duration, run func()) {
	s.lastOrder++
	heap.Push(&s.events, timedEvent{s.now.Add(d), s.lastOrder, run})
}

// run plays the arrivals and all that follows from them.
func (s *failingSite) run() {
	for at := time.Duration(0); at < s.options.lasts; {
		at += time.Duration(s.random.ExpFloat64() / s.options.perSecond * float64(time.Second))
		s.after(at, s.arrive)
	}
	for at := time.Duration(0); at < s.options.lasts; at += 20 * time.Millisecond {
		s.after(at, func() {
			for _, i := range s.instances {
				if i.Waiting() > 0 {
					s.step(i, decide.Tick{})
				}
			}
		})
	}
	for at := loadInterval; at < s.options.lasts && s.isLarge(); at += loadInterval {
		s.after(at, s.reportLoads)
	}
	for engine, times := range s.options.resetsAllAt {
		for _, at := range times {
			s.after(at.Sub(epoch), func() {
				for _, stream := range s.open[s.engines[engine].Name] {
					s.fail(stream)
				}
			})
		}
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(timedEvent)
		if next.at.After(epoch.Add(s.options.lasts)) {
			return
		}
		s.now = next.at
		next.run()
	}
}

func (s *failingSite) isLarge() bool { return s.options.instances > 32 }

func (s *failingSite) reportLoads() {
	for dc := range s.options.dataCentres {
		dataCentre := dataCentreName(dc, s.options.dataCentres)
		loads := s.instances[dc].Loads(s.now, dataCentre, 12)
		takenAt := s.now
		s.after(remoteDelay, func() {
			for _, i := range s.instances {
				if i.dataCentre == dataCentre {
					continue
				}
				for _, l := range loads {
					s.step(i, decide.ReportReceived{Upstream: l.Upstream, Report: decide.Report{TakenAt: takenAt, Running: l.Running, UsedTokens: l.UsedTokens, PendingPrefillTokens: l.PendingPrefillTokens}})
				}
			}
		})
	}
}

func (s *failingSite) arrive() {
	i := s.instances[s.random.IntN(len(s.instances))]
	if s.random.Float64() < s.options.hotShare {
		// Instances are assigned to data centres in turn.
		i = s.instances[i.number-i.number%s.options.dataCentres]
	}
	i.sequence++
	output := 10
	if s.random.IntN(2) == 0 {
		output = 400 + s.random.IntN(400)
	}
	stream := &siteStream{instance: i, repeatable: s.random.Float64() < s.options.repeatable, output: output}
	stream.Request = decide.Request{
		ID: ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(i.number + 1)}, Sequence: i.sequence}, Team: "reef",
		Class:        config.Class{Name: fmt.Sprint("draft", output > 10), Kind: config.Stream, Pool: "drafting", WaitTarget: 2 * time.Second, MaxOutputTokens: 1000},
		PromptTokens: sitePrompt, MaxOutputTokens: output, StartBy: s.now.Add(2 * time.Second), FirstTokenBy: s.now.Add(3 * time.Second), NeverSent: true, Repeatable: stream.repeatable,
	}
	s.arrived++
	s.step(i, decide.Arrived{Request: stream.Request}, stream)
}

// step passes an event to an instance, delivers its notices and sends its placed streams.
func (s *failingSite) step(i *siteInstance, e decide.Event, arrived ...*siteStream) {
	for _, stream := range arrived {
		s.waiting()[stream.ID] = stream
	}
	for _, action := range i.Step(s.now, e) {
		switch a := action.(type) {
		case decide.Notify:
			s.deliver(i, a.Notice)
		case decide.Place:
			stream := s.waiting()[a.ID]
			delete(s.waiting(), a.ID)
			s.send(stream, a.Upstream.Name)
		case decide.Refuse:
			s.refused++
			delete(s.waiting(), a.ID)
		case decide.UpstreamAvoided:
			if a.Avoided {
				s.avoided[a.Upstream] = append(s.avoided[a.Upstream], s.now)
				if i.number >= s.options.badLinks {
					s.avoidedBySound[a.Upstream]++
				}
				if s.avoidedBy[i.dataCentre] == nil {
					s.avoidedBy[i.dataCentre] = map[string]int{}
				}
				s.avoidedBy[i.dataCentre][a.Upstream]++
			} else {
				s.usedAgain[a.Upstream] = append(s.usedAgain[a.Upstream], s.now)
			}
		}
	}
}

func (s *failingSite) waiting() map[ident.Request]*siteStream {
	if s.open[""] == nil {
		s.open[""] = map[ident.Request]*siteStream{}
	}
	return s.open[""]
}

func (s *failingSite) deliver(from *siteInstance, n decide.Notice) {
	deliverIf := func(delay time.Duration, receives func(to *siteInstance) bool) {
		s.after(delay, func() {
			for _, to := range s.instances {
				if to != from && receives(to) {
					s.step(to, decide.NoticeReceived{Notice: n})
				}
			}
		})
	}
	deliverIf(noticeDelay, func(to *siteInstance) bool { return !s.isLarge() || to.dataCentre == from.dataCentre })
	if s.isLarge() && n.DataCentre != "" && n.DataCentre != from.dataCentre {
		deliverIf(remoteDelay, func(to *siteInstance) bool { return to.dataCentre == n.DataCentre })
	}
}

func (s *failingSite) send(stream *siteStream, engine string) {
	stream.engine = engine
	stream.attempt++
	attempt := stream.attempt
	s.sendTimes[engine] = append(s.sendTimes[engine], s.now)
	s.open[engine][stream.ID] = stream
	number := 0
	fmt.Sscanf(engine, "e%d", &number)
	isCurrent := func() bool { return stream.attempt == attempt && s.open[engine][stream.ID] == stream }
	s.after(2*time.Millisecond, func() {
		if isCurrent() && (stream.instance.number < s.options.badLinks || s.options.fails(s, number, stream.instance.dataCentre, s.now)) {
			s.fail(stream)
		}
	})
	first := 300*time.Millisecond + time.Duration(len(s.open[engine]))*20*time.Millisecond
	s.after(first, func() {
		if isCurrent() {
			stream.tokens = 4
			s.step(stream.instance, decide.Progressed{ID: stream.ID, Tokens: 4})
		}
	})
	s.after(first+time.Duration(stream.output)*siteStep, func() {
		if isCurrent() {
			delete(s.open[engine], stream.ID)
			s.completed++
			s.step(stream.instance, decide.Ended{ID: stream.ID, Tokens: stream.output, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
		}
	})
}

// fail resets a stream. One that can be repeated is sent again, up to three times.
func (s *failingSite) fail(stream *siteStream) {
	delete(s.open[stream.engine], stream.ID)
	s.step(stream.instance, decide.Failed{ID: stream.ID, Upstream: stream.engine, Reason: verdict.UpstreamLost})
	if stream.repeatable && stream.attempt < 3 {
		stream.Excluded, stream.NeverSent = append(stream.Excluded, stream.engine), false
		s.step(stream.instance, decide.Arrived{Request: stream.Request}, stream)
		return
	}
	switch {
	case stream.repeatable:
	case stream.tokens > 0:
		s.lostBegun++
	default:
		s.lost++
		s.lostTimes = append(s.lostTimes, s.now)
	}
	s.step(stream.instance, decide.Ended{ID: stream.ID, Tokens: stream.tokens, Outcome: verdict.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}})
}

// failingFrom is the time from which engines fail, when the others have streams.
const failingFrom = 3 * time.Second

// resetsAll makes the first engines reset every stream from failingFrom on.
func resetsAll(engines int) func(*failingSite, int, string, time.Time) bool {
	return func(_ *failingSite, engine int, _ string, at time.Time) bool {
		return engine < engines && at.Sub(epoch) > failingFrom
	}
}

// resetsShare makes the first engines reset a share of the streams.
func resetsShare(engines int, share float64) func(*failingSite, int, string, time.Time) bool {
	return func(s *failingSite, engine int, _ string, at time.Time) bool {
		return engine < engines && at.Sub(epoch) > failingFrom && s.random.Float64() < share
	}
}

// flaps makes the first engines reset everything in every other second.
func flaps(engines int) func(*failingSite, int, string, time.Time) bool {
	return func(_ *failingSite, engine int, _ string, at time.Time) bool {
		return engine < engines && at.Sub(epoch) > failingFrom && int(at.Sub(epoch)/time.Second)%2 == 1
	}
}

var (
	aloneSite = siteOptions{instances: 1, dataCentres: 1, engines: 10, perSecond: 12, lasts: failingFrom + 10*time.Second}
	smallSite = siteOptions{instances: 18, dataCentres: 3, engines: 20, perSecond: 25, lasts: failingFrom + 10*time.Second}
	largeSite = siteOptions{instances: 130, dataCentres: 4, engines: 60, perSecond: 80, lasts: failingFrom + 10*time.Second}
)

func playSite(t *testing.T, options siteOptions, fails func(*failingSite, int, string, time.Time) bool, seed uint64) *failingSite {
	t.Helper()
	options.fails = fails
	s := newFailingSite(options, seed)
	s.run()
	t.Logf("seed %d: %d arrived, %d completed, %d refused, %d lost before the first event; avoided at %v instances, used again at %v",
		seed, s.arrived, s.completed, s.refused, s.lost, count(s.avoided), count(s.usedAgain))
	return s
}

// TestFailingEnginesLoseFewStreams guards against engines that fail requests and therefore
// look empty, at which nearly every instance has to lose requests before it avoids them.
// Streams are lost for 10 s after the engines begin to fail. The comments have the numbers
// without the estimate of failures, for seed 1.
func TestFailingEnginesLoseFewStreams(t *testing.T) {
	withRepeatable := func(options siteOptions) siteOptions {
		options.repeatable = 0.5
		return options
	}
	for name, test := range map[string]struct {
		options siteOptions
		fails   func(*failingSite, int, string, time.Time) bool
		// maxLost is the number of once-only streams that may be lost.
		maxLost int
	}{
		"1 instance, 1 of 10 resets all":                    {aloneSite, resetsAll(1), 7},                         // 6
		"1 instance, 1 of 10 fails 40%":                     {aloneSite, resetsShare(1, 0.4), 6},                  // 3
		"1 instance, 1 of 10 flaps":                         {aloneSite, flaps(1), 6},                             // 7
		"18 instances, 2 of 20 reset all":                   {smallSite, resetsAll(2), 14},                        // 44
		"18 instances, 2 of 20 fail 40%":                    {smallSite, resetsShare(2, 0.4), 9},                  // 12
		"18 instances, 2 of 20 flap":                        {smallSite, flaps(2), 10},                            // 31
		"130 instances, 6 of 60 reset all":                  {largeSite, resetsAll(6), 38},                        // 216
		"130 instances, 6 of 60 fail 40%":                   {largeSite, resetsShare(6, 0.4), 26},                 // 38
		"130 instances, 6 of 60 flap":                       {largeSite, flaps(6), 28},                            // 101
		"130 instances, 6 of 60 reset all, half repeatable": {withRepeatable(largeSite), resetsAll(6), 10},        // 133
		"130 instances, 6 of 60 fail 40%, half repeatable":  {withRepeatable(largeSite), resetsShare(6, 0.4), 10}, // 20
		"130 instances, 6 of 60 flap, half repeatable":      {withRepeatable(largeSite), flaps(6), 10},            // 56
	} {
		t.Run(name, func(t *testing.T) {
			seeds := 3
			if test.options.instances > 32 {
				seeds = 1 // A large site takes some seconds.
			}
			for seed := range seeds {
				s := playSite(t, test.options, test.fails, uint64(seed+1))
				assert.Check(t, s.lost <= test.maxLost, "%d once-only streams were lost, want at most %d", s.lost, test.maxLost)
			}
		})
	}
}

// sends returns the number of sends to each of some engines between two times after epoch.
func (s *failingSite) sends(engines []decide.Upstream, from, to time.Duration) (total int) {
	for _, e := range engines {
		for _, at := range s.sendTimes[e.Name] {
			if after := at.Sub(epoch); after >= from && after < to {
				total++
			}
		}
	}
	return total
}

// TestRecoveredEnginesAreUsedAgain guards against engines that stay avoided after they have
// recovered: they must get requests within 2 s, and their usual share later.
func TestRecoveredEnginesAreUsedAgain(t *testing.T) {
	const failing, recoveredAt = 6, failingFrom + 4*time.Second
	fails := func(_ *failingSite, engine int, _ string, at time.Time) bool {
		after := at.Sub(epoch)
		return engine < failing && after > failingFrom && after < recoveredAt
	}
	for name, options := range map[string]siteOptions{"1 instance": aloneSite, "18 instances": smallSite, "130 instances": largeSite} {
		t.Run(name, func(t *testing.T) {
			options.lasts, options.repeatable = recoveredAt+12*time.Second, 0.5
			failing := max(1, options.engines/10)
			// On a small site an engine gets only a few requests in the time.
			const seeds = 4
			later, others := 0.0, 0.0
			for seed := range uint64(seeds) {
				s := playSite(t, options, func(s *failingSite, engine int, from string, at time.Time) bool {
					return engine < failing && fails(s, engine, from, at)
				}, 1+seed)
				soon := s.sends(s.engines[:failing], recoveredAt, recoveredAt+2*time.Second)
				assert.Assert(t, soon >= failing, "%d requests in the first 2 s, want at least %d", soon, failing)
				later += float64(s.sends(s.engines[:failing], recoveredAt+6*time.Second, options.lasts)) / float64(seeds*failing)
				others += float64(s.sends(s.engines[failing:], recoveredAt+6*time.Second, options.lasts)) / float64(seeds*(options.engines-failing))
			}
			t.Logf("later %.1f requests for each recovered engine and %.1f for each other one", later, others)
			assert.Assert(t, later >= others/2, "%.1f requests for each recovered engine and %.1f for each other one", later, others)
		})
	}
}

// TestInstancesWithBadLinksEjectNoEngines guards against instances whose own links reset
// requests: their word must not make others avoid sound engines.
func TestInstancesWithBadLinksEjectNoEngines(t *testing.T) {
	never := func(*failingSite, int, string, time.Time) bool { return false }
	for name, test := range map[string]struct {
		options  siteOptions
		badLinks int
		// maxAvoided is the number of engines that instances with sound links may avoid for
		// a time.
		maxAvoided int
	}{
		"1 of 18 instances":  {smallSite, 1, 0},
		"2 of 18 instances":  {smallSite, 2, 0},
		"1 of 130 instances": {largeSite, 1, 0},
		"9 of 130 instances": {largeSite, 9, 3},
	} {
		t.Run(name, func(t *testing.T) {
			test.options.badLinks, test.options.repeatable = test.badLinks, 0.5
			s := playSite(t, test.options, never, 1)
			assert.Assert(t, len(s.avoidedBySound) <= test.maxAvoided, "instances with sound links avoided %v", s.avoidedBySound)
		})
	}
}

// TestServiceThatFailsEverywhereAvoidsFewEngines guards against a service whose requests fail
// now and then at all engines: none of them is worse than the others.
func TestServiceThatFailsEverywhereAvoidsFewEngines(t *testing.T) {
	for name, share := range map[string]float64{"10% fail": 0.1, "30% fail": 0.3, "all fail": 1} {
		t.Run(name, func(t *testing.T) {
			s := playSite(t, largeSite, resetsShare(60, share), 1)
			total := 0
			for _, times := range s.avoided {
				total += len(times)
			}
			// Each of some 33 instances of a data centre decides for itself.
			t.Logf("%d engines were avoided, by %.1f instances on average", len(s.avoided), float64(total)/float64(max(1, len(s.avoided))))
			assert.Assert(t, len(s.avoided) <= 6, "%d of 60 engines were avoided", len(s.avoided))
		})
	}
}

// TestEnginesThatFailForOneDataCentre guards against engines that fail only the requests from
// one data centre: those from there go elsewhere, and the others still use the engines.
func TestEnginesThatFailForOneDataCentre(t *testing.T) {
	// Engines 1, 5, 9 and so on are in data centre b. Those in a have no room for all.
	fails := func(_ *failingSite, engine int, from string, at time.Time) bool {
		return engine%4 == 1 && engine < 24 && from == "a" && at.Sub(epoch) > failingFrom
	}
	options := largeSite
	options.hotShare = 0.6
	s := playSite(t, options, fails, 1)
	assert.Assert(t, s.lost <= 40, "%d streams were lost", s.lost)
	assert.Equal(t, len(s.avoidedBy["b"]), 0, "engines were avoided in their own data centre: %v", s.avoidedBy["b"])
}

// TestAtMostHalfOfPoolIsAvoided guards against a pool of which too little is left.
func TestAtMostHalfOfPoolIsAvoided(t *testing.T) {
	for name, failing := range map[string]int{"3 of 10 fail": 3, "5 of 10 fail": 5, "8 of 10 fail": 8} {
		t.Run(name, func(t *testing.T) {
			s := playSite(t, aloneSite, resetsAll(failing), 1)
			avoided := s.instances[0].Avoided()
			assert.Assert(t, avoided <= 5, "%d of 10 engines are avoided", avoided)
		})
	}
}

// TestAvoidedEnginesAreNotReported guards against other data centres that place streams on
// engines which the instances beside them avoid.
func TestAvoidedEnginesAreNotReported(t *testing.T) {
	s := playSite(t, aloneSite, resetsAll(1), 1)
	assert.Equal(t, s.instances[0].Avoided(), 1)
	for _, load := range s.instances[0].Loads(s.now, "a", 12) {
		assert.Assert(t, load.Upstream != "e00", "the load of an avoided engine is reported")
	}
}

// TestRepeatedStreamReportsFailure guards against failures that no other instance hears of
// because the stream goes on elsewhere.
func TestRepeatedStreamReportsFailure(t *testing.T) {
	f := newFleet(1, []decide.Upstream{newEngine("e1", 20_000), newEngine("e2", 20_000)})
	r := requestOf(0, 1, 1000)
	places := f.step(epoch, 0, decide.Arrived{Request: r})
	assert.Equal(t, len(places), 1)
	failed := places[0].Upstream.Name
	for _, test := range []struct {
		reason verdict.Reason
		want   bool
	}{{verdict.UpstreamRefused, false}, {verdict.UpstreamLost, true}} {
		f.instances[0].Step(epoch, decide.Failed{ID: r.ID, Upstream: failed, Reason: test.reason})
		r.Excluded = []string{failed}
		places, notices := split(f.instances[0].Step(epoch, decide.Arrived{Request: r}))
		reported := slices.ContainsFunc(notices, func(n decide.Notice) bool {
			return n.Kind == decide.NoticeEnded && n.Failed && n.Upstream == failed && !n.Deferrable
		})
		assert.Equal(t, reported, test.want, "reason %v", test.reason)
		assert.Equal(t, len(places), 1)
		failed = places[0].Upstream.Name
	}
}

func count(times map[string][]time.Time) map[string]int {
	counts := map[string]int{}
	for name, list := range times {
		counts[name] = len(list)
	}
	return counts
}
