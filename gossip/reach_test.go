package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
)

func TestDetours(t *testing.T) {
	const pool = "desk"
	local, remote := "a", "b"
	tests := map[string]struct {
		// reaching and lost are the numbers of members of each data centre that reach the
		// pool, or don't.
		reaching, lost map[string]int
		// first is the data centre of the first member if it is fixed; empty if not.
		first string
		want  int
	}{
		"nobody":                      {nil, map[string]int{local: 3, remote: 2}, "", 0},
		"local ones first":            {map[string]int{local: 3, remote: 3}, map[string]int{local: 1}, local, 6},
		"most local ones are lost":    {map[string]int{local: 1, remote: 5}, map[string]int{local: 5}, "", 6},
		"all local ones are lost":     {map[string]int{remote: 4}, map[string]int{local: 5}, remote, 4},
		"large fleet, few local":      {map[string]int{local: 1, remote: 40}, map[string]int{local: 5}, local, 41},
		"large fleet, nobody locally": {map[string]int{remote: 40}, map[string]int{local: 5}, remote, 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var members []Member
			dataCentres := map[netip.AddrPort]string{}
			add := func(counts map[string]int, lost []string) {
				for dataCentre, count := range counts {
					for range count {
						control := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8748", len(members)+1))
						dataCentres[control] = dataCentre
						members = append(members, Member{DataCentre: dataCentre, Control: control, LostPools: lost})
					}
				}
			}
			add(test.reaching, []string{"other"})
			add(test.lost, []string{pool})
			p := &Peers{options: Options{DataCentre: local}}
			p.reachable.Store(&members)
			firsts := map[string]int{}
			for range 100 {
				addrs := p.Detours(pool, nil)
				assert.Equal(t, len(addrs), test.want)
				if len(addrs) > 0 {
					firsts[dataCentres[addrs[0]]]++
				}
			}
			switch {
			case test.first != "":
				assert.Equal(t, firsts[test.first], 100)
			case test.want > 0:
				assert.Assert(t, firsts[remote] > 50, "%v", firsts)
			}
		})
	}
}

// membersSink records the live members of the local data centre.
type membersSink struct {
	*simulatedNode
	changes []decide.MembersChanged
}

func (s *membersSink) SetMembers(e decide.MembersChanged) { s.changes = append(s.changes, e) }

// TestInstanceThatHasJustStartedIsNoCoordinator checks when an instance may be chosen to
// coordinate upstreams: not before it has heard of the others, nor while it is stopping.
func TestInstanceThatHasJustStartedIsNoCoordinator(t *testing.T) {
	control := netip.MustParseAddrPort("10.0.0.1:8748")
	sink := &membersSink{simulatedNode: &simulatedNode{}}
	p := newPeers(Options{Name: "i1", DataCentre: "a", Control: control}, nil, sink)
	p.startedAt = time.Now()
	p.publishReachable()
	assert.Equal(t, len(sink.changes), 0)
	p.startedAt = time.Now().Add(-startupWait)
	p.publishReachable()
	p.publishReachable()
	assert.Equal(t, len(sink.changes), 1)
	assert.Equal(t, sink.changes[0].Self, control)
	p.stopping.Store(true)
	p.publishReachable()
	assert.Equal(t, len(sink.changes), 2)
	assert.Assert(t, !sink.changes[1].Self.IsValid())
}
