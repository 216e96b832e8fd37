package decide

import (
	"container/list"
	"math"
)

// LengthForecaster forecasts output lengths from observed ones.
type LengthForecaster interface {
	// Forecast returns the distribution of the request's output length.
	Forecast(r Request) Distribution
	// ObserveProgress records that the request's output grew from one length to
	// another.
	ObserveProgress(r Request, from, to int)
	// ObserveEnd records that the output ended by itself at the given length.
	ObserveEnd(r Request, tokens int)
	// PoolForecast returns the distribution over all outputs of a pool.
	PoolForecast(pool string) *Curve
}

// Distribution is the distribution of one output's length.
type Distribution interface {
	// Survival returns the probability that the output is longer than the given
	// number of tokens.
	Survival(tokens float64) float64
	Mean() float64
}

const (
	// historySamples is the effective number of ended outputs in a history. The
	// weight of older outputs decays exponentially.
	historySamples = 2000
	// classWeight is the weight of the class's forecast in a team's forecast, as
	// a number of outputs of the team.
	classWeight = 10
	// priorWeight is the weight of the uniform prior in the forecast of a class
	// or pool, as a number of outputs.
	priorWeight = 2
	// maxTeamHistories is the maximum number of team histories; the least
	// recently used one is evicted.
	maxTeamHistories = 2048
)

// history counts, for each bucket of output lengths, the outputs that ended in
// it and the outputs that grew beyond it. Outputs that are still running count
// in every bucket that they have passed, so a new history isn't biased towards
// short outputs.
type history struct {
	ended, passed []float64
	// hazards and curve are the resulting distribution of output lengths. hazards
	// is nil if there are newer observations.
	hazards []float64
	curve   *Curve
	key     historyKey
}

// historyKey identifies the history of a class, or of a team within a class.
type historyKey struct{ class, team string }

func newHistory(key historyKey) *history {
	return &history{ended: make([]float64, len(bucketEdges)), passed: make([]float64, len(bucketEdges)), key: key}
}

// observeProgress records that an output grew from one length to another, in
// every bucket that it passed.
func (h *history) observeProgress(from, to int) {
	for i := bucketOf(from); i < len(bucketEdges) && bucketEdges[i] < float64(to); i++ {
		if bucketEdges[i] >= float64(from) {
			h.passed[i]++
		}
	}
	h.hazards = nil
}

func (h *history) observeEnd(tokens int) {
	for i := range h.ended {
		h.ended[i] *= 1 - 1.0/historySamples
		h.passed[i] *= 1 - 1.0/historySamples
	}
	h.ended[bucketOf(tokens)]++
	h.hazards = nil
}

// refresh recomputes the hazards if there are new observations. They are
// shrunk towards the parent's hazards: the fewer outputs the history has, the
// closer they are.
func (h *history) refresh(parent []float64, parentWeight float64) {
	if h.hazards != nil {
		return
	}
	h.hazards = make([]float64, len(bucketEdges))
	for i := range h.hazards {
		h.hazards[i] = (h.ended[i] + parentWeight*parent[i]) / (h.ended[i] + h.passed[i] + parentWeight)
	}
	h.curve = newCurve(h.hazards)
}

// learnedLengths is the default LengthForecaster. It keeps a history for each
// class and pool, and one for each team and class that is shrunk towards the
// class.
type learnedLengths struct {
	classes map[string]*history
	pools   map[string]*history
	teams   map[historyKey]*list.Element
	// recent contains the histories of teams, the most recently used first.
	recent *list.List
}

// NewLearnedLengths returns a forecaster that is based on the observed
// outputs.
func NewLearnedLengths() LengthForecaster { return newLearnedLengths() }

func newLearnedLengths() *learnedLengths {
	return &learnedLengths{
		classes: map[string]*history{}, pools: map[string]*history{}, teams: map[historyKey]*list.Element{}, recent: list.New(),
	}
}

// uniformHazards returns the hazards of lengths that are uniform on a logarithmic
// scale up to a limit.
func uniformHazards(limit int) []float64 {
	hazards := make([]float64, len(bucketEdges))
	last := bucketOf(limit)
	for i := range hazards {
		hazards[i] = 1 / float64(max(1, last-i+1))
	}
	return hazards
}

func (l *learnedLengths) class(r Request) *history {
	h, ok := l.classes[r.Class.Name]
	if !ok {
		h = newHistory(historyKey{class: r.Class.Name})
		l.classes[r.Class.Name] = h
	}
	h.refresh(uniformHazards(outputLimit(r)), priorWeight)
	return h
}

// outputLimit returns the maximum output length of the request's class.
func outputLimit(r Request) int {
	if r.Class.MaxOutputTokens > 0 {
		return min(r.Class.MaxOutputTokens, maxOutputLength)
	}
	return maxOutputLength
}

func (l *learnedLengths) team(r Request) *history {
	key := historyKey{r.Class.Name, r.Team}
	if element, ok := l.teams[key]; ok {
		l.recent.MoveToFront(element)
		return element.Value.(*history)
	}
	h := newHistory(key)
	l.teams[key] = l.recent.PushFront(h)
	if l.recent.Len() > maxTeamHistories {
		oldest := l.recent.Remove(l.recent.Back()).(*history)
		delete(l.teams, oldest.key)
	}
	return h
}

func (l *learnedLengths) pool(name string) *history {
	h, ok := l.pools[name]
	if !ok {
		h = newHistory(historyKey{})
		l.pools[name] = h
	}
	return h
}

// Forecast implements LengthForecaster.
func (l *learnedLengths) Forecast(r Request) Distribution {
	class := l.class(r)
	if _, ok := l.teams[historyKey{r.Class.Name, r.Team}]; !ok {
		return class.curve
	}
	team := l.team(r)
	team.refresh(class.hazards, classWeight)
	return team.curve
}

// ObserveProgress implements LengthForecaster.
func (l *learnedLengths) ObserveProgress(r Request, from, to int) {
	for _, h := range []*history{l.class(r), l.team(r), l.pool(r.Class.Pool)} {
		h.observeProgress(from, to)
	}
}

// ObserveEnd implements LengthForecaster.
func (l *learnedLengths) ObserveEnd(r Request, tokens int) {
	for _, h := range []*history{l.class(r), l.team(r), l.pool(r.Class.Pool)} {
		h.observeEnd(tokens)
	}
}

// lengthsOf returns the forecast, truncated at the caller's output limit.
func (s *Scheduler) lengthsOf(r Request) Distribution {
	d := s.lengths.Forecast(r)
	if r.MaxOutputTokens > 0 {
		return truncated{d, float64(r.MaxOutputTokens)}
	}
	return d
}

// truncated is a distribution truncated at a limit.
type truncated struct {
	Distribution
	limit float64
}

// Survival implements Distribution.
func (t truncated) Survival(tokens float64) float64 {
	if tokens >= t.limit {
		return 0
	}
	return t.Distribution.Survival(tokens)
}

// Mean implements Distribution.
func (t truncated) Mean() float64 { return min(t.Distribution.Mean(), t.limit) }

// PoolForecast implements LengthForecaster.
func (l *learnedLengths) PoolForecast(pool string) *Curve {
	h := l.pool(pool)
	h.refresh(poolPrior, priorWeight)
	return h.curve
}

// poolPrior contains the hazards of the prior for a pool's outputs.
var poolPrior = uniformHazards(poolPriorLimit)

// poolPriorLimit is the longest output in the prior, in tokens.
const poolPriorLimit = 1024

// priorityOf converts an expected length to a priority. Requests with shorter
// outputs free their memory sooner, so they are preempted later.
func priorityOf(r Request, mean float64) int {
	return -int(math.Round(priorityPerOctave * math.Log2(float64(r.PromptTokens)+mean)))
}

// priorityPerOctave is the difference in priority between a request and a
// request that is expected to take twice the memory.
const priorityPerOctave = 2
