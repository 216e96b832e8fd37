package baseline

import (
	"encoding/json"
	"os"

	"mangoloft/control"
	"mangoloft/decide"
)

func init() {
	register("known_lengths", func(o Options) (control.Scheduler, error) {
		lengths, err := readLengths(o.LengthsFile)
		if err != nil {
			return nil, err
		}
		return decide.NewWithLengths(o.DataCentre, lengths), nil
	})
}

// known tells the true lengths.
type known struct {
	lengths map[lengthKey]exactly
	pool    *decide.Curve
}

type lengthKey struct {
	team, class  string
	promptTokens int
}

// lengthWire is a line of the file with the true lengths.
type lengthWire struct {
	Team         string `json:"team"`
	Class        string `json:"class"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

func readLengths(path string) (*known, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var wire []lengthWire
	if err := json.Unmarshal(content, &wire); err != nil {
		return nil, err
	}
	k := &known{lengths: map[lengthKey]exactly{}}
	var all []int
	for _, w := range wire {
		k.lengths[lengthKey{w.Team, w.Class, w.PromptTokens}] = exactly(w.OutputTokens)
		all = append(all, w.OutputTokens)
	}
	k.pool = decide.CurveFromLengths(all)
	return k, nil
}

// exactly is the distribution of a length that is known.
type exactly int

// Survival implements decide.Distribution.
func (e exactly) Survival(tokens float64) float64 {
	if tokens < float64(e) {
		return 1
	}
	return 0
}

// Mean implements decide.Distribution.
func (e exactly) Mean() float64 { return float64(e) }

// Forecast implements decide.Lengths.
func (k *known) Forecast(r decide.Request) decide.Distribution {
	return k.lengths[lengthKey{r.Team, r.Class.Name, r.PromptTokens}]
}

// ObserveProgress implements decide.Lengths.
func (k *known) ObserveProgress(decide.Request, int, int) {}

// ObserveEnd implements decide.Lengths.
func (k *known) ObserveEnd(decide.Request, int) {}

// PoolForecast implements decide.Lengths.
func (k *known) PoolForecast(string) *decide.Curve { return k.pool }
