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

// arrival is one request of the load.
type arrival struct {
	// after is the time from the start of the load to the request.
	after time.Duration
	// entry is the index of the entry instance that gets the request.
	entry        int
	team         TeamLoad
	class        ClassLoad
	promptTokens int
	outputTokens int
}

// arrivals generates the whole load from the seed alone, so that under every policy
// the same instances get the same requests at the same times.
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
		// The policy known_lengths looks up the true output length by the key, which
		// must be unique.
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

// lengthKey contains the properties of a request by which an entry instance looks
// up its true output length before the request runs.
type lengthKey struct {
	team, class  string
	promptTokens int
}

func (a arrival) key() lengthKey { return lengthKey{a.team.Name, a.class.Name, a.promptTokens} }

const (
	promptBytesPerToken = 4
	// minPromptTokens is enough for the hint that sets the output length on the
	// simulated engine.
	minPromptTokens = 12
	// sharedPromptTokens is the length of the prefix that all prompts of a team share.
	sharedPromptTokens = 64
)

// prompt returns a prompt whose length entry instances and engines estimate as
// promptTokens tokens. It ends with the hint that sets the output length.
func (a arrival) prompt() string {
	hint := fmt.Sprintf(" output_tokens=%d", a.outputTokens)
	size := (a.promptTokens-1)*promptBytesPerToken - len(hint)
	shared := min(size, sharedPromptTokens*promptBytesPerToken)
	unique := fmt.Sprintf("%v ", a.after)
	text := strings.Repeat(a.team.Name+" ", shared)[:shared] + unique + strings.Repeat("x", max(0, size))
	return text[:size] + hint
}

// sample is the outcome of one request as its caller observed it. Times are
// relative to the arrival.
type sample struct {
	arrival
	// firstToken and lastToken are the times of the first and the last token.
	firstToken, lastToken time.Duration
	// gaps are the times between consecutive tokens.
	gaps      []time.Duration
	completed bool
	// refused reports whether the last response was a refusal instead of a stream.
	refused bool
	failure string
	// attempts counts the requests that the caller sent.
	attempts int
	// generationStarts counts the executions of the generation on engines.
	generationStarts int
}

// stall returns the caller's waiting time beyond the targets of the class. The
// target WaitMS applies to the first token, and PaceMS to each gap between tokens.
// A target of zero means that there is none.
func (s sample) stall() time.Duration {
	var stall time.Duration
	if wait := time.Duration(s.class.WaitMS) * time.Millisecond; wait > 0 {
		stall += max(0, s.firstToken-wait)
	}
	if pace := time.Duration(s.class.PaceMS) * time.Millisecond; pace > 0 {
		for _, gap := range s.gaps {
			stall += max(0, gap-pace)
		}
	}
	return stall
}

// targetMet reports whether the whole output arrived with the first token within
// WaitMS and an average gap between tokens within PaceMS.
func (s sample) targetMet() bool {
	if !s.completed {
		return false
	}
	wait, pace := time.Duration(s.class.WaitMS)*time.Millisecond, time.Duration(s.class.PaceMS)*time.Millisecond
	waitMet := wait == 0 || s.firstToken <= wait
	paceMet := pace == 0 || len(s.gaps) == 0 || (s.lastToken-s.firstToken)/time.Duration(len(s.gaps)) <= pace
	return waitMet && paceMet
}

// runLoad sends the arrivals to the fleet as an open loop: each at its time, even
// if earlier requests are unfinished. If ctx ends first, the samples of unfinished
// requests are incomplete.
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

// send sends the request, with up to maxRetries retries after refusals.
func (a arrival) send(ctx context.Context, client *http.Client, f *Fleet, arrived time.Time, maxRetries int) sample {
	s := sample{arrival: a}
	for {
		s.attempts++
		r := &Reader{Credential: a.team.credential()}
		r.OnToken = func() error {
			now := time.Since(arrived)
			if len(r.Texts) == 1 {
				s.firstToken = now
			} else {
				s.gaps = append(s.gaps, now-s.lastToken)
			}
			s.lastToken = now
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

// countStarts returns the number of executions of the generation. The name of a
// generation, which is part of every token, ends with the number of earlier
// executions.
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
