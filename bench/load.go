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
	after        time.Duration
	entry        int
	team         TeamLoad
	class        ClassLoad
	promptTokens int
	outputTokens int
}

// arrivals draws the whole load from the seed alone, so that every policy
// meets the same requests at the same times at the same instances.
func (s Scenario) arrivals(seed uint64) []arrival {
	source := rand.NewPCG(seed, 1)
	lots := rand.New(source)
	gap := distuv.Exponential{Rate: s.RatePerSecond, Src: source}
	teams, classes := make([]float64, len(s.Teams)), make([]float64, len(s.Classes))
	for i, t := range s.Teams {
		teams[i] = t.Share
	}
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	pickTeam, pickClass := distuv.NewCategorical(teams, source), distuv.NewCategorical(classes, source)
	taken := map[lengthKey]bool{}
	var all []arrival
	for at := gap.Rand(); at < s.DurationSeconds; at += gap.Rand() {
		a := arrival{
			after: time.Duration(at * float64(time.Second)), entry: lots.IntN(s.Fleet.Entries),
			team: s.Teams[int(pickTeam.Rand())], class: s.Classes[int(pickClass.Rand())],
		}
		a.promptTokens = max(minPromptTokens, a.class.Prompt.draw(source))
		a.outputTokens = a.class.Output.draw(source)
		// The bound finds a request's true length by this key.
		for taken[a.key()] {
			a.promptTokens++
		}
		taken[a.key()] = true
		all = append(all, a)
	}
	return all
}

func (l LengthDistribution) draw(source rand.Source) int {
	length := distuv.LogNormal{Mu: math.Log(l.Median), Sigma: l.Sigma, Src: source}.Rand()
	return min(max(1, int(math.Round(length))), l.Max)
}

// lengthKey is what an instance sees of a request before it runs.
type lengthKey struct {
	team, class  string
	promptTokens int
}

func (a arrival) key() lengthKey { return lengthKey{a.team.Name, a.class.Name, a.promptTokens} }

const (
	promptBytesPerToken = 4
	// minPromptTokens is room for the hint that tells the stand-in a length.
	minPromptTokens = 12
	// sharedPromptTokens is the part that all prompts of a team begin with.
	sharedPromptTokens = 64
)

// prompt returns a text of promptTokens tokens, as entry instances and engines
// estimate them.
func (a arrival) prompt() string {
	hint := fmt.Sprintf(" output_tokens=%d", a.outputTokens)
	size := (a.promptTokens-1)*promptBytesPerToken - len(hint)
	shared := min(size, sharedPromptTokens*promptBytesPerToken)
	own := fmt.Sprintf("%v ", a.after)
	text := strings.Repeat(a.team.Name+" ", shared)[:shared] + own + strings.Repeat("x", max(0, size))
	return text[:size] + hint
}

// sample is what a reader saw of one request. Times count from the arrival.
type sample struct {
	arrival
	// first and last are the times of the first and the last token; gaps are
	// the times between tokens.
	first, last time.Duration
	gaps        []time.Duration
	completed   bool
	// refused says that the last answer was a refusal without any token.
	refused bool
	failure string
	asked   int
	starts  int
}

// stall is how long the reader waited beyond the class's targets: for the
// first token beyond the target for waiting, and between tokens beyond that
// for pace. A class without a target has no stall of that kind.
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

// targetMet says that the whole answer came, the first token in time and the
// others at the target's pace on average.
func (s sample) targetMet() bool {
	if !s.completed {
		return false
	}
	wait, pace := time.Duration(s.class.WaitMS)*time.Millisecond, time.Duration(s.class.PaceMS)*time.Millisecond
	inTime := wait == 0 || s.first <= wait
	atPace := pace == 0 || len(s.gaps) == 0 || (s.last-s.first)/time.Duration(len(s.gaps)) <= pace
	return inTime && atPace
}

// putLoad runs the arrivals against the fleet, open loop, and returns what
// their readers saw by the time ctx ends.
func putLoad(ctx context.Context, f *Fleet, s Scenario, all []arrival) []sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	samples := make([]sample, len(all))
	begin := time.Now()
	var group sync.WaitGroup
	for i, a := range all {
		group.Go(func() {
			if pause(ctx, time.Until(begin.Add(a.after))) {
				samples[i] = a.read(ctx, client, f, begin.Add(a.after), s.MaxCallerRetries)
			}
		})
	}
	group.Wait()
	return samples
}

// pause reports false when ctx ended first.
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

// read asks until the request is answered, given up on, or lost.
func (a arrival) read(ctx context.Context, client *http.Client, f *Fleet, arrived time.Time, askAgain int) sample {
	s := sample{arrival: a}
	for {
		s.asked++
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
		s.starts = startsOf(r.Texts)
		s.refused = err == nil && r.refused
		s.failure = r.Failure
		if err != nil {
			s.failure = err.Error()
		}
		if !s.refused || s.asked > askAgain || !pause(ctx, r.RetryAfter) {
			return s
		}
	}
}

// startsOf returns how often the generation was begun, from the number that
// its name ends with.
func startsOf(texts []string) int {
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

// smallestTeam returns the team with the least share, of those that asked.
func smallestTeam(s Scenario) string {
	return slices.MinFunc(s.Teams, func(a, b TeamLoad) int { return int(math.Copysign(1, a.Share-b.Share)) }).Name
}
