package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a straight line fitted to the growth of a cost with one of the sizes of
// the fleet.
type Slope struct {
	// Size is the name of the quantity that was varied.
	Size string `json:"size"`
	// Cost is the name of the quantity that was measured.
	Cost string `json:"cost"`
	Unit string `json:"unit"`
	// Traffic reports whether the cost is caused by requests, not by control work.
	Traffic bool      `json:"traffic"`
	Sizes   []float64 `json:"sizes"`
	Costs   []float64 `json:"costs"`
	// Fixed is the intercept of the line, PerUnit its slope.
	Fixed   float64 `json:"fixed"`
	PerUnit float64 `json:"per_unit"`
	// StandardError is the standard error of PerUnit.
	StandardError float64 `json:"error"`
	RSquare       float64 `json:"r_squared"`
	// Target is the size that the system must support.
	Target float64 `json:"target"`
	// CostAtTarget is the cost of the target size according to the line.
	CostAtTarget float64 `json:"at_target"`
}

// fitSlope fits the line to Sizes and Costs. It needs at least three sizes.
func fitSlope(s Slope) Slope {
	s.Fixed, s.PerUnit = stat.LinearRegression(s.Sizes, s.Costs, nil, false)
	s.RSquare = stat.RSquared(s.Sizes, s.Costs, nil, s.Fixed, s.PerUnit)
	mean := stat.Mean(s.Sizes, nil)
	var residuals, spread float64
	for i, x := range s.Sizes {
		residual := s.Costs[i] - s.Fixed - s.PerUnit*x
		residuals += residual * residual
		spread += (x - mean) * (x - mean)
	}
	s.StandardError = math.Sqrt(residuals / float64(len(s.Sizes)-2) / spread)
	s.CostAtTarget = s.Fixed + s.PerUnit*s.Target
	return s
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // Can't fail for the calling process.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// averagingTime is the processor time over which a cost is averaged.
const averagingTime = 150 * time.Millisecond

// averageProcessorTime returns the processor time of one call of run, averaged over
// many calls.
func averageProcessorTime(run func()) time.Duration {
	run()
	runtime.GC()
	start, runs := processorTime(), 0
	for processorTime()-start < averagingTime {
		run()
		runs++
	}
	return (processorTime() - start) / time.Duration(runs)
}

// retainedHeap returns the number of heap bytes that the result of build retains.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measurement measures one cost at any size.
type measurement struct {
	slope     Slope
	measureAt func(size int) float64
}

// measure measures the cost at the sizes and fits a line to it.
func (c measurement) measure(sizes ...int) Slope {
	s := c.slope
	for _, size := range sizes {
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, c.measureAt(size))
	}
	return fitSlope(s)
}

// SlopesPlan configures a measurement of slopes.
type SlopesPlan struct {
	Bin string
	// Processes adds measurements of fleets of real processes.
	Processes bool
}

// MeasureSlopes measures the growth of the cost of control work, and separately of
// requests, with the sizes of the fleet.
func MeasureSlopes(ctx context.Context, plan SlopesPlan) ([]Slope, error) {
	slopes, err := stepSlopes()
	if err != nil || !plan.Processes {
		return slopes, err
	}
	processes, err := processSlopes(ctx, plan.Bin)
	return append(slopes, processes...), err
}

// PrintSlopes measures and prints the slopes, as a table or one line of JSON
// for each.
func PrintSlopes(ctx context.Context, plan SlopesPlan, asJSON bool, out io.Writer) error {
	slopes, err := MeasureSlopes(ctx, plan)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, s := range slopes {
			if err := encoder.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\tsize\tcost\tunit\tsizes\tcosts\tfixed\tper unit\t± error\tR²\ttarget\tat target")
	for _, s := range slopes {
		kind := "control"
		if s.Traffic {
			kind = "traffic"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%.4g\t%.4g\t%.4g\t%.2g\t%.3f\t%g\t%.4g\n",
			kind, s.Size, s.Cost, s.Unit, s.Sizes, s.Costs, s.Fixed, s.PerUnit, s.StandardError, s.RSquare, s.Target, s.CostAtTarget)
	}
	return table.Flush()
}
