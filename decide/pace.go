package decide

import "time"

// paceModel forecasts an upstream's step time, the duration of one iteration,
// from its batch size. It fits a least-squares line through the load reports,
// exponentially weighted towards recent ones. Its fields are the weighted sums
// of batch sizes n, step times t and their products.
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

// stepTime forecasts the step time for a batch size. It returns zero if there
// were no reports.
func (p *paceModel) stepTime(batch float64) time.Duration {
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
