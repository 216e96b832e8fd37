package decide

import (
	"math"
	"time"
)

// horizons are the tokens from now at which memory is forecast.
var horizons = [...]float64{1, 8, 16, 24, 32, 48, 64, 80, 96, 112, 128, 160, 192, 224, 256, 320, 384, 512, 768, 1024}

// The deviations kept free: patient for a request that has all its time to
// wait for a safe place, when a forecast holds in 99 of 100 cases, and hurried
// for one whose target for waiting passes, when it holds in 90.
const (
	patient = 2.33
	hurried = 1.28
)

// margin returns the deviations to keep free for a request. It takes a risk
// only as its time runs out, for then waiting is a stall for certain.
func margin(now, arrivedAt, deadline time.Time) float64 {
	left := float64(deadline.Sub(now)) / float64(max(1, deadline.Sub(arrivedAt)))
	return hurried + (patient-hurried)*max(0, min(1, left))
}

// flight is a request that was placed and isn't over.
type flight struct {
	Request
	upstream string
	// foreign flights were placed by another instance.
	foreign bool
	lengths Distribution
	sentAt  time.Time
	// tokens is how many it had at tokensAt.
	tokens   int
	tokensAt time.Time
	// readBy is how many prompt tokens its engine had to read until it could
	// begin, its own the last. It is taken to have begun at beginsBy, whoever
	// told so.
	readBy   float64
	beginsBy time.Time
}

// made estimates the tokens that the flight has at a time.
func (f *flight) made(at time.Time, step time.Duration) float64 {
	since := at.Sub(f.tokensAt)
	if step <= 0 || since < 0 {
		return float64(f.tokens)
	}
	return float64(f.tokens) + float64(since)/float64(step)
}

// moments are the mean and the variance of an amount of memory in tokens, and
// the most that it can be.
type moments struct{ mean, variance, most float64 }

func (m *moments) add(o moments) {
	m.mean += o.mean
	m.variance += o.variance
	m.most += o.most
}

// upper is the amount that so many deviations leave room for. The sum of few generations is far from normal, but never above the most.
func (m moments) upper(deviations float64) float64 {
	return min(m.mean+deviations*math.Sqrt(m.variance), m.most)
}

// alive returns the moments of an amount that is held with a probability.
func alive(probability, amount float64) moments {
	if probability <= 0 {
		return moments{}
	}
	return moments{probability * amount, probability * (1 - probability) * amount * amount, amount}
}

// crowd is a number of generations about which only sums are known.
type crowd struct {
	count float64
	// size is their mean memory in tokens.
	size float64
}

// forecast is the memory of one upstream at each horizon.
type forecast [len(horizons)]moments

// addFlight adds a generation that this instance placed.
func (f *forecast) addFlight(prompt, made float64, lengths Distribution) {
	now := lengths.Survival(made)
	for i, h := range horizons {
		lasts := 0.0
		if now > 0 {
			lasts = lengths.Survival(made+h) / now
		}
		f[i].add(alive(lasts, prompt+made+h))
	}
}

// addOthers adds running generations that other instances placed, as they were
// some tokens ago.
func (f *forecast) addOthers(others crowd, ago float64, pool *Curve) {
	if others.count == 0 {
		return
	}
	for i, h := range horizons {
		grown := h + ago
		lasts := pool.ResidualSurvival(grown)
		// The sizes are about as spread as exponential ones.
		square := 2*others.size*others.size + 2*others.size*grown + grown*grown
		f[i].add(moments{
			mean: others.count * lasts * (others.size + grown), variance: others.count * lasts * (1 - lasts) * square,
			most: others.count * (others.size + grown),
		})
	}
}

// addUnseen adds generations that others may have placed since the report: a
// Poisson number around the count.
func (f *forecast) addUnseen(unseen crowd, pool *Curve) {
	if unseen.count == 0 {
		return
	}
	for i, h := range horizons {
		amount := unseen.size + h
		mean := unseen.count * pool.atHorizon[i] * amount
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
