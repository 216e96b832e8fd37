package standin

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ModelSettings are an engine's constants.
type ModelSettings struct {
	// StepTime is the duration of an iteration without work. Each generation
	// that makes a token adds StepPerSequence, each prefilled token
	// PrefillPerToken.
	StepTime, StepPerSequence, PrefillPerToken time.Duration
	// PrefillTokens bounds the tokens prefilled in one iteration.
	PrefillTokens int
	// MaxBatch bounds the generations that run at once.
	MaxBatch int
	// Blocks is the key-value memory, in blocks of BlockTokens tokens.
	Blocks, BlockTokens int
	// CacheBlocks is the memory of the prefix cache, beside the key-value memory.
	CacheBlocks int
	// ReportLag is the age of a load report, EventLag that of a cache event.
	ReportLag, EventLag time.Duration
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
	// Seed decides which events are lost.
	Seed uint64
}

// Load is what an engine reports of itself.
type Load struct {
	TakenAt                    time.Time
	Running, Waiting           int
	UsedTokens, CapacityTokens int
	StepTime                   time.Duration
	Preemptions                uint64
}

// GenerationRequest asks for a generation.
type GenerationRequest struct {
	Generation string
	// PromptTokens is the prompt's length and Prefix the hashes of its leading
	// whole blocks, each over all before it.
	PromptTokens int
	PrefixHashes []uint64
	// OutputTokens is the number of tokens that the generation will have.
	OutputTokens int
	// Priority is larger for generations that are preempted later.
	Priority int
}

// Model is an engine with continuous batching: a pure function of its orders
// and the times it is stepped at. It belongs to one goroutine.
//
// An iteration gives a token to every running generation whose key-value
// memory is filled, and prefills others. Memory is taken block by block as
// generations grow. When none is free, the running generation with the lowest
// priority, and of those the latest, loses its memory and waits; its tokens
// are prefilled again before the next one is made.
type Model struct {
	settings    ModelSettings
	generations map[string]*sequence
	running     []*sequence
	waiting     []*sequence
	freeBlocks  int
	cache       *prefixCache
	preemptions uint64
	orders      uint64
	step        time.Duration
	reports     []Load
}

type sequence struct {
	GenerationRequest
	order uint64
	made  int
	// computed counts the tokens in memory, of prompt+made when all are.
	computed int
	blocks   int
	// prefill is how many tokens the current iteration adds to computed.
	prefill  int
	finish   string
	forgetAt time.Time
}

// NewModel returns an idle engine.
func NewModel(settings ModelSettings) *Model {
	return &Model{
		settings: settings, generations: map[string]*sequence{}, freeBlocks: settings.Blocks, step: settings.StepTime,
		cache: newPrefixCache(settings, rand.New(rand.NewPCG(settings.Seed, 0))),
	}
}

// Start takes an order. One that repeats another's generation has no effect.
func (m *Model) Start(o GenerationRequest) {
	if _, ok := m.generations[o.Generation]; ok {
		return
	}
	m.orders++
	s := &sequence{GenerationRequest: o, order: m.orders}
	m.generations[o.Generation] = s
	m.waiting = append(m.waiting, s)
}

// Cancel forgets a generation.
func (m *Model) Cancel(generation string) {
	if s, ok := m.generations[generation]; ok {
		m.release(s)
		delete(m.generations, generation)
	}
}

// Progress returns how many tokens the generation has, and why it ended.
func (m *Model) Progress(generation string) (made int, finish string, ok bool) {
	s, ok := m.generations[generation]
	if !ok {
		return 0, "", false
	}
	return s.made, s.finish, true
}

// Step ends the iteration that the last Step began and begins the next, whose
// duration it returns.
func (m *Model) Step(now time.Time) time.Duration {
	m.endIteration(now)
	for id, s := range m.generations {
		if s.finish != "" && now.After(s.forgetAt) {
			delete(m.generations, id)
		}
	}
	if m.growRunning(now) {
		m.admitWaiting(now)
	}
	m.step = m.beginIteration()
	m.report(now)
	return m.step
}

func (m *Model) endIteration(now time.Time) {
	for _, s := range slices.Clone(m.running) {
		whole := s.PromptTokens + s.made
		if s.computed < whole {
			s.computed += s.prefill
			if s.computed < whole {
				continue
			}
			m.cache.store(now, s.PrefixHashes)
		}
		s.made++
		s.computed++
		if s.made >= s.OutputTokens {
			m.end(now, s, "stop")
		}
	}
}

func (m *Model) end(now time.Time, s *sequence, finish string) {
	m.release(s)
	s.finish, s.forgetAt = finish, now.Add(keepFinished)
}

// release takes a sequence's memory and its place.
func (m *Model) release(s *sequence) {
	m.freeBlocks += s.blocks
	s.blocks, s.computed, s.prefill = 0, 0, 0
	same := func(other *sequence) bool { return other == s }
	m.running = slices.DeleteFunc(m.running, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
}

func (m *Model) blocksFor(s *sequence) int {
	tokens := s.PromptTokens + s.made + 1
	return (tokens + m.settings.BlockTokens - 1) / m.settings.BlockTokens
}

// growRunning gives every running sequence the memory for its next token. It
// reports false when a sequence had to be preempted for it.
func (m *Model) growRunning(now time.Time) bool {
	calm := true
	for _, s := range slices.Clone(m.running) {
		for slices.Contains(m.running, s) && m.blocksFor(s) > s.blocks {
			if m.freeBlocks > 0 {
				m.freeBlocks--
				s.blocks++
				continue
			}
			calm = false
			if len(m.running) == 1 {
				m.end(now, s, "length") // The whole memory doesn't hold it.
				break
			}
			m.preempt(slices.MinFunc(m.running, preemptedFirst))
		}
	}
	return calm
}

func preemptedFirst(a, b *sequence) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return int(b.order) - int(a.order)
}

func (m *Model) preempt(s *sequence) {
	m.release(s)
	m.preemptions++
	m.waiting = append(m.waiting, s)
}

// admitWaiting runs waiting sequences, the most important first, while there
// is memory for what they have.
func (m *Model) admitWaiting(now time.Time) {
	slices.SortFunc(m.waiting, func(a, b *sequence) int { return preemptedFirst(b, a) })
	for len(m.waiting) > 0 && len(m.running) < m.settings.MaxBatch {
		s := m.waiting[0]
		need := m.blocksFor(s)
		if need > m.settings.Blocks {
			m.end(now, s, "length")
			continue
		}
		if need > m.freeBlocks {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
		m.freeBlocks -= need
		s.blocks = need
		// The last token of a prompt is always computed, to make the next.
		s.computed = min(m.cache.lookUp(s.PrefixHashes)*m.settings.BlockTokens, s.PromptTokens-1)
	}
}

// beginIteration shares out the prefill and returns the iteration's duration.
func (m *Model) beginIteration() time.Duration {
	budget, making := m.settings.PrefillTokens, 0
	for _, s := range m.running {
		missing := s.PromptTokens + s.made - s.computed
		s.prefill = min(missing, budget)
		budget -= s.prefill
		if s.prefill == missing {
			making++
		}
	}
	prefilled := m.settings.PrefillTokens - budget
	return m.settings.StepTime + time.Duration(making)*m.settings.StepPerSequence + time.Duration(prefilled)*m.settings.PrefillPerToken
}

func (m *Model) report(now time.Time) {
	m.reports = append(m.reports, Load{
		TakenAt: now, Running: len(m.running), Waiting: len(m.waiting),
		UsedTokens:     (m.settings.Blocks - m.freeBlocks) * m.settings.BlockTokens,
		CapacityTokens: m.settings.Blocks * m.settings.BlockTokens,
		StepTime:       m.step, Preemptions: m.preemptions,
	})
	// All but the latest report that is old enough can go.
	for len(m.reports) > 1 && !m.reports[1].TakenAt.After(now.Add(-m.settings.ReportLag)) {
		m.reports = m.reports[1:]
	}
}

// Load returns the latest report that is old enough.
func (m *Model) Load(now time.Time) Load {
	best := Load{TakenAt: now, CapacityTokens: m.settings.Blocks * m.settings.BlockTokens, StepTime: m.settings.StepTime}
	for i, r := range m.reports {
		if i == 0 || !r.TakenAt.After(now.Add(-m.settings.ReportLag)) {
			best = r
		}
	}
	return best
}

// CacheEvents returns the published events with sequence numbers above after.
func (m *Model) CacheEvents(now time.Time, after uint64) []CacheEvent {
	return m.cache.published(now.Add(-m.settings.EventLag), after)
}
