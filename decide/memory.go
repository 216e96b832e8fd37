package decide

import (
	"math"
	"time"
)

// horizons are the tokens from now at which memory is forecast.
var horizons = [...]float64{1, 12, 24, 48, 80, 128, 208, 336, 544, 880}

// confidence is the number of standard deviations kept free: the forecast
// holds in 95 of 100 cases for a sum of many generations.
const confidence = 1.64

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
}

// made estimates the tokens that the flight has at a time.
func (f *flight) made(at time.Time, step time.Duration) float64 {
	since := at.Sub(f.tokensAt)
	if step <= 0 || since < 0 {
		return float64(f.tokens)
	}
	return float64(f.tokens) + float64(since)/float64(step)
}

// moments are the mean and the variance of an amount of memory in tokens.
type moments struct{ mean, variance float64 }

func (m *moments) add(o moments) {
	m.mean += o.mean
	m.variance += o.variance
}

// upper is the amount that is exceeded with the stated confidence at most.
func (m moments) upper() float64 { return m.mean + confidence*math.Sqrt(m.variance) }

// alive returns the moments of an amount that is held with a probability.
func alive(probability, amount float64) moments {
	return moments{probability * amount, probability * (1 - probability) * amount * amount}
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
	now := lengths.Beyond(made)
	for i, h := range horizons {
		lasts := 0.0
		if now > 0 {
			lasts = lengths.Beyond(made+h) / now
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
		lasts := pool.Lasts(grown)
		f[i].mean += others.count * lasts * (others.size + grown)
		// The sizes are about as spread as exponential ones.
		square := 2*others.size*others.size + 2*others.size*grown + grown*grown
		f[i].variance += others.count * lasts * (1 - lasts) * square
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
		f[i].add(moments{mean, mean * amount})
	}
}

// peak returns the largest of the upper bounds.
func (f *forecast) peak() float64 {
	largest := 0.0
	for _, m := range f {
		largest = max(largest, m.upper())
	}
	return largest
}
