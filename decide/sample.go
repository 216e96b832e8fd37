package decide

import (
	"math"
	"slices"

	"mangoloft/ident"
)

// maxSampled is the maximum number of upstreams whose memory is forecast for
// one decision.
const maxSampled = 12

// remoteSampled is the number of sampled upstreams that are in other data
// centres, if the local data centre has enough.
const remoteSampled = 3

// sample returns a subset of the upstreams, mostly from the local data centre.
// Each attempt to place a request gets a different subset.
func (s *Scheduler) sample(all []*upstream, id ident.Request, attempt uint64) []*upstream {
	if len(all) <= maxSampled {
		return all
	}
	var local, remote []*upstream
	for _, u := range all {
		if s.isLocal(u) {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	if len(local) == 0 || len(remote) == 0 {
		return sampleByHash(all, maxSampled, id, attempt)
	}
	sampled := sampleByHash(local, maxSampled-remoteSampled, id, attempt)
	return append(sampled, sampleByHash(remote, maxSampled-len(sampled), id, attempt)...)
}

// sampleByHash returns a pseudo-random subset of at most the given size.
func sampleByHash(all []*upstream, size int, id ident.Request, attempt uint64) []*upstream {
	if len(all) <= size {
		return slices.Clone(all)
	}
	type ranked struct {
		upstream *upstream
		rank     float64
	}
	var lowest [maxSampled]ranked
	count := 0
	for _, u := range all {
		entry := ranked{u, hashFraction(id, ^u.hash+attempt)}
		if count == size && entry.rank >= lowest[count-1].rank {
			continue
		}
		count = min(count+1, size)
		i := count - 1
		for ; i > 0 && lowest[i-1].rank > entry.rank; i-- {
			lowest[i] = lowest[i-1]
		}
		lowest[i] = entry
	}
	sampled := make([]*upstream, count)
	for i, entry := range lowest[:count] {
		sampled[i] = entry.upstream
	}
	return sampled
}

// weightedRendezvous chooses an upstream by weighted rendezvous hashing: the
// probability of each upstream is in proportion to its weight, and the choice
// is deterministic for a request.
type weightedRendezvous struct {
	id        ident.Request
	best      *upstream
	bestScore float64
}

func (r *weightedRendezvous) consider(u *upstream, weight float64) {
	if weight <= 0 {
		weight = math.SmallestNonzeroFloat32
	}
	// If each upstream draws an exponential variable with its weight as the rate,
	// the probability of being the minimum is in proportion to the weight.
	if score := -math.Log(hashFraction(r.id, u.hash)) / weight; r.best == nil || score < r.bestScore {
		r.best, r.bestScore = u, score
	}
}

// hashFraction returns a number in (0, 1) that depends only on the request and
// the salt.
func hashFraction(id ident.Request, salt uint64) float64 {
	x := hashMix(uint64(id.Home.Incarnation) ^ id.Sequence*0x9e3779b97f4a7c15 ^ salt)
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// hashMix returns a hash of x in which all bits depend on all bits of x.
func hashMix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
