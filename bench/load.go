package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// arrival is one request of the load and the time at which it is sent.
type arrival struct {
	after        time.Duration
	entry        int
	team         TeamLoad
	class        ClassLoad
	promptTokens int
	outputTokens int
}

// arrivals generates the whole load from the seed alone, so that every policy gets
// the same requests at the same times at the same instances.
func (s Scenario) arrivals(seed uint64) []arrival {
	source := rand.NewPCG(seed, 1)
	random := rand.New(source)
	interarrival := distuv.Exponential{Rate: s.RatePerSecond, Src: source}
	teams, classes := make([]float64, len(s.Teams)), make([]float64, len(s.Classes))
	for i, t := range s.Teams {
		teams[i] = t.Share
	}
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	pickTeam, pickClass := distuv.NewCategorical(teams, source), distuv.NewCategorical(classes, source)
	used := map[lengthKey]bool{}
	var all []arrival
	for at := interarrival.Rand(); at < s.DurationSeconds; at += interarrival.Rand() {
		a := arrival{
			after: time.Duration(at * float64(time.Second)), entry: random.IntN(s.Fleet.Entries),
			team: s.Teams[int(pickTeam.Rand())], class: s.Classes[int(pickClass.Rand())],
		}
		a.promptTokens = max(minPromptTokens, a.class.Prompt.draw(source))
		a.outputTokens = a.class.Output.draw(source)
		// The policy known_lengths looks up the true output length by this key.
		for used[a.key()] {
			a.promptTokens++
		}
		used[a.key()] = true
		all = append(all, a)
	}
	return all
}

func (l LengthDistribution) draw(source rand.Source) int {
	length := distuv.LogNormal{Mu: math.Log(l.Median), Sigma: l.Sigma, Src: source}.Rand()
	return min(max(1, int(math.Round(length))), l.Max)
}

// lengthKey holds what an instance knows about a request before it runs.
type lengthKey struct {
	team, class  string
	promptTokens int
}

func (a arrival) key() lengthKey { return lengthKey{a.team.Name, a.class.Name, a.promptTokens} }

const (
	promptBytesPerToken = 4
	// minPromptTokens leaves room for the hint that sets the output length on the
	// simulated engine.
	minPromptTokens = 12
	// sharedPromptTokens is the length of the prefix that all prompts of a team share.
	sharedPromptTokens = 64
)

// prompt returns a text whose length entry instances and engines estimate as
// promptTokens tokens.
func (a arrival) prompt() string {
	hint := fmt.Sprintf(" output_tokens=%d", a.outputTokens)
	size := (a.promptTokens-1)*promptBytesPerToken - len(hint)
	shared := min(size, sharedPromptTokens*promptBytesPerToken)
	unique := fmt.Sprintf("%v ", a.after)
	text := strings.Repeat(a.team.Name+" ", shared)[:shared] + unique + strings.Repeat("x", max(0, size))
	return text[:size] + hint
}

// sample is the outcome of one request as its caller saw it. Times are relative to
// the arrival.
type sample struct {
	arrival
	// first and last are the times of the first and the last token; gaps are
	// the times between tokens.
	first, last time.Duration
	gaps        []time.Duration
	completed   bool
	// refused is set if the last response was a refusal without any token.
	refused          bool
	failure          string
	attempts         int
	generationStarts int
}

// stall returns how long the caller waited beyond the class's targets: for the
// first token beyond the target for the wait, and between tokens beyond the target
// for the pace. A target of zero means none, and causes no stall.
func (s sample) stall() time.Duration {
	var stall time.Duration
	if wait := time.Duration(s.class.WaitMS) * time.Millisecond; wait > 0 {
		stall += max(0, s.first-wait)
	}
	if pace := time.Duration(s.class.PaceMS) * time.Millisecond; pace > 0 {
		for _, gap := range s.gaps {
			stall += max(0, gap-pace)
		}
	}
	return stall
}

// targetMet reports whether the whole output arrived, with the first token within
// the target for the wait and the others within that for the pace on average.
func (s sample) targetMet() bool {
	if !s.completed {
		return false
	}
	wait, pace := time.Duration(s.class.WaitMS)*time.Millisecond, time.Duration(s.class.PaceMS)*time.Millisecond
	waitMet := wait == 0 || s.first <= wait
	paceMet := pace == 0 || len(s.gaps) == 0 || (s.last-s.first)/time.Duration(len(s.gaps)) <= pace
	return waitMet && paceMet
}

// runLoad runs the arrivals against the fleet as an open loop: each is sent at its
// time, even if earlier ones are unfinished. It returns the samples, which are
// incomplete for requests unfinished when ctx ends.
func runLoad(ctx context.Context, f *Fleet, s Scenario, all []arrival) []sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	samples := make([]sample, len(all))
	start := time.Now()
	var group sync.WaitGroup
	for i, a := range all {
		group.Go(func() {
			if pause(ctx, time.Until(start.Add(a.after))) {
				samples[i] = a.send(ctx, client, f, start.Add(a.after), s.MaxCallerRetries)
			}
		})
	}
	group.Wait()
	return samples
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send sends the request, and after a refusal again, until it is answered or lost
// or there have been maxRetries retries.
func (a arrival) send(ctx context.Context, client *http.Client, f *Fleet, arrived time.Time, maxRetries int) sample {
	s := sample{arrival: a}
	for {
		s.attempts++
		r := &Reader{Credential: a.team.credential()}
		r.OnToken = func() error {
			now := time.Since(arrived)
			if len(r.Texts) == 1 {
				s.first = now
			} else {
				s.gaps = append(s.gaps, now-s.last)
			}
			s.last = now
			return nil
		}
		err := r.Begin(ctx, client, f.Entries[a.entry].Addr, a.class.Name, a.prompt())
		if err == nil && r.Done {
			err = r.verify(a.outputTokens)
			s.completed = err == nil
		}
		s.generationStarts = countStarts(r.Texts)
		s.refused = err == nil && r.refused
		s.failure = r.Failure
		if err != nil {
			s.failure = err.Error()
		}
		if !s.refused || s.attempts > maxRetries || !pause(ctx, r.RetryAfter) {
			return s
		}
	}
}

// countStarts returns how often the generation was started, according to the
// number at the end of its name.
func countStarts(texts []string) int {
	if len(texts) == 0 {
		return 1
	}
	name, _, _ := strings.Cut(texts[0], "/")
	var number int
	if _, err := fmt.Sscanf(name[strings.LastIndexByte(name, '.')+1:], "%d", &number); err != nil {
		return 1
	}
	return number + 1
}

// smallestTeam returns the name of the team with the smallest share of the load.
func smallestTeam(s Scenario) string {
	return slices.MinFunc(s.Teams, func(a, b TeamLoad) int { return int(math.Copysign(1, a.Share-b.Share)) }).Name
}
