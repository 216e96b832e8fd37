package bench

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"
)

// RestartPlan configures a measurement of a fleet whose instances all start at once.
type RestartPlan struct {
	Bin                  string
	DataCentres, Entries int
	// Teams are spread over 256 values.
	Teams int
}

// RestartResults are the measurements of the start of a whole fleet.
type RestartResults struct {
	Instances int `json:"instances"`
	Teams     int `json:"teams"`
	// ReadyMS is the time until the last instance was ready.
	ReadyMS int64 `json:"ready_ms"`
	// Reads counts all reads of the configuration service until then, PeakReads
	// the most within a second.
	Reads     int `json:"service_reads"`
	PeakReads int `json:"peak_reads_in_a_second"`
}

// samplesPerSecond is how often the count of reads is sampled.
const samplesPerSecond = 10

// restartLimit bounds the wait for a fleet that can read its configuration only
// from the service.
const restartLimit = 90 * time.Second

// MeasureRestart kills all entry instances and starts them at once, so that at
// first no peer has a configuration to pass on.
func MeasureRestart(ctx context.Context, plan RestartPlan) (RestartResults, error) {
	figures := RestartResults{Teams: plan.Teams}
	dir, err := os.MkdirTemp("", "mangoloft-restart-")
	if err != nil {
		return figures, err
	}
	defer os.RemoveAll(dir)
	fleet, err := Start(ctx, Plan{Bin: plan.Bin, Dir: dir, DataCentres: plan.DataCentres, Entries: plan.Entries, Step: time.Second})
	defer fleet.Close()
	if err != nil {
		return figures, err
	}
	figures.Instances = len(fleet.Entries)
	if err := fleet.publishTeams(ctx, plan.Teams); err != nil {
		return figures, err
	}
	for _, p := range fleet.Entries {
		p.Kill()
	}
	counter := startReadCounter(ctx, fleet)
	start := time.Now()
	for _, p := range fleet.Entries {
		if err := fleet.Restart(p); err != nil {
			counter.end()
			return figures, err
		}
	}
	err = fleet.WaitReady(ctx, start.Add(restartLimit))
	figures.ReadyMS = time.Since(start).Milliseconds()
	figures.Reads, figures.PeakReads = counter.end()
	return figures, err
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

// end stops the sampling and returns the total of reads and the most within a second.
func (c *readCounter) end() (total, peak int) {
	c.stop()
	c.group.Wait()
	for i, reads := range c.samples {
		peak = max(peak, reads-c.samples[max(0, i-samplesPerSecond)])
	}
	return c.samples[len(c.samples)-1] - c.samples[0], peak
}

// PrintRestart measures and prints the figures as one line of JSON.
func PrintRestart(ctx context.Context, plan RestartPlan, out io.Writer) error {
	figures, err := MeasureRestart(ctx, plan)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(figures)
}
