package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"mangoloft/control"
)

func init() {
	register("round_robin", func(o Options) (control.Scheduler, error) {
		next := rand.New(rand.NewPCG(o.Seed, 0)).IntN(1 << 16) // Instances start at different upstreams.
		return newRule(func(of []*candidate) *candidate {
			next++
			return of[next%len(of)]
		}), nil
	})
	register("least_requests", func(o Options) (control.Scheduler, error) {
		random := rand.New(rand.NewPCG(o.Seed, 0))
		return newRule(func(of []*candidate) *candidate {
			random.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
			return slices.MinFunc(of, func(a, b *candidate) int { return a.outstanding - b.outstanding })
		}), nil
	})
	register("two_choices", func(o Options) (control.Scheduler, error) {
		random := rand.New(rand.NewPCG(o.Seed, 0))
		return newRule(func(of []*candidate) *candidate {
			i, j := random.IntN(len(of)), random.IntN(max(1, len(of)-1))
			if j >= i && len(of) > 1 {
				j++
			}
			a, b := of[i], of[j]
			if compareLoad(a, b) > 0 {
				return b
			}
			return a
		}), nil
	})
}

// compareLoad compares the reported loads: first the waiting requests, then the
// used memory, then the outstanding requests.
func compareLoad(a, b *candidate) int {
	if a.report.Waiting != b.report.Waiting {
		return a.report.Waiting - b.report.Waiting
	}
	if a.report.UsedTokens != b.report.UsedTokens {
		return cmp.Compare(a.report.UsedTokens, b.report.UsedTokens)
	}
	return a.outstanding - b.outstanding
}
