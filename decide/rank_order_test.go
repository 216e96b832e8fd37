package decide

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangoloft/ident"
)

// drawQueue draws waiting requests of few teams with deadlines around the present.
func drawQueue(t *rapid.T, now time.Time, maxRank int) []*waitingRequest {
	var list []*waitingRequest
	for i := range rapid.IntRange(0, 30).Draw(t, "length") {
		at := func(name string) time.Time {
			return now.Add(time.Duration(rapid.IntRange(-3, 9).Draw(t, name)) * time.Second)
		}
		w := &waitingRequest{arrivedAt: now.Add(-time.Second), deadline: at("deadline"), latestStart: at("latest start")}
		w.ID, w.Team, w.Rank = ident.Request{Sequence: uint64(i)}, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(0, maxRank).Draw(t, "rank")
		list = append(list, w)
	}
	return list
}

// TestEqualRanksKeepTheOrder checks that requests of one rank are ordered as before ranks
// were used.
func TestEqualRanksKeepTheOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		q := queue{drawQueue(t, now, 0)}
		want := slices.Clone(q.list)
		byDeadline := func(a, b *waitingRequest) int { return a.deadline.Compare(b.deadline) }
		overdue := func(w *waitingRequest) int { return max(0, now.Compare(w.latestStart)) }
		slices.SortStableFunc(want, byDeadline)
		rounds, count := map[*waitingRequest]int{}, map[string]int{}
		for _, w := range want {
			rounds[w] = count[w.Team]
			count[w.Team]++
		}
		slices.SortStableFunc(want, func(a, b *waitingRequest) int {
			return cmp.Or(cmp.Compare(overdue(a), overdue(b)), cmp.Compare(rounds[a], rounds[b]), byDeadline(a, b))
		})
		q.sort(now)
		assert.Assert(t, slices.Equal(q.list, want))
	})
}

// TestOrderOfRanks checks the order of requests of different ranks: by the risen rank, then
// those that can be in time.
func TestOrderOfRanks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		q := queue{drawQueue(t, now, MaxRank)}
		q.sort(now)
		for i := 1; i < len(q.list); i++ {
			a, b := q.list[i-1], q.list[i]
			assert.Assert(t, a.rank <= b.rank && a.rank >= 0 && a.rank <= a.Rank)
			assert.Assert(t, a.rank < b.rank || !a.overdue(now) || b.overdue(now))
			assert.Assert(t, !a.overdue(now) || a.rank == a.Rank, "a request that can't be in time must not rise")
		}
	})
}

func TestAging(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		rank, waitedPercent, want int
	}{
		"fresh":                  {2, 10, 2},
		"before the share":       {2, 74, 2},
		"after the share":        {2, 76, 1},
		"half of the rest":       {2, 88, 0},
		"never above the top":    {1, 99, 0},
		"the top":                {0, 99, 0},
		"too late":               {2, 101, 2},
		"the bottom, at the end": {9, 99, 4},
	} {
		t.Run(name, func(t *testing.T) {
			w := &waitingRequest{arrivedAt: now, latestStart: now.Add(100 * time.Second)}
			w.Rank = test.rank
			assert.Equal(t, w.rankAt(now.Add(time.Duration(test.waitedPercent)*time.Second)), test.want)
		})
	}
}
