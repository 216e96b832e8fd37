package standin

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ModelSettings are the parameters of a simulated engine.
type ModelSettings struct {
	// StepTime is the duration of an iteration without work. Each generated token
	// adds StepPerSequence to it, and each prefilled token PrefillPerToken.
	StepTime, StepPerSequence, PrefillPerToken time.Duration
	// PrefillTokens is the maximum number of tokens prefilled in one iteration.
	PrefillTokens int
	// MaxBatch is the maximum number of generations that run concurrently.
	MaxBatch int
	// Blocks is the size of the KV cache, in blocks of BlockTokens tokens.
	Blocks, BlockTokens int
	// CacheBlocks is the capacity of the prefix cache, which is separate from the
	// KV cache.
	CacheBlocks int
	// ReportLag is the delay after which a load report is published, EventLag the
	// delay of a cache event.
	ReportLag, EventLag time.Duration
	// EventLoss is the proportion of cache events that are never published.
	EventLoss float64
	// Seed determines which cache events are lost.
	Seed uint64
}

// Load is an engine's load report. UsedTokens and CapacityTokens refer to the KV
// cache.
type Load struct {
	TakenAt                    time.Time
	Running, Waiting           int
	UsedTokens, CapacityTokens int
	StepTime                   time.Duration
	Preemptions                uint64
}

// GenerationRequest is a request to start a generation.
type GenerationRequest struct {
	// Generation is the id of the generation.
	Generation   string
	PromptTokens int
	// PrefixHashes are the hashes of the prompt's leading complete blocks. Each covers
	// its block and all previous ones.
	PrefixHashes []uint64
	// OutputTokens is the number of tokens to generate.
	OutputTokens int
	// Priority determines the order of preemption: the lowest first.
	Priority int
}

// Model simulates an engine with continuous batching. Its state depends only on
// its requests and the times at which it is stepped. It isn't safe for concurrent
// use.
//
// An iteration generates a token for every running generation whose tokens are all
// in the KV cache, and prefills the others. KV cache blocks are allocated as
// generations grow. When no block is free, the running generation with the lowest
// priority, and among equals the latest, is preempted: its blocks are freed, it is
// queued again, and its tokens are prefilled again before the next one is generated.
type Model struct {
	settings     ModelSettings
	generations  map[string]*sequence
	running      []*sequence
	waiting      []*sequence
	freeBlocks   int
	cache        *prefixCache
	preemptions  uint64
	requestCount uint64
	// step is the duration of the current iteration.
	step time.Duration
	// reports contains the latest published load report and all later ones.
	reports []Load
}

// sequence is the state of a generation.
type sequence struct {
	GenerationRequest
	// arrival is the number of the request in the order of arrival.
	arrival   uint64
	generated int
	// computed counts the tokens of the prompt and the output that are in the KV
	// cache.
	computed int
	// blocks is the number of allocated KV cache blocks.
	blocks int
	// prefill is the number of tokens that the current iteration adds to computed.
	prefill int
	// finish is the finish reason, or empty while the generation is unfinished.
	finish string
	// removeAt is the time after which a finished generation is removed.
	removeAt time.Time
}

// NewModel returns an idle engine.
func NewModel(settings ModelSettings) *Model {
	return &Model{
		settings: settings, generations: map[string]*sequence{}, freeBlocks: settings.Blocks, step: settings.StepTime,
		cache: newPrefixCache(settings, rand.New(rand.NewPCG(settings.Seed, 0))),
	}
}

// Start queues a generation. If the model already has the generation, the request has
// no effect.
func (m *Model) Start(request GenerationRequest) {
	if _, ok := m.generations[request.Generation]; ok {
		return
	}
	m.requestCount++
	s := &sequence{GenerationRequest: request, arrival: m.requestCount}
	m.generations[request.Generation] = s
	m.waiting = append(m.waiting, s)
}

// Cancel removes a generation.
func (m *Model) Cancel(generation string) {
	if s, ok := m.generations[generation]; ok {
		m.release(s)
		delete(m.generations, generation)
	}
}

// Progress returns the number of generated tokens and the finish reason, which is
// empty while the generation is unfinished. It returns ok = false if the model doesn't
// have the generation.
func (m *Model) Progress(generation string) (generated int, finish string, ok bool) {
	s, ok := m.generations[generation]
	if !ok {
		return 0, "", false
	}
	return s.generated, s.finish, true
}

// Step ends the iteration that the previous call began, begins the next iteration
// and returns its duration.
func (m *Model) Step(now time.Time) time.Duration {
	m.endIteration(now)
	for id, s := range m.generations {
		if s.finish != "" && now.After(s.removeAt) {
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

// endIteration applies the results of the current iteration.
func (m *Model) endIteration(now time.Time) {
	for _, s := range slices.Clone(m.running) {
		total := s.PromptTokens + s.generated
		if s.computed < total {
			s.computed += s.prefill
			if s.computed < total {
				continue
			}
			m.cache.store(now, s.PrefixHashes)
		}
		s.generated++
		s.computed++
		if s.generated >= s.OutputTokens {
			m.finishSequence(now, s, "stop")
		}
	}
}

func (m *Model) finishSequence(now time.Time, s *sequence, finish string) {
	m.release(s)
	s.finish, s.removeAt = finish, now.Add(finishedRetention)
}

// release frees the KV cache blocks of a sequence and removes it from the batch and
// the queue.
func (m *Model) release(s *sequence) {
	m.freeBlocks += s.blocks
	s.blocks, s.computed, s.prefill = 0, 0, 0
	same := func(other *sequence) bool { return other == s }
	m.running = slices.DeleteFunc(m.running, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
}

// blocksFor returns the number of blocks for the sequence's tokens and the next one.
func (m *Model) blocksFor(s *sequence) int {
	tokens := s.PromptTokens + s.generated + 1
	return (tokens + m.settings.BlockTokens - 1) / m.settings.BlockTokens
}

// growRunning allocates the blocks for the next token of every running sequence. It
// reports whether there were enough free blocks, so that no sequence was preempted.
func (m *Model) growRunning(now time.Time) bool {
	sufficient := true
	for _, s := range slices.Clone(m.running) {
		for slices.Contains(m.running, s) && m.blocksFor(s) > s.blocks {
			if m.freeBlocks > 0 {
				m.freeBlocks--
				s.blocks++
				continue
			}
			sufficient = false
			if len(m.running) == 1 {
				m.finishSequence(now, s, "length") // It is larger than the KV cache.
				break
			}
			m.preempt(slices.MinFunc(m.running, comparePreemption))
		}
	}
	return sufficient
}

// comparePreemption defines the order of preemption: the lowest priority first, and
// among equals the latest arrival.
func comparePreemption(a, b *sequence) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return int(b.arrival) - int(a.arrival)
}

func (m *Model) preempt(s *sequence) {
	m.release(s)
	m.preemptions++
	m.waiting = append(m.waiting, s)
}

// admitWaiting adds waiting sequences to the batch, the highest priority first,
// while there are free blocks for all their tokens.
func (m *Model) admitWaiting(now time.Time) {
	slices.SortFunc(m.waiting, func(a, b *sequence) int { return comparePreemption(b, a) })
	for len(m.waiting) > 0 && len(m.running) < m.settings.MaxBatch {
		s := m.waiting[0]
		need := m.blocksFor(s)
		if need > m.settings.Blocks {
			m.finishSequence(now, s, "length")
			continue
		}
		if need > m.freeBlocks {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
		m.freeBlocks -= need
		s.blocks = need
		// The last token of a prompt is always prefilled, even if it is cached, because
		// the first output token is computed from it.
		s.computed = min(m.cache.cachedBlocks(s.PrefixHashes)*m.settings.BlockTokens, s.PromptTokens-1)
	}
}

// beginIteration divides the prefill budget among the running sequences and
// returns the iteration's duration.
func (m *Model) beginIteration() time.Duration {
	budget, decoding := m.settings.PrefillTokens, 0
	for _, s := range m.running {
		missing := s.PromptTokens + s.generated - s.computed
		s.prefill = min(missing, budget)
		budget -= s.prefill
		if s.prefill == missing {
			decoding++
		}
	}
	prefilled := m.settings.PrefillTokens - budget
	return m.settings.StepTime + time.Duration(decoding)*m.settings.StepPerSequence + time.Duration(prefilled)*m.settings.PrefillPerToken
}

// report adds a load report.
func (m *Model) report(now time.Time) {
	m.reports = append(m.reports, Load{
		TakenAt: now, Running: len(m.running), Waiting: len(m.waiting),
		UsedTokens:     (m.settings.Blocks - m.freeBlocks) * m.settings.BlockTokens,
		CapacityTokens: m.settings.Blocks * m.settings.BlockTokens,
		StepTime:       m.step, Preemptions: m.preemptions,
	})
	// Of the reports that are published, only the latest is kept.
	for len(m.reports) > 1 && !m.reports[1].TakenAt.After(now.Add(-m.settings.ReportLag)) {
		m.reports = m.reports[1:]
	}
}

// Load returns the latest report that is at least ReportLag old, or the oldest report
// if there is none of that age.
func (m *Model) Load(now time.Time) Load {
	latest := Load{TakenAt: now, CapacityTokens: m.settings.Blocks * m.settings.BlockTokens, StepTime: m.settings.StepTime}
	for i, r := range m.reports {
		if i == 0 || !r.TakenAt.After(now.Add(-m.settings.ReportLag)) {
			latest = r
		}
	}
	return latest
}

// CacheEvents returns the published events with sequence numbers above after.
func (m *Model) CacheEvents(now time.Time, after uint64) []CacheEvent {
	return m.cache.publishedEvents(now.Add(-m.settings.EventLag), after)
}
