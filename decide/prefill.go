package decide

import (
	"math"
	"time"
)

// unread returns how many prompt tokens an engine has yet to read. It reads
// prompts one after the other, between the tokens of what runs there, so a
// prompt that comes behind some others waits for all of them: on a crowded
// engine that, and not memory, decides when a stream begins.
//
// Whoever placed a stream tells when it began, so what has not begun is what is
// unread. Where only others' word on the load is known, their count holds, and
// what was sent since.
func (u *upstream) unread(now time.Time) float64 {
	since := time.Time{}
	tokens := 0.0
	if u.reported(now) {
		since, tokens = u.report.TakenAt, float64(u.report.PendingPrefillTokens)
	}
	for _, f := range u.flights {
		if f.tokens == 0 && now.Before(f.beginsBy) && f.sentAt.After(since) {
			tokens += float64(f.PromptTokens)
		}
	}
	return tokens
}

// The word that a stream began may be lost, so it is taken to have begun after
// so many times the time that its engine should need, and a little more.
const (
	beginFactor = 3
	beginMargin = 1 * time.Second
)

// expectBegin notes how much the flight's engine has to read until it begins.
func (s *Scheduler) expectBegin(now time.Time, u *upstream, f *flight) {
	f.readBy = u.unread(now) + float64(f.PromptTokens)
	expected := time.Duration(f.readBy / s.pool(u.Pool).reading.get() * float64(time.Second))
	f.beginsBy = now.Add(beginFactor*expected + beginMargin)
}

// readingSpeed learns how many prompt tokens an engine of a pool reads in a
// second while it serves others.
type readingSpeed struct{ perSecond float64 }

const (
	// startReading is assumed until streams have begun. Too low a speed only
	// spreads the first prompts more evenly.
	startReading = 5000
	// readingMemory is how many beginnings weigh as much as all before.
	readingMemory = 30
	minReading    = 500
	maxReading    = 200_000
)

func (s *readingSpeed) get() float64 {
	if s.perSecond == 0 {
		return startReading
	}
	return s.perSecond
}

// observe takes the time in which an engine read so many tokens.
func (s *readingSpeed) observe(tokens float64, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	seen := min(maxReading, max(minReading, tokens/took.Seconds()))
	s.perSecond = s.get() + (seen-s.get())/readingMemory
}

const (
	// farCost is how much later a stream may begin in the own data centre than
	// in another and still be placed there: there it outlives a partition.
	farCost = 400 * time.Millisecond
	// crowdCost is added for an engine whose memory is full, and nothing for one
	// that is half full: what runs there is at risk of preemption, and a
	// crowded engine can't be left in time when it is reclaimed.
	crowdCost = 800 * time.Millisecond
	// tieCost spreads the streams that several instances place at once.
	tieCost = 30 * time.Millisecond
	// returningPenalty is added while an engine returns from an ejection, in
	// proportion to the share that is kept from it.
	returningPenalty = 3 * time.Second
)

// maxReadingTime is how long an engine may have to read before it gets more. What
// would wait there waits here instead, in the order of all, for the first
// engine that can take it, and can still be told at once when it can't be in
// time.
const maxReadingTime = 400 * time.Millisecond

// busyReading reports whether an engine has enough to read.
func (s *Scheduler) busyReading(now time.Time, u *upstream) bool {
	reading := s.pool(u.Pool).reading.get()
	return u.CapacityTokens > 0 && u.unread(now) > reading*maxReadingTime.Seconds()
}

// farChance is the chance per look that a waiting stream takes an engine of
// another data centre of which only reports are known: every instance there is
// sees the same report, and all would send to the engine that has just become
// free.
const farChance = 0.1

// blindly reports whether the engine is known by reports only and this look
// should not be at it: it has no report, something to read, or the lot is
// against it.
func (s *Scheduler) blindly(now time.Time, w *waiting, u *upstream) bool {
	if !s.reportsFar || u.DataCentre == s.dataCentre {
		return false
	}
	return !u.reported(now) || u.unread(now) > 0 || lot(w.ID, u.hash+w.looks) > farChance
}

// startCost weighs an engine with so much memory left free against others: the
// time to the stream's first token, and what else speaks against it, in time.
func (s *Scheduler) startCost(now time.Time, w *waiting, u *upstream, free float64) time.Duration {
	reading := s.pool(u.Pool).reading.get()
	cost := time.Duration((u.unread(now) + float64(w.PromptTokens)) / reading * float64(time.Second))
	if u.DataCentre != s.dataCentre {
		cost += farCost
	}
	full := 1 - free/u.capacity()
	cost += time.Duration(math.Max(0, 2*full-1) * float64(crowdCost))
	cost += time.Duration((1 - u.health.share(now)) * float64(returningPenalty))
	return cost + time.Duration(lot(w.ID, u.hash)*float64(tieCost))
}

// cheapest keeps the engine that costs least.
type cheapest struct {
	best *upstream
	cost time.Duration
}

func (c *cheapest) offer(u *upstream, cost time.Duration) {
	if c.best == nil || cost < c.cost {
		c.best, c.cost = u, cost
	}
}
