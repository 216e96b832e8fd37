package decide

import (
	"math"
	"time"
)

// horizons are the numbers of tokens ahead at which memory is forecast.
var horizons = [...]float64{1, 8, 16, 24, 32, 48, 64, 80, 96, 112, 128, 160, 192, 224, 256, 320, 384, 512, 768, 1024}

// The safety margins in standard deviations. patientDeviations, at which a
// forecast holds in 99 of 100 cases, applies to a request with all its waiting
// time left. urgentDeviations, at which it holds in 90, applies to one at its
// deadline.
const (
	patientDeviations = 2.33
	urgentDeviations  = 1.28
)

// safetyMargin returns the margin for a request. It shrinks as the waiting time
// runs out, because more waiting is then certain to stall the request.
func safetyMargin(now, arrivedAt, deadline time.Time) float64 {
	left := float64(deadline.Sub(now)) / float64(max(1, deadline.Sub(arrivedAt)))
	return urgentDeviations + (patientDeviations-urgentDeviations)*max(0, min(1, left))
}

// inFlight is a placed request that has not ended.
type inFlight struct {
	Request
	upstream string
	// peerOwned requests were placed by another instance.
	peerOwned bool
	lengths   Distribution
	sentAt    time.Time
	// tokens is the number of generated tokens as of tokensAt.
	tokens   int
	tokensAt time.Time
	// prefillTokens is how many prompt tokens the engine had to prefill until the
	// request could start, including its own. At assumedStart the request is
	// assumed to have started even if no notice of it arrived.
	prefillTokens float64
	assumedStart  time.Time
}

// made estimates the number of generated tokens at a time.
func (f *inFlight) generatedAt(at time.Time, step time.Duration) float64 {
	since := at.Sub(f.tokensAt)
	if step <= 0 || since < 0 {
		return float64(f.tokens)
	}
	return float64(f.tokens) + float64(since)/float64(step)
}

// moments holds the mean, the variance and the upper limit of an amount of memory
// in tokens.
type moments struct{ mean, variance, limit float64 }

func (m *moments) add(o moments) {
	m.mean += o.mean
	m.variance += o.variance
	m.limit += o.limit
}

// upper returns the upper bound at a number of standard deviations. The sum of
// few generations is far from normal, but it never exceeds the limit.
func (m moments) upper(deviations float64) float64 {
	return min(m.mean+deviations*math.Sqrt(m.variance), m.limit)
}

// bernoulli returns the moments of an amount that is held with the given
// probability, and 0 otherwise.
func bernoulli(probability, amount float64) moments {
	if probability <= 0 {
		return moments{}
	}
	return moments{probability * amount, probability * (1 - probability) * amount * amount, amount}
}

// aggregate describes a number of generations of which only sums are known.
type aggregate struct {
	count float64
	// meanTokens is their mean memory.
	meanTokens float64
}

// forecast is the memory of one upstream at each horizon.
type forecast [len(horizons)]moments

// addRequest adds a generation with a known prompt and output forecast.
func (f *forecast) addRequest(prompt, generated float64, lengths Distribution) {
	alive := lengths.Survival(generated)
	for i, h := range horizons {
		lasts := 0.0
		if alive > 0 {
			lasts = lengths.Survival(generated+h) / alive
		}
		f[i].add(bernoulli(lasts, prompt+generated+h))
	}
}

// addOthers adds running generations of which only the report is known, as they
// were some steps ago.
func (f *forecast) addOthers(others aggregate, stepsAgo float64, pool *Curve) {
	if others.count == 0 {
		return
	}
	for i, h := range horizons {
		grown := h + stepsAgo
		lasts := pool.ResidualSurvival(grown)
		// The sizes are assumed to have the spread of an exponential
		// distribution.
		square := 2*others.meanTokens*others.meanTokens + 2*others.meanTokens*grown + grown*grown
		f[i].add(moments{
			mean: others.count * lasts * (others.meanTokens + grown), variance: others.count * lasts * (1 - lasts) * square,
			limit: others.count * (others.meanTokens + grown),
		})
	}
}

// addUnseen adds generations that others may have placed since the report, as a
// Poisson-distributed number.
func (f *forecast) addUnseen(unseen aggregate, pool *Curve) {
	if unseen.count == 0 {
		return
	}
	for i, h := range horizons {
		amount := unseen.meanTokens + h
		mean := unseen.count * pool.survivalAtHorizon[i] * amount
		f[i].add(moments{mean, mean * amount, math.Inf(1)})
	}
}

// peak returns the largest of the upper bounds.
func (f *forecast) peak(deviations float64) float64 {
	largest := 0.0
	for _, m := range f {
		largest = max(largest, m.upper(deviations))
	}
	return largest
}
