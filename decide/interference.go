package decide

import "time"

// An engine prefills a prompt in chunks between the steps of its running streams, so each
// prompt delays all of them. Streams with long outputs are therefore kept apart from prompts:
// a prompt goes to an engine where it delays few streams, and a stream that has begun moves
// to an engine that gets few prompts. This answers a load of long outputs beside a steady
// arrival of prompts, on engines whose streams hardly slow each other down.

const (
	// prefillDelay is the share of a prompt's prefill time by which each running stream is
	// delayed: an engine alternates between chunks and steps, which take about equally long.
	prefillDelay = 0.5
	// minCalmerGain is the expected time by which a stream must end sooner to be moved. A
	// move uses the links of both engines, and the stream pauses at its end.
	minCalmerGain = 250 * time.Millisecond
	// maxGathered is the share of an engine's memory up to which streams move there. If the
	// engine leaves, they all have to be moved in a second or two.
	maxGathered = 0.75
	// homeGain is the time that a stream's return to this data centre is worth, where a
	// partition between data centres doesn't interrupt it.
	homeGain = 1 * time.Second
)

// interference returns the total expected delay of the streams that run on the engine, if a
// prompt is prefilled there.
func (s *Scheduler) interference(now time.Time, u *upstream, promptTokens int) time.Duration {
	if !s.keepsPromptsApart(u) {
		return 0
	}
	prefill := time.Duration(float64(promptTokens) / s.prefillRate(u) * float64(time.Second))
	step, delayed := u.stepTime(), 0.0
	if step <= 0 {
		return 0
	}
	for _, f := range u.requests {
		if f.tokens == 0 {
			continue
		}
		generated := f.generatedAt(now, step)
		if alive := f.lengths.Survival(generated); alive > 0 {
			delayed += f.lengths.Survival(generated+float64(prefill)/float64(step)) / alive
		}
	}
	return time.Duration(delayed * prefillDelay * float64(prefill))
}

// keepsPromptsApart reports whether the running streams of the engine and their prompts are
// known.
func (s *Scheduler) keepsPromptsApart(u *upstream) bool { return u.CapacityTokens > 0 }

// delayShare returns the expected share of the time by which prompts delay the streams that
// run on the engine.
func (s *Scheduler) delayShare(now time.Time, u *upstream) float64 {
	return min(1, prefillDelay*u.prompts.perSecond(now)/s.prefillRate(u))
}

// calmer returns the candidates to which the running request should move, because prompts
// will delay it less there.
func (s *Scheduler) calmer(now time.Time, f *inFlight, source *upstream, candidates []*upstream) []*upstream {
	if !s.keepsPromptsApart(source) {
		return nil
	}
	step := source.stepTime()
	left := time.Duration(remaining(f.lengths, f.generatedAt(now, step)) * float64(step))
	here := s.delayShare(now, source)
	var best *upstream
	var bestGain time.Duration
	for _, u := range candidates {
		if !s.keepsPromptsApart(u) || !s.isLocal(u) {
			continue
		}
		gain := time.Duration((here-s.delayShare(now, u))*float64(left)) - minCalmerGain
		if !s.isLocal(source) {
			gain += homeGain
		}
		if gain <= bestGain || !s.hasRoomFor(now, f, u) {
			continue
		}
		best, bestGain = u, gain
	}
	if best == nil {
		return nil
	}
	return []*upstream{best}
}

// hasRoomFor reports whether the running request fits on the upstream.
func (s *Scheduler) hasRoomFor(now time.Time, f *inFlight, u *upstream) bool {
	if !u.hasSlot() || u.trafficShare(now) < 1 {
		return false
	}
	var requestForecast forecast
	requestForecast.addRequest(float64(f.PromptTokens), f.generatedAt(now, u.stepTime()), f.lengths)
	u.refresh(now, aggregate{meanTokens: 1}, s.lengths.PoolForecast(f.Class.Pool))
	return u.peakWith(&requestForecast, patientMargin) < maxGathered*u.capacity()
}

// remaining returns the expected number of tokens that a generation still produces.
func remaining(lengths Distribution, generated float64) float64 {
	alive := lengths.Survival(generated)
	if alive <= 0 {
		return 0
	}
	total, from, share := 0.0, 0.0, 1.0
	for _, h := range horizons {
		next := lengths.Survival(generated+h) / alive
		total += (h - from) * (share + next) / 2
		from, share = h, next
	}
	return total
}
