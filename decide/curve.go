package decide

import "slices"

// bucketEdges are the upper ends of a curve's buckets, in tokens. Each is
// about an eighth above the previous one, so the relative precision is the
// same at ten tokens and at ten thousand.
var bucketEdges = makeBucketEdges()

const (
	maxOutputLength = 128 << 10
	edgeGrowth      = 1.125
)

func makeBucketEdges() []float64 {
	var edges []float64
	for edge := 1.0; edge < maxOutputLength; edge = max(edge+1, edge*edgeGrowth) {
		edges = append(edges, float64(int(edge)))
	}
	return append(edges, maxOutputLength)
}

// shortBuckets caches searchBucket for the lengths of nearly all outputs.
var shortBuckets = makeShortBuckets()

func makeShortBuckets() (table [2048]uint8) {
	for tokens := range table {
		table[tokens] = uint8(searchBucket(tokens))
	}
	return table
}

// bucketOf returns the index of the bucket that contains the length.
func bucketOf(tokens int) int {
	if tokens >= 0 && tokens < len(shortBuckets) {
		return int(shortBuckets[tokens])
	}
	return searchBucket(tokens)
}

func searchBucket(tokens int) int {
	i, _ := slices.BinarySearch(bucketEdges, float64(tokens))
	return min(i, len(bucketEdges)-1)
}

// Curve is a distribution of output lengths.
type Curve struct {
	// survival is the probability that an output is longer than each edge.
	// survivalIntegral is the integral of the survival function from each edge to
	// the last, in tokens.
	survival, survivalIntegral []float64
	// survivalAtHorizon is the probability that an output is longer than each
	// horizon.
	survivalAtHorizon [len(horizons)]float64
	mean              float64
}

// newCurve returns the curve with the given hazard of each bucket: the
// probability that an output that reached the bucket ends in it.
func newCurve(hazards []float64) *Curve {
	c := &Curve{survival: make([]float64, len(bucketEdges)), survivalIntegral: make([]float64, len(bucketEdges))}
	surviving := 1.0
	for i, hazard := range hazards {
		surviving *= 1 - hazard
		c.survival[i] = surviving
	}
	for i := len(bucketEdges) - 2; i >= 0; i-- {
		c.survivalIntegral[i] = c.survivalIntegral[i+1] + (bucketEdges[i+1]-bucketEdges[i])*(c.survival[i]+c.survival[i+1])/2
	}
	c.mean = c.survivalIntegral[0] + (1+c.survival[0])/2
	for i, h := range horizons {
		c.survivalAtHorizon[i] = c.Survival(h)
	}
	return c
}

// Survival returns the probability that an output is longer than the given number
// of tokens.
func (c *Curve) Survival(tokens float64) float64 { return interpolate(c.survival, 1, tokens) }

// Mean returns the expected length in tokens.
func (c *Curve) Mean() float64 { return c.mean }

// ResidualSurvival returns the probability that a running generation, observed
// at a random time, continues for more than the given number of tokens.
func (c *Curve) ResidualSurvival(tokens float64) float64 {
	return interpolate(c.survivalIntegral, c.mean, tokens) / c.mean
}

// interpolate interpolates linearly between the values at the edges.
func interpolate(values []float64, valueAtZero, tokens float64) float64 {
	if tokens <= 0 {
		return valueAtZero
	}
	if tokens >= maxOutputLength {
		return values[len(values)-1]
	}
	i := bucketOf(int(tokens))
	if bucketEdges[i] < tokens {
		i++
	}
	leftValue, leftEdge := valueAtZero, 0.0
	if i > 0 {
		leftValue, leftEdge = values[i-1], bucketEdges[i-1]
	}
	return leftValue + (values[i]-leftValue)*(tokens-leftEdge)/(bucketEdges[i]-leftEdge)
}

// CurveFromLengths returns the distribution of the given lengths.
func CurveFromLengths(lengths []int) *Curve {
	h := newHistory(historyKey{})
	for _, tokens := range lengths {
		h.observeProgress(0, tokens)
		h.ended[bucketOf(tokens)]++
	}
	h.refresh(uniformHazards(maxOutputLength), 0.01)
	return h.curve
}
