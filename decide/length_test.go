package decide_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
	"gotest.tools/v3/assert"

	"mangoloft/decide"
)

func TestCurveOfKnownLengths(t *testing.T) {
	lengths := make([]int, 100)
	for i := range lengths {
		lengths[i] = 10 * (i + 1)
	}
	curve := decide.CurveFromLengths(lengths)
	for name, c := range map[string]struct{ got, want, within float64 }{
		"longer than 0":             {curve.Survival(0), 1, 0},
		"longer than half":          {curve.Survival(500), 0.5, 0.05},
		"longer than nine tenths":   {curve.Survival(900), 0.1, 0.05},
		"longer than all":           {curve.Survival(1200), 0, 0.01},
		"mean":                      {curve.Mean(), 505, 20},
		"residual longer than 0":    {curve.ResidualSurvival(0), 1, 0.01},
		"residual longer than half": {curve.ResidualSurvival(500), 0.25, 0.03},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, math.Abs(c.got-c.want) <= c.within, "got %v, want about %v", c.got, c.want)
		})
	}
}

// TestForecastIsCalibrated checks that a 95% bound on the remaining length
// holds in 93% to 97% of new cases, also for outputs that already have many
// tokens.
func TestForecastIsCalibrated(t *testing.T) {
	for name, generated := range map[string]int{"at the start": 0, "after 50 tokens": 50, "after 200 tokens": 200} {
		t.Run(name, func(t *testing.T) {
			var held, all int
			for seed := range uint64(16) {
				seedHeld, seedAll := countWithinBound(seed, generated)
				held, all = held+seedHeld, all+seedAll
			}
			share := float64(held) / float64(all)
			assert.Assert(t, share >= 0.93 && share <= 0.97, "the bound held in %.3f of %d cases, want 0.93 to 0.97", share, all)
		})
	}
}

func countWithinBound(seed uint64, generated int) (held, all int) {
	draw := distuv.LogNormal{Mu: math.Log(80), Sigma: 0.9, Src: rand.NewPCG(seed, 2)}
	length := func() int { return max(1, int(draw.Rand())) }
	lengths := decide.NewLearnedLengths()
	r := draft("reef")
	// The history must be long enough that its sampling error is negligible.
	for range 3000 {
		tokens := length()
		lengths.ObserveProgress(r, 0, tokens)
		lengths.ObserveEnd(r, tokens)
	}
	curve := lengths.Forecast(r)
	bound := float64(generated)
	for curve.Survival(bound) > 0.05*curve.Survival(float64(generated)) {
		bound++
	}
	for all < 1000 {
		tokens := length()
		if tokens <= generated {
			continue
		}
		all++
		if float64(tokens) <= bound {
			held++
		}
	}
	return held, all
}

// TestNewHistoryIsNotBiased checks that outputs that are still running count.
// Otherwise a new history would contain only the short ones.
func TestNewHistoryIsNotBiased(t *testing.T) {
	lengths := decide.NewLearnedLengths()
	r := draft("reef")
	for range 50 {
		lengths.ObserveProgress(r, 0, 20)
		lengths.ObserveEnd(r, 20)
		lengths.ObserveProgress(r, 0, 200)
	}
	beyond := lengths.Forecast(r).Survival(150)
	assert.Assert(t, beyond > 0.4, "the forecast probability of more than 150 tokens is %.2f, want more than 0.4", beyond)
}

func TestTeamIsShrunkTowardsItsClass(t *testing.T) {
	lengths := decide.NewLearnedLengths()
	for range 200 {
		lengths.ObserveProgress(draft("reef"), 0, 100)
		lengths.ObserveEnd(draft("reef"), 100)
	}
	unknown := lengths.Forecast(draft("fresh")).Mean()
	assert.Assert(t, math.Abs(unknown-100) < 15, "the forecast for a new team is %.0f tokens, want about 100", unknown)
	for range 200 {
		lengths.ObserveProgress(draft("fresh"), 0, 20)
		lengths.ObserveEnd(draft("fresh"), 20)
	}
	known := lengths.Forecast(draft("fresh")).Mean()
	assert.Assert(t, known < 30, "the forecast for a known team is %.0f tokens, want less than 30", known)
}
