package decide

import "slices"

// edges are the lengths in tokens at which the buckets of a curve end. Each is
// about an eighth above the one before, so a curve is as exact at ten tokens
// as at ten thousand.
var edges = makeEdges()

const (
	longestOutput = 128 << 10
	edgeGrowth    = 1.125
)

func makeEdges() []float64 {
	var all []float64
	for edge := 1.0; edge < longestOutput; edge = max(edge+1, edge*edgeGrowth) {
		all = append(all, float64(int(edge)))
	}
	return append(all, longestOutput)
}

// shortBuckets holds the buckets of lengths that nearly all outputs have.
var shortBuckets = makeShortBuckets()

func makeShortBuckets() (table [2048]uint8) {
	for tokens := range table {
		table[tokens] = uint8(searchBucket(tokens))
	}
	return table
}

// bucketOf returns the bucket that the length falls in.
func bucketOf(tokens int) int {
	if tokens >= 0 && tokens < len(shortBuckets) {
		return int(shortBuckets[tokens])
	}
	return searchBucket(tokens)
}

func searchBucket(tokens int) int {
	i, _ := slices.BinarySearch(edges, float64(tokens))
	return min(i, len(edges)-1)
}

// Curve is a distribution of output lengths.
type Curve struct {
	// beyond is the probability that an output is longer than each edge, and
	// after the integral of that from the edge on, in tokens.
	beyond, after []float64
	// atHorizon is the probability that an output goes beyond each horizon.
	atHorizon [len(horizons)]float64
	mean      float64
}

// newCurve returns the curve of the hazards: the probabilities that an output
// that reached a bucket ends in it.
func newCurve(hazards []float64) *Curve {
	c := &Curve{beyond: make([]float64, len(edges)), after: make([]float64, len(edges))}
	alive := 1.0
	for i, hazard := range hazards {
		alive *= 1 - hazard
		c.beyond[i] = alive
	}
	for i := len(edges) - 2; i >= 0; i-- {
		c.after[i] = c.after[i+1] + (edges[i+1]-edges[i])*(c.beyond[i]+c.beyond[i+1])/2
	}
	c.mean = c.after[0] + (1+c.beyond[0])/2
	for i, h := range horizons {
		c.atHorizon[i] = c.Survival(h)
	}
	return c
}

// Survival returns the probability that an output has more than the tokens.
func (c *Curve) Survival(tokens float64) float64 { return interpolate(c.beyond, 1, tokens) }

// Mean returns the expected length in tokens.
func (c *Curve) Mean() float64 { return c.mean }

// ResidualSurvival returns the probability that a generation, met at a random moment of
// its run, goes on for more than the tokens.
func (c *Curve) ResidualSurvival(tokens float64) float64 {
	return interpolate(c.after, c.mean, tokens) / c.mean
}

// interpolate reads the values at the edges, with the value at 0 tokens.
func interpolate(values []float64, zero, tokens float64) float64 {
	if tokens <= 0 {
		return zero
	}
	if tokens >= longestOutput {
		return values[len(values)-1]
	}
	i := bucketOf(int(tokens))
	if edges[i] < tokens {
		i++
	}
	left, leftEdge := zero, 0.0
	if i > 0 {
		left, leftEdge = values[i-1], edges[i-1]
	}
	return left + (values[i]-left)*(tokens-leftEdge)/(edges[i]-leftEdge)
}

// CurveFromLengths returns the curve of known lengths.
func CurveFromLengths(lengths []int) *Curve {
	h := newHistory(historyKey{})
	for _, tokens := range lengths {
		h.pass(0, tokens)
		h.ended[bucketOf(tokens)]++
	}
	h.refresh(ignorance(longestOutput), 0.01)
	return h.curve
}
