package decide

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// lateCost is the cost of a stream that becomes late, by a pause above its target or a
	// late first event. It exceeds all other costs together but that of an engine in slow
	// start. Engines with a high risk are still used if no others have room.
	lateCost = 4 * time.Second
	// minPauseSamples is the number of measurements of an engine from which its pauses are
	// recorded.
	minPauseSamples = 2
	// pauseSamples is the effective number of reports in the histogram of pauses, and
	// pausePriorTokens the number of tokens without a pause that is assumed at first.
	pauseSamples, pausePriorTokens = 400, 1000
	// maxTokensPerPrompt limits the number of tokens whose pauses are attributed to one
	// prompt, for services with little traffic.
	maxTokensPerPrompt = 200
	// A stream whose risk of a late pause is at least deferRisk waits for another engine for
	// deferShare of the time until its latest start. A prompt that occupies a fast engine is
	// usually prefilled within that time.
	deferRisk, deferShare = 0.3, 0.25
	// longOutput is the number of tokens of a stream that is long enough to be placed by its
	// risk of a late pause, if there are any such pauses.
	longOutput = 500
	// slowDeviations is the number of standard deviations by which the slow engines of a
	// service are slower than its mean. The mean is mostly that of fast engines, which get
	// most streams.
	slowDeviations = 2
	// startMarginShare is the share of the expected time to the first event by which the
	// event may be later, measured on busy engines.
	startMarginShare = 0.25
)

// The buckets of pauses have limits of minPause, and further ones larger by the factor
// exp(bucketWidth) each, up to 1.2 s.
const (
	minPause     = 10 * time.Millisecond
	bucketWidth  = 0.1
	pauseBuckets = 48
)

// pauseHistogram contains the longest pauses in reports of streams, each divided by the
// factor of its engine, so that observations on all engines of a service count for each.
type pauseHistogram struct {
	counts [pauseBuckets]float64
	// tokens is the number of tokens in these reports.
	tokens float64
}

func pauseBucket(pause time.Duration) int {
	if pause <= minPause {
		return 0
	}
	return min(pauseBuckets-1, int(math.Log(float64(pause)/float64(minPause))/bucketWidth))
}

func (h *pauseHistogram) observe(pause time.Duration, tokens int) {
	for i := range h.counts {
		h.counts[i] *= 1 - 1.0/pauseSamples
	}
	h.tokens = h.tokens*(1-1.0/pauseSamples) + float64(tokens)
	h.counts[pauseBucket(pause)]++
}

// perToken returns the frequency of pauses above a limit.
func (h *pauseHistogram) perToken(limit time.Duration) float64 {
	count := 0.0
	for _, n := range h.counts[pauseBucket(limit):] {
		count += n
	}
	return count / (h.tokens + pausePriorTokens)
}

// latePausesPerToken returns the frequencies of pauses above the target on the engine, if
// its factor is one standard deviation smaller and larger than estimated.
func (e *engineSpeed) latePausesPerToken(target time.Duration) [2]float64 {
	logFactor, deviation := e.estimate()
	frequency := func(logFactor float64) float64 {
		return e.service.pauses.perToken(time.Duration(float64(target) / math.Exp(logFactor)))
	}
	return [2]float64{frequency(logFactor - deviation), frequency(logFactor + deviation)}
}

// latePauseRisk returns the probability that a stream gets a pause above its target on the
// engine within a number of tokens.
func (e *engineSpeed) latePauseRisk(target time.Duration, tokens float64) float64 {
	if !e.isUneven() || target <= 0 {
		return 0
	}
	risk := 0.0
	frequencies := e.latePausesPerToken(target)
	for _, perToken := range frequencies {
		risk += (1 - math.Exp(-perToken*tokens)) / float64(len(frequencies))
	}
	return risk
}

// minCalm is the least weight of a destination of moves. Any engine is better than an
// interrupted run.
const minCalm = 0.02

// calm returns the weight of the engine as a destination of a running stream: the probability
// that it causes no pause above the stream's target. It is 1 for a stream that is late already.
func (e *engineSpeed) calm(f *inFlight) float64 {
	if f.longestPause > f.PauseTarget {
		return 1
	}
	return max(minCalm, 1-e.latePauseRisk(f.PauseTarget, f.lengths.Mean()))
}

// tokensPerPrompt returns the mean number of tokens that a stream generates between two
// prompts that its engine gets. The pauses in these are attributed to one prompt.
func (s *Scheduler) tokensPerPrompt(now time.Time, u *upstream) float64 {
	engines := 0
	for _, name := range s.order {
		if other := s.upstreams[name]; other.Pool == u.Pool && s.isLocal(other) {
			engines++
		}
	}
	step, rate := u.stepTime().Seconds(), s.pool(u.Pool).placements.perSecond(now)
	if step <= 0 || rate <= 0 {
		return maxTokensPerPrompt
	}
	return min(maxTokensPerPrompt, float64(max(1, engines))/(rate*step))
}

// disturbed returns the expected number of streams on the engine that get a pause above
// their target because the request's prompt is prefilled there.
func (s *Scheduler) disturbed(now time.Time, u *upstream, promptTokens int) float64 {
	if len(u.requests) == 0 {
		return 0
	}
	tokens := s.tokensPerPrompt(now, u) * float64(promptTokens) / max(1, s.pool(u.Pool).promptTokens)
	step, total := u.stepTime(), 0.0
	// Most streams have the same target.
	target, risk := time.Duration(0), 0.0
	for _, f := range u.requests {
		// Another long pause doesn't make a stream later that is late already.
		if f.PauseTarget <= 0 || f.longestPause > f.PauseTarget {
			continue
		}
		if f.PauseTarget != target {
			target, risk = f.PauseTarget, u.speed.latePauseRisk(f.PauseTarget, tokens)
		}
		generated := f.generatedAt(now, step)
		if alive := f.lengths.Survival(generated); alive > 0 {
			total += risk * f.lengths.Survival(generated+tokens) / alive
		}
	}
	return total
}

// lateness returns the expected number of streams that become late if the request is
// placed on the engine: itself, by a late first event or a pause above its target, and
// those running there. It is 0 in a service whose engines are equally fast.
func (s *Scheduler) lateness(now time.Time, w *waitingRequest, u *upstream, outputTokens float64) float64 {
	if !u.speed.isUneven() {
		return 0
	}
	late := s.disturbed(now, u, w.PromptTokens)
	start := time.Duration((1 + startMarginShare) * float64(s.startTime(now, w, u)))
	if !w.FirstTokenBy.IsZero() && now.Add(start).After(w.FirstTokenBy) {
		return late + 1
	}
	return late + u.speed.latePauseRisk(w.PauseTarget, outputTokens)
}

// defers reports whether the request waits rather than to be placed on the engine, because it
// would probably become late there and another engine may soon have room.
func (s *Scheduler) defers(now time.Time, w *waitingRequest, u *upstream, candidates []*upstream, outputTokens float64) bool {
	until := w.arrivedAt.Add(time.Duration(deferShare * float64(w.latestStart.Sub(w.arrivedAt))))
	risk := u.speed.latePauseRisk(w.PauseTarget, outputTokens)
	if risk < deferRisk || !now.Before(until) {
		return false
	}
	if !slices.ContainsFunc(candidates, func(other *upstream) bool {
		return s.isLocal(other) && other.speed.latePauseRisk(w.PauseTarget, outputTokens) < risk/2
	}) {
		return false
	}
	w.deferredUntil = until
	return true
}

// startTime returns the expected time to the first token of the request on the engine.
func (s *Scheduler) startTime(now time.Time, w *waitingRequest, u *upstream) time.Duration {
	return time.Duration((u.prefillBacklog(now) + float64(w.PromptTokens)) / s.prefillRate(u) * float64(time.Second))
}

// weighedStart returns the expected time to the first token of the request on the engine, as it
// counts in the start cost. For a stream of few tokens the speed of the engine doesn't count, so
// that these streams also go to slow engines and leave room on the fast ones for streams that
// would be late on the slow ones.
func (s *Scheduler) weighedStart(now time.Time, w *waitingRequest, u *upstream, outputTokens float64) time.Duration {
	start := s.startTime(now, w, u)
	if !u.speed.isUneven() || w.PauseTarget <= 0 {
		return start
	}
	p := u.speed.service
	perToken := p.pauses.perToken(time.Duration(float64(w.PauseTarget) / math.Exp(slowDeviations*math.Sqrt(p.spreadVariance()))))
	if perToken*outputTokens >= deferRisk || perToken*longOutput < deferRisk {
		return start
	}
	return time.Duration(float64(start) / u.speed.factor())
}

// speedText explains the speed of an engine in a service whose engines are not equally
// fast; empty in others.
func (s *Scheduler) speedText(now time.Time, w *waitingRequest, u *upstream, outputTokens float64) string {
	if !u.speed.isUneven() {
		return ""
	}
	return fmt.Sprintf("; work takes %.2f times the usual time there after %d measurements, %.2f streams expected to be late by the placement", u.speed.factor(), u.speed.count, s.lateness(now, w, u, outputTokens))
}
