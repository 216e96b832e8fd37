package bench

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"
)

// RestartPlan configures a measurement of a fleet whose entry instances all start
// at the same time.
type RestartPlan struct {
	Bin                  string
	DataCentres, Entries int
	// Teams is the number of teams in the configuration, which are spread over 256
	// values.
	Teams int
}

// RestartResults are the measurements of the start of a whole fleet.
type RestartResults struct {
	Instances int `json:"instances"`
	Teams     int `json:"teams"`
	// ReadyMS is the time from the start until the last instance was ready.
	ReadyMS int64 `json:"ready_ms"`
	// Reads counts the reads of the configuration service in that time.
	Reads int `json:"service_reads"`
	// PeakReads is the maximum number of reads within a second.
	PeakReads int `json:"peak_reads_in_a_second"`
}

// samplesPerSecond is the sampling rate of the number of reads.
const samplesPerSecond = 10

// restartTimeout is the timeout for a fleet to become ready if it can read its
// configuration only from the service.
const restartTimeout = 90 * time.Second

// MeasureRestart kills all entry instances and starts them at the same time, so that
// initially no peer can supply the configuration.
func MeasureRestart(ctx context.Context, plan RestartPlan) (RestartResults, error) {
	results := RestartResults{Teams: plan.Teams}
	dir, err := os.MkdirTemp("", "mangoloft-restart-")
	if err != nil {
		return results, err
	}
	defer os.RemoveAll(dir)
	fleet, err := Start(ctx, Plan{Bin: plan.Bin, Dir: dir, DataCentres: plan.DataCentres, Entries: plan.Entries, Step: time.Second})
	defer fleet.Close()
	if err != nil {
		return results, err
	}
	results.Instances = len(fleet.Entries)
	if err := fleet.publishTeams(ctx, plan.Teams); err != nil {
		return results, err
	}
	for _, p := range fleet.Entries {
		p.Kill()
	}
	counter := startReadCounter(ctx, fleet)
	start := time.Now()
	for _, p := range fleet.Entries {
		if err := fleet.Restart(p); err != nil {
			counter.end()
			return results, err
		}
	}
	err = fleet.WaitReady(ctx, start.Add(restartTimeout))
	results.ReadyMS = time.Since(start).Milliseconds()
	results.Reads, results.PeakReads = counter.end()
	return results, err
}

// readCounter samples the number of reads of the configuration service.
type readCounter struct {
	group   sync.WaitGroup
	stop    context.CancelFunc
	samples []int
}

func startReadCounter(ctx context.Context, fleet *Fleet) *readCounter {
	ctx, stop := context.WithCancel(ctx)
	c := &readCounter{stop: stop}
	c.group.Go(func() {
		for ctx.Err() == nil {
			if reads, err := fleet.ConfigReads(ctx); err == nil {
				c.samples = append(c.samples, reads)
			}
			sleepUntil(ctx, time.Now().Add(time.Second/samplesPerSecond))
		}
	})
	return c
}

// end stops the sampling and returns the total number of reads and the maximum
// within a second.
func (c *readCounter) end() (total, peak int) {
	c.stop()
	c.group.Wait()
	for i, reads := range c.samples {
		peak = max(peak, reads-c.samples[max(0, i-samplesPerSecond)])
	}
	return c.samples[len(c.samples)-1] - c.samples[0], peak
}

// PrintRestart measures the restart and prints the results as one line of JSON.
func PrintRestart(ctx context.Context, plan RestartPlan, out io.Writer) error {
	results, err := MeasureRestart(ctx, plan)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(results)
}
