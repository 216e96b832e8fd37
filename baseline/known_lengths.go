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

// knownLengths is a forecaster that returns the true output lengths.
type knownLengths struct {
	lengths map[lengthKey]exactLength
	pool    *decide.Curve
}

// lengthKey identifies a request of the workload.
type lengthKey struct {
	team, class  string
	promptTokens int
}

// lengthRecord is an entry of the file with the true lengths.
type lengthRecord struct {
	Team         string `json:"team"`
	Class        string `json:"class"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

func readLengths(path string) (*knownLengths, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var records []lengthRecord
	if err := json.Unmarshal(content, &records); err != nil {
		return nil, err
	}
	k := &knownLengths{lengths: map[lengthKey]exactLength{}}
	var all []int
	for _, r := range records {
		k.lengths[lengthKey{r.Team, r.Class, r.PromptTokens}] = exactLength(r.OutputTokens)
		all = append(all, r.OutputTokens)
	}
	k.pool = decide.CurveFromLengths(all)
	return k, nil
}

// exactLength is the distribution of an output length that is known exactly.
type exactLength int

// Survival implements decide.Distribution.
func (e exactLength) Survival(tokens float64) float64 {
	if tokens < float64(e) {
		return 1
	}
	return 0
}

// Mean implements decide.Distribution.
func (e exactLength) Mean() float64 { return float64(e) }

// Forecast implements decide.LengthForecaster.
func (k *knownLengths) Forecast(r decide.Request) decide.Distribution {
	return k.lengths[lengthKey{r.Team, r.Class.Name, r.PromptTokens}]
}

// ObserveProgress implements decide.LengthForecaster.
func (k *knownLengths) ObserveProgress(decide.Request, int, int) {}

// ObserveEnd implements decide.LengthForecaster.
func (k *knownLengths) ObserveEnd(decide.Request, int) {}

// PoolForecast implements decide.LengthForecaster.
func (k *knownLengths) PoolForecast(string) *decide.Curve { return k.pool }
