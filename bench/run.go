package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a scenario under one policy. Times are in milliseconds.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Stall is the waiting time beyond the class's targets, see docs/DECISIONS.md.
	// Only completed requests are included.
	StallP50MS float64 `json:"stall_p50_ms"`
	StallP99MS float64 `json:"stall_p99_ms"`
	StallSumMS float64 `json:"stall_sum_ms"`
	// Preemptions counts the preemptions of all engines.
	Preemptions      int                `json:"preemptions"`
	StreamsLost      int                `json:"streams_lost"`
	GapP95MS         float64            `json:"gap_p95_ms"`
	GapP99MS         float64            `json:"gap_p99_ms"`
	FirstTokenP50MS  float64            `json:"first_token_p50_ms"`
	FirstTokenP95MS  float64            `json:"first_token_p95_ms"`
	TargetMetShare   float64            `json:"target_met_share"`
	TargetMetByClass map[string]float64 `json:"target_met_share_by_class"`
	// Refused counts the requests whose last response was a refusal.
	Refused int `json:"refused"`
	// CallerRetries counts the retries of refused requests by callers.
	CallerRetries int `json:"asked_again"`
	Completed     int `json:"completed"`
	// Tokens counts the tokens of completed requests.
	Tokens int `json:"tokens"`
	// TokensInTime counts all tokens received within the scenario's duration.
	TokensInTime int `json:"tokens_in_time"`
	// Retries counts the repeated executions of generations by entry instances.
	Retries int `json:"retries"`
	// Fairness is the smallest team's share of the completed tokens divided by
	// its share of the requested tokens.
	Fairness float64  `json:"fairness"`
	Failures []string `json:"failures,omitempty"`
}

const (
	// drainTimeout is the timeout for open streams after the scenario's duration.
	drainTimeout = 60 * time.Second
	// reportDelay is the time after which the engines' delayed load reports include
	// the end of the load.
	reportDelay         = 1500 * time.Millisecond
	maxReportedFailures = 5
)

// Run starts the scenario's fleet with a placement policy, runs the load of the
// seed against it and returns the result. The fleet's logs remain in logDir unless
// it is empty.
func Run(ctx context.Context, bin string, s Scenario, policy string, seed uint64, logDir string) (Result, error) {
	dir := logDir
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
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(s.DurationSeconds*float64(time.Second))+drainTimeout)
	defer cancel()
	result := summarize(s, runLoad(loadCtx, fleet, s, all))
	result.Policy, result.Seed = policy, seed
	pause(ctx, reportDelay)
	result.Preemptions, err = fleet.preemptions(ctx)
	return result, err
}

// lengthWire is an entry of the file with the true output lengths.
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

// maxRecordedTime is the maximum of a histogram. Longer times are recorded as this
// value.
const maxRecordedTime = 10 * time.Minute

// timeHistogram is a histogram of durations.
type timeHistogram struct{ *hdrhistogram.Histogram }

func newTimeHistogram() timeHistogram {
	return timeHistogram{hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)}
}

func (t timeHistogram) add(d time.Duration) {
	_ = t.RecordValue(min(max(d, 0), maxRecordedTime).Microseconds()) // Can't fail: the value is within the bounds.
}

func (t timeHistogram) percentile(p float64) float64 { return float64(t.ValueAtPercentile(p)) / 1000 }

func summarize(s Scenario, samples []sample) Result {
	stalls, gaps, firstTokens := newTimeHistogram(), newTimeHistogram(), newTimeHistogram()
	result := Result{Scenario: s.Name, Requests: len(samples), TargetMetByClass: map[string]float64{}}
	requestsOf, targetsMetOf := map[string]int{}, map[string]int{}
	completedTokensOf, requestedTokensOf := map[string]int{}, map[string]int{}
	end := time.Duration(s.DurationSeconds * float64(time.Second))
	requestedTokens := 0
	for _, x := range samples {
		requestsOf[x.class.Name]++
		requestedTokensOf[x.team.Name] += x.outputTokens
		requestedTokens += x.outputTokens
		result.CallerRetries += max(0, x.attempts-1)
		result.Retries += max(0, x.generationStarts-1)
		if x.targetMet() {
			targetsMetOf[x.class.Name]++
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
			if len(result.Failures) < maxReportedFailures {
				result.Failures = append(result.Failures, x.failure)
			}
			continue
		}
		result.Completed++
		result.Tokens += x.outputTokens
		completedTokensOf[x.team.Name] += x.outputTokens
		firstTokens.add(x.firstToken)
		stalls.add(x.stall())
		result.StallSumMS += float64(x.stall().Milliseconds())
	}
	for class, count := range requestsOf {
		result.TargetMetByClass[class] = float64(targetsMetOf[class]) / float64(count)
		result.TargetMetShare += float64(targetsMetOf[class]) / float64(len(samples))
	}
	result.StallP50MS, result.StallP99MS = stalls.percentile(50), stalls.percentile(99)
	result.GapP95MS, result.GapP99MS = gaps.percentile(95), gaps.percentile(99)
	result.FirstTokenP50MS, result.FirstTokenP95MS = firstTokens.percentile(50), firstTokens.percentile(95)
	if team := smallestTeam(s); result.Tokens > 0 && requestedTokensOf[team] > 0 {
		result.Fairness = (float64(completedTokensOf[team]) / float64(result.Tokens)) / (float64(requestedTokensOf[team]) / float64(requestedTokens))
	}
	return result
}

// tokensBefore counts the tokens received before end, which is relative to the
// start of the load.
func (s sample) tokensBefore(end time.Duration) int {
	if s.firstToken == 0 || s.after+s.firstToken > end {
		return 0
	}
	count, at := 1, s.after+s.firstToken
	for _, gap := range s.gaps {
		if at += gap; at > end {
			break
		}
		count++
	}
	return count
}
