package decide

import (
	"container/list"
	"math"
)

// LengthForecaster forecasts the lengths of outputs and learns from those it is shown.
type LengthForecaster interface {
	// Forecast returns the distribution of the request's output.
	Forecast(r Request) Distribution
	// ObserveProgress says that the request's output went on from one length to another.
	ObserveProgress(r Request, from, to int)
	// ObserveEnd says that the output ended by itself at a length.
	ObserveEnd(r Request, tokens int)
	// PoolForecast returns the distribution over all outputs of a pool.
	PoolForecast(pool string) *Curve
}

// Distribution is what is known of one output's length.
type Distribution interface {
	Survival(tokens float64) float64
	Mean() float64
}

const (
	// memoryOutputs is how many ended outputs weigh as much as all before.
	memoryOutputs = 2000
	// shrinkOutputs is how many outputs of a team weigh as much as its class.
	shrinkOutputs = 10
	// priorOutputs is how many outputs of a class weigh as much as knowing
	// nothing but the class's limit.
	priorOutputs = 2
	// maxTeamHistories bounds the histories by team; the least recent go.
	maxTeamHistories = 2048
)

// history counts, bucket by bucket, outputs that ended in it and that went
// past it. Outputs that still run count in all they have passed, so a young
// history isn't biased towards short ones.
type history struct {
	ended, passed []float64
	hazards       []float64
	curve         *Curve
	key           historyKey
}

type historyKey struct{ class, team string }

func newHistory(key historyKey) *history {
	return &history{ended: make([]float64, len(edges)), passed: make([]float64, len(edges)), key: key}
}

// pass counts an output that had from tokens and now has to, and so is longer
// than every edge below that.
func (h *history) pass(from, to int) {
	for i := bucketOf(from); i < len(edges) && edges[i] < float64(to); i++ {
		if edges[i] >= float64(from) {
			h.passed[i]++
		}
	}
	h.hazards = nil
}

func (h *history) end(tokens int) {
	for i := range h.ended {
		h.ended[i] *= 1 - 1.0/memoryOutputs
		h.passed[i] *= 1 - 1.0/memoryOutputs
	}
	h.ended[bucketOf(tokens)]++
	h.hazards = nil
}

// refresh recomputes the hazards, shrunk towards the parent's.
func (h *history) refresh(parent []float64, parentWeight float64) {
	if h.hazards != nil {
		return
	}
	h.hazards = make([]float64, len(edges))
	for i := range h.hazards {
		h.hazards[i] = (h.ended[i] + parentWeight*parent[i]) / (h.ended[i] + h.passed[i] + parentWeight)
	}
	h.curve = newCurve(h.hazards)
}

// learned is the product's Lengths: by class, and by team shrunk towards it.
type learned struct {
	classes map[string]*history
	pools   map[string]*history
	teams   map[historyKey]*list.Element
	recent  *list.List
}

// NewLearnedLengths returns the forecast that learns.
func NewLearnedLengths() LengthForecaster { return newLearned() }

func newLearned() *learned {
	return &learned{
		classes: map[string]*history{}, pools: map[string]*history{}, teams: map[historyKey]*list.Element{}, recent: list.New(),
	}
}

// ignorance returns the hazards of lengths spread evenly over all scales up to
// a limit.
func ignorance(limit int) []float64 {
	hazards := make([]float64, len(edges))
	last := bucketOf(limit)
	for i := range hazards {
		hazards[i] = 1 / float64(max(1, last-i+1))
	}
	return hazards
}

func (l *learned) class(r Request) *history {
	h, ok := l.classes[r.Class.Name]
	if !ok {
		h = newHistory(historyKey{class: r.Class.Name})
		l.classes[r.Class.Name] = h
	}
	h.refresh(ignorance(limitOf(r)), priorOutputs)
	return h
}

func limitOf(r Request) int {
	if r.Class.MaxOutputTokens > 0 {
		return min(r.Class.MaxOutputTokens, longestOutput)
	}
	return longestOutput
}

func (l *learned) team(r Request) *history {
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

func (l *learned) pool(name string) *history {
	h, ok := l.pools[name]
	if !ok {
		h = newHistory(historyKey{})
		l.pools[name] = h
	}
	return h
}

// Forecast implements Lengths.
func (l *learned) Forecast(r Request) Distribution {
	class := l.class(r)
	if _, ok := l.teams[historyKey{r.Class.Name, r.Team}]; !ok {
		return class.curve
	}
	team := l.team(r)
	team.refresh(class.hazards, shrinkOutputs)
	return team.curve
}

// ObserveProgress implements Lengths.
func (l *learned) ObserveProgress(r Request, from, to int) {
	for _, h := range []*history{l.class(r), l.team(r), l.pool(r.Class.Pool)} {
		h.pass(from, to)
	}
}

// ObserveEnd implements Lengths.
func (l *learned) ObserveEnd(r Request, tokens int) {
	for _, h := range []*history{l.class(r), l.team(r), l.pool(r.Class.Pool)} {
		h.end(tokens)
	}
}

// lengthsOf returns the forecast within the bound that the caller gave.
func (s *Scheduler) lengthsOf(r Request) Distribution {
	d := s.lengths.Forecast(r)
	if r.MaxOutputTokens > 0 {
		return bounded{d, float64(r.MaxOutputTokens)}
	}
	return d
}

// bounded is a distribution of lengths that never go beyond a bound.
type bounded struct {
	Distribution
	most float64
}

// Survival implements Distribution.
func (b bounded) Survival(tokens float64) float64 {
	if tokens >= b.most {
		return 0
	}
	return b.Distribution.Survival(tokens)
}

// Mean implements Distribution.
func (b bounded) Mean() float64 { return min(b.Distribution.Mean(), b.most) }

// PoolForecast implements Lengths.
func (l *learned) PoolForecast(pool string) *Curve {
	h := l.pool(pool)
	h.refresh(unknownPool, priorOutputs)
	return h.curve
}

// unknownPool is what is assumed of a pool's outputs before any was seen.
var unknownPool = ignorance(unknownLimit)

const unknownLimit = 1024

// priorityOf turns an expected length into a priority: shorter outputs give
// their memory back sooner, so they are preempted later.
func priorityOf(r Request, mean float64) int {
	return -int(math.Round(priorityPerOctave * math.Log2(float64(r.PromptTokens)+mean)))
}

// priorityPerOctave is how many priorities lie between a request and one that
// is expected to take twice the memory.
const priorityPerOctave = 2
