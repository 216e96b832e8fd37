package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"mangoloft/control"
)

func init() {
	register("round_robin", func(o Options) (control.Scheduler, error) {
		position := rand.New(rand.NewPCG(o.Seed, 0)).IntN(1 << 16) // Instances begin with different upstreams.
		return newRule(func(live []*candidate) *candidate {
			position++
			return live[position%len(live)]
		}), nil
	})
	register("least_requests", func(o Options) (control.Scheduler, error) {
		random := rand.New(rand.NewPCG(o.Seed, 0))
		return newRule(func(live []*candidate) *candidate {
			random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
			return slices.MinFunc(live, func(a, b *candidate) int { return a.outstanding - b.outstanding })
		}), nil
	})
	register("two_choices", func(o Options) (control.Scheduler, error) {
		random := rand.New(rand.NewPCG(o.Seed, 0))
		return newRule(func(live []*candidate) *candidate {
			i, j := random.IntN(len(live)), random.IntN(max(1, len(live)-1))
			if j >= i && len(live) > 1 {
				j++
			}
			a, b := live[i], live[j]
			if compareLoad(a, b) > 0 {
				return b
			}
			return a
		}), nil
	})
}

// compareLoad orders upstreams by reported waiting requests, then by reported
// memory, then by outstanding requests.
func compareLoad(a, b *candidate) int {
	if a.report.Waiting != b.report.Waiting {
		return a.report.Waiting - b.report.Waiting
	}
	if a.report.UsedTokens != b.report.UsedTokens {
		return cmp.Compare(a.report.UsedTokens, b.report.UsedTokens)
	}
	return a.outstanding - b.outstanding
}
