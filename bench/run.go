package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one policy did with a scenario. Times are in milliseconds.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// The percentiles of stall are over the completed requests; see
	// docs/DECISIONS.md for what stall means.
	StallP50MS float64 `json:"stall_p50_ms"`
	StallP99MS float64 `json:"stall_p99_ms"`
	StallSumMS float64 `json:"stall_sum_ms"`
	// Preemptions counts the engines' preemptions.
	Preemptions      int                `json:"preemptions"`
	StreamsLost      int                `json:"streams_lost"`
	GapP95MS         float64            `json:"gap_p95_ms"`
	GapP99MS         float64            `json:"gap_p99_ms"`
	FirstTokenP50MS  float64            `json:"first_token_p50_ms"`
	FirstTokenP95MS  float64            `json:"first_token_p95_ms"`
	TargetMetShare   float64            `json:"target_met_share"`
	TargetMetByClass map[string]float64 `json:"target_met_share_by_class"`
	// Refused counts requests whose last answer was a refusal, AskedAgain the
	// further asks after refusals.
	Refused       int `json:"refused"`
	CallerRetries int `json:"asked_again"`
	Completed     int `json:"completed"`
	// Tokens counts those of completed requests, TokensInTime those that came
	// before the last arrival.
	Tokens       int `json:"tokens"`
	TokensInTime int `json:"tokens_in_time"`
	Retries      int `json:"retries"`
	// Fairness is the smallest team's share of the completed tokens over its
	// share of the asked ones.
	Fairness float64  `json:"fairness"`
	Failures []string `json:"failures,omitempty"`
}

const (
	// drainLimit is how long after the last arrival readers are waited for.
	drainLimit = 60 * time.Second
	// loadSettles is when the engines' lagging reports hold the end of a run.
	loadSettles  = 1500 * time.Millisecond
	keptFailures = 5
)

// Run starts the scenario's fleet under a policy, puts the load of the seed on
// it and measures. Keep names a directory that keeps the fleet's logs.
func Run(ctx context.Context, bin string, s Scenario, policy string, seed uint64, keep string) (Result, error) {
	dir := keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", "mangoloft-run-")
		if err != nil {
			return Result{}, err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return Result{}, err
	}
	all := s.arrivals(seed)
	lengths := filepath.Join(dir, "lengths.json")
	if err := writeLengths(lengths, all); err != nil {
		return Result{}, err
	}
	fleet, err := Start(ctx, s.plan(bin, dir, policy, lengths, seed))
	defer fleet.Close()
	if err != nil {
		return Result{}, err
	}
	loaded, cancel := context.WithTimeout(ctx, time.Duration(s.DurationSeconds*float64(time.Second))+drainLimit)
	defer cancel()
	result := summarize(s, putLoad(loaded, fleet, s, all))
	result.Policy, result.Seed = policy, seed
	pause(ctx, loadSettles)
	result.Preemptions, err = fleet.preemptions(ctx)
	return result, err
}

// lengthWire is a line of the file with the true lengths.
type lengthWire struct {
	Team         string `json:"team"`
	Class        string `json:"class"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

func writeLengths(path string, all []arrival) error {
	wire := make([]lengthWire, len(all))
	for i, a := range all {
		wire[i] = lengthWire{a.team.Name, a.class.Name, a.promptTokens, a.outputTokens}
	}
	content, err := json.Marshal(wire)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}

func (f *Fleet) preemptions(ctx context.Context) (int, error) {
	sum := 0
	for _, p := range f.Engines {
		content, err := f.Get(ctx, "http://"+p.Addr.String()+"/load")
		if err != nil {
			return 0, err
		}
		var load struct {
			Preemptions int `json:"preemptions"`
		}
		if err := json.Unmarshal(content, &load); err != nil {
			return 0, err
		}
		sum += load.Preemptions
	}
	return sum, nil
}

// longest is the longest time that is told apart from longer ones.
const longest = 10 * time.Minute

// times is a histogram of durations.
type times struct{ *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, longest.Microseconds(), 3)} }

func (t times) add(d time.Duration) {
	_ = t.RecordValue(min(max(d, 0), longest).Microseconds()) // Within the bounds by now.
}

func (t times) percentile(p float64) float64 { return float64(t.ValueAtPercentile(p)) / 1000 }

func summarize(s Scenario, samples []sample) Result {
	stalls, gaps, firsts := newTimes(), newTimes(), newTimes()
	result := Result{Scenario: s.Name, Requests: len(samples), TargetMetByClass: map[string]float64{}}
	asked, met := map[string]int{}, map[string]int{}
	tokensOf, askedOf := map[string]int{}, map[string]int{}
	end := time.Duration(s.DurationSeconds * float64(time.Second))
	allAsked := 0
	for _, x := range samples {
		asked[x.class.Name]++
		askedOf[x.team.Name] += x.outputTokens
		allAsked += x.outputTokens
		result.CallerRetries += max(0, x.asked-1)
		result.Retries += max(0, x.starts-1)
		if x.targetMet() {
			met[x.class.Name]++
		}
		result.TokensInTime += x.tokensBefore(end)
		for _, gap := range x.gaps {
			gaps.add(gap)
		}
		if !x.completed {
			if x.refused {
				result.Refused++
			} else {
				result.StreamsLost++
			}
			if len(result.Failures) < keptFailures {
				result.Failures = append(result.Failures, x.failure)
			}
			continue
		}
		result.Completed++
		result.Tokens += x.outputTokens
		tokensOf[x.team.Name] += x.outputTokens
		firsts.add(x.first)
		stalls.add(x.stall())
		result.StallSumMS += float64(x.stall().Milliseconds())
	}
	for class, count := range asked {
		result.TargetMetByClass[class] = float64(met[class]) / float64(count)
		result.TargetMetShare += float64(met[class]) / float64(len(samples))
	}
	result.StallP50MS, result.StallP99MS = stalls.percentile(50), stalls.percentile(99)
	result.GapP95MS, result.GapP99MS = gaps.percentile(95), gaps.percentile(99)
	result.FirstTokenP50MS, result.FirstTokenP95MS = firsts.percentile(50), firsts.percentile(95)
	if team := smallestTeam(s); result.Tokens > 0 && askedOf[team] > 0 {
		result.Fairness = (float64(tokensOf[team]) / float64(result.Tokens)) / (float64(askedOf[team]) / float64(allAsked))
	}
	return result
}

// tokensBefore counts the tokens that came before the time since the run began.
func (s sample) tokensBefore(end time.Duration) int {
	if s.first == 0 || s.after+s.first > end {
		return 0
	}
	count, at := 1, s.after+s.first
	for _, gap := range s.gaps {
		if at += gap; at > end {
			break
		}
		count++
	}
	return count
}
