package decide

import "time"

// paceModel learns an upstream's step time against its batch: a line fitted by
// least squares to the reports, the older the lighter.
type paceModel struct {
	weight, n, t, nn, nt float64
}

const (
	// paceMemory is how many reports weigh as much as all before.
	paceMemory = 50
	// minBatchVariance is the spread of batches from which a slope is believed.
	minBatchVariance = 1
)

func (p *paceModel) observe(batch int, step time.Duration) {
	n, t := float64(batch), float64(step)
	for _, sum := range []*float64{&p.weight, &p.n, &p.t, &p.nn, &p.nt} {
		*sum *= 1 - 1.0/paceMemory
	}
	p.weight++
	p.n += n
	p.t += t
	p.nn += n * n
	p.nt += n * t
}

// step forecasts the step time at a batch; zero when nothing is known.
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
