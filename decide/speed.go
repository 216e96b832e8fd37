package decide

import (
	"math"
	"slices"
	"time"
)

// Pace is the pace of a stream since its previous progress report, as measured by the
// instance that relays it; the zero value if it was not measured.
type Pace struct {
	// PerToken is the mean time between two tokens.
	PerToken time.Duration
	// LongestPause is the longest pause between two events.
	LongestPause time.Duration
}

// UnevenChanged reports that the engines of a pool began or ceased to differ in speed by
// more than the uncertainty of the measurements.
type UnevenChanged struct {
	Pool   string
	Uneven bool
	// Spread is the standard deviation of the logarithm of the engines' speeds.
	Spread float64
	// Total is the number of pools that are uneven now.
	Total int
}

func (UnevenChanged) decideAction() {}

// workKind is a kind of work that is measured on engines.
type workKind uint8

const (
	// prefillWork is measured as the time for a prompt token until the first event.
	prefillWork workKind = iota
	// decodeWork is measured as the time between two tokens.
	decodeWork
	workKinds
)

const (
	// maxSpeedSamples is the number of latest measurements of an engine that are used. A
	// slow period of several hundred milliseconds covers less than half of them.
	maxSpeedSamples = 9
	// meanSamples is the effective number of measurements in a service's mean, and
	// spreadSamples in its variances.
	meanSamples, spreadSamples = 300, 300
	// spreadPriorSamples is the weight of the assumption that all engines are equal, and
	// noisePriorSamples that of the assumption that a measurement varies by initialNoise,
	// a variance of logarithms.
	spreadPriorSamples, noisePriorSamples, initialNoise = 10, 10, 0.1
	// The engines of a service count as uneven from a variance of unevenSpread, a
	// standard deviation of 30%, until one of evenSpread, 20%. Changes of load alone gave
	// equal engines a deviation of 17%.
	unevenSpread, evenSpread = 0.09, 0.04
	// minSpread bounds the variance by which measurements of an engine are weighted.
	minSpread = 0.015
	// minPseudoSamples and maxPseudoSamples bound the weight of the service's mean in the
	// speed of an engine.
	minPseudoSamples, maxPseudoSamples = 0.5, 10
	// reportedSamples is the weight of a factor from another data centre. It is the
	// median of several measurements there.
	reportedSamples = 3
	// maxFactor limits how far one measurement deviates from the mean, and thus all
	// factors.
	maxFactor = 4
	// minPrefillSample is the number of prompt tokens from which the time to the first
	// event is measured. For shorter prompts it depends mostly on the network.
	minPrefillSample = 500
	// firstEventTokens is the number of prompt tokens that an engine prefills in the time
	// that it needs for the first event after the prompt, and the notices for their way.
	firstEventTokens = 400
)

// average is an exponentially weighted average.
type average struct{ sum, weight float64 }

func (a *average) observe(x, samples float64) {
	keep := 1 - 1/samples
	a.sum, a.weight = a.sum*keep+x, a.weight*keep+1
}

// mean returns the average together with prior samples of the given value.
func (a *average) mean(prior, priorWeight float64) float64 {
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// serviceSpeeds describes the speeds of all engines of a service.
type serviceSpeeds struct {
	// means contains the mean logarithm of the time in seconds for each kind of work.
	means [workKinds]average
	// spread is the variance between engines, noise the variance of the measurements on
	// one engine.
	spread, noise average
	uneven        bool
	pauses        pauseHistogram
}

func (p *serviceSpeeds) spreadVariance() float64 {
	return max(0, p.spread.mean(0, spreadPriorSamples))
}

// pseudoSamples returns the weight of the service's mean in the speed of an engine, in
// measurements.
func (p *serviceSpeeds) pseudoSamples() float64 {
	noise := p.noise.mean(initialNoise, noisePriorSamples)
	return max(minPseudoSamples, min(maxPseudoSamples, noise/max(minSpread, p.spreadVariance())))
}

// speedSample is one measurement: the logarithm of a time in seconds.
type speedSample struct {
	kind workKind
	log  float64
}

// engineSpeed estimates how long work takes on one engine, relative to its service.
type engineSpeed struct {
	service *serviceSpeeds
	samples [maxSpeedSamples]speedSample
	// count is the number of measurements so far.
	count int
	// reported is the factor that another data centre reported; 0 if none did.
	reported float64
}

// newUpstream returns the state of an upstream that is listed for the first time.
func (s *Scheduler) newUpstream(now time.Time, listed Upstream) *upstream {
	u := newUpstream(now, listed)
	if listed.CapacityTokens > 0 {
		s.retries.movable[listed.Pool] = true
	}
	u.speed.service = s.pool(listed.Pool).speeds
	return u
}

// deviation returns the median deviation of the measurements from the service's means,
// and their number.
func (e *engineSpeed) deviation() (median float64, count int) {
	var deviations [maxSpeedSamples]float64
	count = min(e.count, maxSpeedSamples)
	for i, sample := range e.samples[:count] {
		deviations[i] = e.service.limit(sample)
	}
	if count == 0 {
		return 0, 0
	}
	sorted := deviations[:count]
	slices.Sort(sorted)
	return (sorted[(count-1)/2] + sorted[count/2]) / 2, count
}

// limit returns the deviation of a measurement from the mean, within maxFactor.
func (p *serviceSpeeds) limit(sample speedSample) float64 {
	bound := math.Log(maxFactor)
	return max(-bound, min(bound, sample.log-p.means[sample.kind].mean(0, 0)))
}

// observe records that one unit of work took the given time.
func (e *engineSpeed) observe(kind workKind, perUnit time.Duration) {
	if e.service == nil || perUnit <= 0 {
		return
	}
	p, sample := e.service, speedSample{kind, math.Log(perUnit.Seconds())}
	if p.means[kind].weight > 0 {
		deviation := p.limit(sample)
		if median, count := e.deviation(); count > 0 {
			p.spread.observe(deviation*median, spreadSamples)
			p.noise.observe((deviation-median)*(deviation-median)/(1+1/float64(count)), spreadSamples)
		}
	}
	p.means[kind].observe(sample.log, meanSamples)
	e.samples[e.count%maxSpeedSamples] = sample
	e.count++
}

// estimate returns the logarithm of the factor, and its standard deviation. Both are 0 if
// the service counts as even.
func (e *engineSpeed) estimate() (logFactor, deviation float64) {
	if e.service == nil || !e.service.uneven {
		return 0, 0
	}
	median, count := e.deviation()
	weighted, known, pseudo := median*float64(count), float64(count), e.service.pseudoSamples()
	if e.reported > 0 {
		weighted += reportedSamples * math.Log(e.reported)
		known += reportedSamples
	}
	return weighted / (known + pseudo), math.Sqrt(e.service.spreadVariance() * pseudo / (known + pseudo))
}

// factor returns how long work takes on the engine, relative to the mean of its service.
func (e *engineSpeed) factor() float64 {
	logFactor, _ := e.estimate()
	return math.Exp(logFactor)
}

// isUneven reports whether the engines of the service differ in speed.
func (e *engineSpeed) isUneven() bool { return e.service != nil && e.service.uneven }

// stepTime returns the time between two tokens, or 0 if the service counts as even or no
// pace was measured.
func (e *engineSpeed) stepTime() time.Duration {
	if !e.isUneven() || e.service.means[decodeWork].weight == 0 {
		return 0
	}
	return time.Duration(math.Exp(e.service.means[decodeWork].mean(0, 0)) * e.factor() * float64(time.Second))
}

// prefillRate returns the number of prompt tokens per second that the engine prefills.
func (s *Scheduler) prefillRate(u *upstream) float64 {
	return s.pool(u.Pool).prefill.tokensPerSecond() / u.speed.factor()
}

// observeStart records the time to the first event of a stream.
func (s *Scheduler) observeStart(now time.Time, u *upstream, f *inFlight) {
	if f.prefillTokens < minPrefillSample {
		return
	}
	u.speed.observe(prefillWork, time.Duration(float64(now.Sub(f.sentAt))/(f.prefillTokens+firstEventTokens)))
	s.updateUneven(u)
}

// observePace records the pace of a stream for a number of tokens.
func (s *Scheduler) observePace(u *upstream, f *inFlight, tokens int, pace Pace) {
	if pace.PerToken <= 0 || tokens <= 0 {
		return
	}
	u.speed.observe(decodeWork, pace.PerToken)
	s.updateUneven(u)
	f.longestPause = max(f.longestPause, pace.LongestPause)
	if u.speed.isUneven() && u.speed.count >= minPauseSamples {
		u.speed.service.pauses.observe(time.Duration(float64(pace.LongestPause)/u.speed.factor()), tokens)
	}
}

// updateUneven updates whether the engines of the upstream's service differ in speed.
func (s *Scheduler) updateUneven(u *upstream) {
	p := u.speed.service
	if p == nil {
		return
	}
	variance := p.spreadVariance()
	if p.uneven && variance >= evenSpread || !p.uneven && variance <= unevenSpread {
		return
	}
	p.uneven = !p.uneven
	total := 0
	for _, other := range s.pools {
		if other.speeds != nil && other.speeds.uneven {
			total++
		}
	}
	s.outgoing = append(s.outgoing, UnevenChanged{u.Pool, p.uneven, math.Sqrt(variance), total})
}
