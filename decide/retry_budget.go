package decide

import (
	"hash/fnv"
	"slices"
	"time"
)

// Repeats are all arrivals of a request at a service beyond its first: further attempts, and
// continuations of moved runs. All instances together may cause a share of the service's
// requests and a slack in each window.
//
// Instances don't tell each other of further attempts. Each has a fixed part of the slack, and
// earns the share with its own requests. Its part holds for a whole window: what
// is full at its start and what is refilled in it add up to the part. So the bound holds in
// any window, also if instances are killed, start with an empty budget and get new callers.
//
// Moves come together where an engine leaves, whose runs may be those of few instances.
// All instances hear of them, so they share most of the slack of a service of engines as a
// whole.

// RetryLimits bound the repeats of a service's requests by all instances together, in any
// window.
type RetryLimits struct {
	// Share is the allowed number of repeats as a share of the service's requests. Slack is
	// the number of repeats that are allowed in addition.
	Share, Slack float64
	Window       time.Duration
}

const (
	// retryUsage is the share of the limits that is used. Requests and their repeats may
	// count in different windows.
	retryUsage = 0.9
	// moveShare is the share of the slack of a service of engines that is for moves, and
	// optionalShare the share of that up to which runs are moved that could stay where they
	// are.
	moveShare, optionalShare = 0.7, 0.4
	// retryBurstShare is the share of an instance's part of the slack that can be spent at
	// once. The rest is refilled over the window.
	retryBurstShare = 0.4
	// retryJoinTime is the time after the start in which the instance doesn't use the slack,
	// because it doesn't know yet how many others share it.
	retryJoinTime = 3 * time.Second
	// firstRepeatTime is the time after the start from which an instance may make one further
	// attempt that it has not earned, so that its first failed request can be served.
	firstRepeatTime = 1 * time.Second
	// fleetMemory is the time for which the largest size of the fleet is remembered at
	// least. Members that can't be reached still spend their parts.
	fleetMemory = time.Minute
)

// The limits of an instance without RetryLimits.
const (
	defaultRetryShare    = 0.1
	defaultRetryCapacity = 20
	defaultRetryInitial  = 5
)

// repeatKind is a kind of repeat.
type repeatKind uint8

const (
	// furtherAttempt is an attempt after one that failed.
	furtherAttempt repeatKind = iota
	// movedRun is the continuation of a run whose upstream leaves.
	movedRun
	// optionalMove is the continuation of a run that could stay where it is.
	optionalMove
	repeatKinds
)

var repeatKindNames = [repeatKinds]string{"further_attempt", "moved_run", "optional_move"}

// RepeatCount counts the repeats of a service since the start.
type RepeatCount struct {
	Pool, Kind       string
	Allowed, Refused uint64
}

// RetryBudget is an instance's budget for a service.
type RetryBudget struct {
	Pool string
	// Available is the number of further attempts that the instance may make now, of at most
	// Capacity, and MovesLeft the number of runs that may be moved.
	Available, Capacity, MovesLeft float64
}

// retryBudgets contains the budgets of all services.
type retryBudgets struct {
	limits RetryLimits
	// limited reports whether limits were set, and startedAt when for the first time.
	limited   bool
	startedAt time.Time
	fleet     peakSize
	// lot is a number in [0, 1) that differs between instances. If there are more of them
	// than repeats, it decides which ones may repeat.
	lot   float64
	pools map[string]*retryBudget
	// movable contains the pools whose runs can be moved.
	movable map[string]bool
}

// retryBudget is the budget of a service.
type retryBudget struct {
	// available is the number of further attempts in the token bucket of this instance.
	available  float64
	refilledAt time.Time
	// hadFirst reports whether the attempt after firstRepeatTime was granted.
	hadFirst bool
	// moves contains the times of the moves by all instances that count in the window.
	moves           []time.Time
	allowed, denied [repeatKinds]uint64
}

func newRetryBudgets() retryBudgets {
	return retryBudgets{pools: map[string]*retryBudget{}, movable: map[string]bool{}, fleet: peakSize{current: 1}}
}

// peakSize is the largest size in the last one or two fleetMemory.
type peakSize struct {
	current, previous int
	rotatedAt         time.Time
}

func (p *peakSize) observe(now time.Time, size int) {
	if now.Sub(p.rotatedAt) >= fleetMemory {
		p.previous, p.current, p.rotatedAt = p.current, 1, now
	}
	p.current = max(p.current, size)
}

func (p *peakSize) size() int { return max(1, p.current, p.previous) }

// instanceLot returns the lot of an instance.
func instanceLot(name string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return float64(hashMix(hash.Sum64())>>11) / (1 << 53)
}

// part returns the number of further attempts that a pool's budget holds, and of those that
// are refilled per second.
func (b *retryBudgets) part(now time.Time, pool string) (capacity, perSecond float64) {
	if !b.limited {
		return defaultRetryCapacity, 0
	}
	part := retryUsage * b.limits.Slack / float64(b.fleet.size())
	if b.movable[pool] {
		part *= 1 - moveShare
	}
	switch {
	case part < 1 && b.lot >= part:
		return 0, 0
	case part < 1:
		return 1, 0
	}
	capacity = max(1, retryBurstShare*part)
	if now.Sub(b.startedAt) >= retryJoinTime {
		perSecond = (part - capacity) / b.limits.Window.Seconds()
	}
	return capacity, perSecond
}

// budget returns the budget of a pool, refilled.
func (b *retryBudgets) budget(now time.Time, pool string) (budget *retryBudget, capacity float64) {
	capacity, perSecond := b.part(now, pool)
	budget, ok := b.pools[pool]
	if !ok {
		budget = &retryBudget{refilledAt: now}
		if !b.limited {
			budget.available = defaultRetryInitial
		}
		b.pools[pool] = budget
	}
	if b.limited && !budget.hadFirst && now.Sub(b.startedAt) >= firstRepeatTime {
		budget.available, budget.hadFirst = max(1, budget.available), true
	}
	budget.available = min(capacity, budget.available+perSecond*now.Sub(budget.refilledAt).Seconds())
	budget.refilledAt = now
	return budget, capacity
}

// deposit adds the share of a new request.
func (b *retryBudgets) deposit(now time.Time, pool string) {
	share := defaultRetryShare
	if b.limited {
		share = retryUsage * b.limits.Share
	}
	budget, capacity := b.budget(now, pool)
	budget.available = min(capacity, budget.available+share)
}

// tryWithdraw takes a further attempt from the budget. It reports whether one was available.
func (b *retryBudgets) tryWithdraw(now time.Time, pool string) bool {
	budget, _ := b.budget(now, pool)
	if budget.available < 1 {
		budget.denied[furtherAttempt]++
		return false
	}
	budget.available--
	budget.allowed[furtherAttempt]++
	return true
}

// countMove counts a move that another instance has announced.
func (b *retryBudgets) countMove(now time.Time, pool string) {
	budget, _ := b.budget(now, pool)
	budget.moves = append(budget.moves, now)
}

// tryMove takes a move from the budget. audience is the share of all instances whose moves
// this one hears of.
func (b *retryBudgets) tryMove(now time.Time, pool string, kind repeatKind, audience float64) bool {
	budget, _ := b.budget(now, pool)
	if left := b.movesLeft(now, budget, kind, audience); b.limited && left < 1 {
		budget.denied[kind]++
		return false
	}
	budget.moves = append(budget.moves, now)
	budget.allowed[kind]++
	return true
}

// movesLeft returns the number of moves that may begin now.
func (b *retryBudgets) movesLeft(now time.Time, budget *retryBudget, kind repeatKind, audience float64) float64 {
	from := now.Add(-b.limits.Window)
	budget.moves = slices.DeleteFunc(budget.moves, func(at time.Time) bool { return !at.After(from) })
	limit := retryUsage * moveShare * b.limits.Slack * audience
	if kind == optionalMove {
		limit *= optionalShare
	}
	// An instance that has just started has not heard of earlier moves.
	limit *= min(1, now.Sub(b.startedAt).Seconds()/b.limits.Window.Seconds())
	return limit - float64(len(budget.moves))
}

// LimitRetries sets the limits of repeats. The instance is named to tell it from others.
func (s *Scheduler) LimitRetries(now time.Time, l RetryLimits, instance string) {
	if !s.retries.limited {
		s.retries.startedAt = now
		// What was earned under the default limits doesn't count.
		clear(s.retries.pools)
	}
	s.retries.limits, s.retries.limited, s.retries.lot = l, true, instanceLot(instance)
}

// audience returns the share of all instances whose moves this one hears of. In a large fleet
// notices stay within a data centre.
func (s *Scheduler) audience() float64 {
	if !s.receivesPeerReports {
		return 1
	}
	return min(1, float64(max(1, s.instancesIn[s.dataCentre]))/float64(s.instances))
}

// RetryBudgets returns the budgets of all services.
func (s *Scheduler) RetryBudgets(now time.Time) (list []RetryBudget) {
	for pool := range s.retries.pools {
		budget, capacity := s.retries.budget(now, pool)
		list = append(list, RetryBudget{pool, budget.available, capacity, max(0, s.retries.movesLeft(now, budget, movedRun, s.audience()))})
	}
	return list
}

// RepeatCounts returns the numbers of repeats of all services by kind.
func (s *Scheduler) RepeatCounts() (list []RepeatCount) {
	for pool, budget := range s.retries.pools {
		for kind, name := range repeatKindNames {
			list = append(list, RepeatCount{pool, name, budget.allowed[kind], budget.denied[kind]})
		}
	}
	return list
}
