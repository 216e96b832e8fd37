package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Comparison configures a comparison of policies.
type Comparison struct {
	// Bin is the directory with the programs.
	Bin      string
	Scenario string
	Seeds    []uint64
	Policies []string
	// JSON prints one line of JSON for each policy and seed instead of a table.
	JSON bool
	// LogDir is a directory for the fleets' logs. If it is empty, no logs are kept.
	LogDir string
}

// Compare runs every policy with the same loads, one after the other, and prints
// the results.
func Compare(ctx context.Context, c Comparison, out io.Writer) error {
	scenario, err := LoadScenario(c.Scenario)
	if err != nil {
		return err
	}
	var results []Result
	for _, seed := range c.Seeds {
		for _, policy := range c.Policies {
			logDir := c.LogDir
			if logDir != "" {
				logDir = fmt.Sprintf("%s/%s-%d", logDir, policy, seed)
			}
			result, err := Run(ctx, c.Bin, scenario, policy, seed, logDir)
			if err != nil {
				return err
			}
			results = append(results, result)
			if c.JSON {
				line, err := json.Marshal(result)
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(line))
			}
		}
	}
	if c.JSON {
		return nil
	}
	return writeTable(out, results)
}

func writeTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tseed\tstall p50\tp99 ms\tpreempted\tlost\tgap p95\tp99 ms\tfirst p95 ms\ttarget met\trefused\tcompleted\ttokens in time\tretries\tfairness\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t%d\t%d\t%d\t%.2f\t\n",
			r.Policy, r.Seed, r.StallP50MS, r.StallP99MS, r.Preemptions, r.StreamsLost, r.GapP95MS, r.GapP99MS,
			r.FirstTokenP95MS, r.TargetMetShare, r.Refused, r.Completed, r.TokensInTime, r.Retries, r.Fairness)
	}
	return w.Flush()
}
