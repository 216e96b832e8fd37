package decide

import "time"

// paceModel learns how an upstream's step time depends on its batch size: a
// least-squares line through the reports, weighted exponentially towards recent
// ones.
type paceModel struct {
	weight, n, t, nn, nt float64
}

const (
	// paceSamples is the effective number of reports in the fit.
	paceSamples = 50
	// minBatchVariance is the variance of batch sizes below which no slope is
	// fitted.
	minBatchVariance = 1
)

func (p *paceModel) observe(batch int, step time.Duration) {
	n, t := float64(batch), float64(step)
	for _, sum := range []*float64{&p.weight, &p.n, &p.t, &p.nn, &p.nt} {
		*sum *= 1 - 1.0/paceSamples
	}
	p.weight++
	p.n += n
	p.t += t
	p.nn += n * n
	p.nt += n * t
}

// step forecasts the step time at a batch size; zero if there were no reports.
func (p *paceModel) step(batch float64) time.Duration {
	if p.weight == 0 {
		return 0
	}
	meanN, meanT := p.n/p.weight, p.t/p.weight
	variance := p.nn/p.weight - meanN*meanN
	slope := 0.0
	if variance >= minBatchVariance {
		slope = max(0, (p.nt/p.weight-meanN*meanT)/variance)
	}
	return time.Duration(max(0, meanT+slope*(batch-meanN)))
}
