package bench

import (
	"fmt"
	"os"
	"time"

	"mangoloft/config"
	"mangoloft/jsonc"
)

// Scenario describes a fleet and the load on it.
type Scenario struct {
	Name            string           `json:"name"`
	Fleet           FleetSize        `json:"fleet"`
	Engine          EngineParameters `json:"engine"`
	DurationSeconds float64          `json:"duration_seconds"`
	RatePerSecond   float64          `json:"rate_per_second"`
	Teams           []TeamLoad       `json:"teams"`
	Classes         []ClassLoad      `json:"classes"`
	// MaxCallerRetries is the maximum number of times that a caller retries a refused
	// request, each time after the delay in Retry-After.
	MaxCallerRetries int `json:"ask_again"`
}

// FleetSize counts the processes of the whole fleet.
type FleetSize struct {
	DataCentres int `json:"data_centres"`
	Entries     int `json:"entries"`
	Engines     int `json:"engines"`
}

// EngineParameters are the parameters of the simulated engines. They correspond to
// standin.ModelSettings.
type EngineParameters struct {
	StepMS            float64 `json:"step_ms"`
	StepPerSequenceMS float64 `json:"step_per_sequence_ms"`
	PrefillPerTokenUS float64 `json:"prefill_per_token_us"`
	PrefillTokens     int     `json:"prefill_tokens"`
	MaxBatch          int     `json:"max_batch"`
	Blocks            int     `json:"blocks"`
	CacheBlocks       int     `json:"cache_blocks"`
	ReportLagMS       float64 `json:"report_lag_ms"`
	EventLagMS        float64 `json:"event_lag_ms"`
	EventLoss         float64 `json:"event_loss"`
}

// TeamLoad is a team and its share of the requests. The shares need not add up to 1.
type TeamLoad struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// ClassLoad is a class of streams, its targets and its share of the requests.
type ClassLoad struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// WaitMS is the target for the time to the first token.
	WaitMS int64 `json:"wait_ms"`
	// PaceMS is the target for the time between tokens.
	PaceMS int64              `json:"pace_ms"`
	Prompt LengthDistribution `json:"prompt_tokens"`
	Output LengthDistribution `json:"output_tokens"`
}

// LengthDistribution is a log-normal distribution of lengths in tokens, capped at
// Max.
type LengthDistribution struct {
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64 `json:"sigma"`
	Max   int     `json:"max"`
}

// LoadScenario reads and validates a scenario file.
func LoadScenario(path string) (Scenario, error) {
	var s Scenario
	content, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if faults := jsonc.Decode(path, content, &s); len(faults) > 0 {
		return s, faults
	}
	var faults jsonc.Faults
	require := func(ok bool, field, allowed string) {
		if !ok {
			faults = append(faults, jsonc.Fault{File: path, Line: 1, Column: 1, Field: field, Found: "another value", Allowed: allowed})
		}
	}
	require(s.Fleet.DataCentres > 0 && s.Fleet.Entries >= s.Fleet.DataCentres && s.Fleet.Engines >= s.Fleet.DataCentres,
		"fleet", "at least one data centre, each with an entry instance and an engine")
	require(s.DurationSeconds > 0, "duration_seconds", "more than 0")
	require(s.RatePerSecond > 0, "rate_per_second", "more than 0")
	require(len(s.Teams) > 0, "teams", "at least one team")
	require(len(s.Classes) > 0, "classes", "at least one class")
	for _, c := range s.Classes {
		require(c.Output.Max > 0 && c.Prompt.Max > 0, "classes."+c.Name, "a positive max for prompt_tokens and output_tokens")
	}
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// plan returns the plan of the scenario's fleet with a policy. The file lengths
// contains the true output lengths.
func (s Scenario) plan(bin, dir, policy, lengths string, seed uint64) Plan {
	milliseconds := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return Plan{
		Bin: bin, Dir: dir, DataCentres: s.Fleet.DataCentres,
		Entries: s.Fleet.Entries / s.Fleet.DataCentres, ExtraEntries: s.Fleet.Entries % s.Fleet.DataCentres,
		Engines: s.Fleet.Engines / s.Fleet.DataCentres, ExtraEngines: s.Fleet.Engines % s.Fleet.DataCentres,
		Step: milliseconds(s.Engine.StepMS),
		EngineArgs: []string{
			"--step-per-sequence", milliseconds(s.Engine.StepPerSequenceMS).String(),
			"--prefill-per-token", milliseconds(s.Engine.PrefillPerTokenUS / 1000).String(),
			"--prefill-tokens", fmt.Sprint(s.Engine.PrefillTokens), "--max-batch", fmt.Sprint(s.Engine.MaxBatch),
			"--blocks", fmt.Sprint(s.Engine.Blocks), "--cache-blocks", fmt.Sprint(s.Engine.CacheBlocks),
			"--report-lag", milliseconds(s.Engine.ReportLagMS).String(),
			"--event-lag", milliseconds(s.Engine.EventLagMS).String(), "--event-loss", fmt.Sprint(s.Engine.EventLoss),
			"--seed", fmt.Sprint(seed),
		},
		EntryProgram: "mangobench-entry",
		EntryArgs:    []string{"--policy", policy, "--lengths", lengths, "--seed", fmt.Sprint(seed)},
		Config:       s.config(),
	}
}

// config returns the configuration values of the classes and teams.
func (s Scenario) config() map[string]string {
	values := map[string]string{}
	for _, c := range s.Classes {
		values["classes/"+c.Name] = fmt.Sprintf(
			`{"kind": "stream", "pool": "drafting", "model": "tuning-large", "target": {"wait_ms": %d, "pace_ms": %d}, "max_output_tokens": %d}`,
			c.WaitMS, c.PaceMS, c.Output.Max)
	}
	for _, t := range s.Teams {
		values["teams/"+t.Name] = fmt.Sprintf(`{"teams": [{"name": %q, "credential_sha256": %q}]}`, t.Name, config.Hash([]byte(t.credential())))
	}
	return values
}

func (t TeamLoad) credential() string { return "credential of " + t.Name }
