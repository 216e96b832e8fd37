package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/gossip"
)

var start = time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n % 256)}), 7200)
}

func member(n int, dataCentre string) gossip.Member {
	return gossip.Member{Name: fmt.Sprint("m", n), Addr: addr(n), DataCentre: dataCentre, Incarnation: 1}
}

// fleet returns the table of instance 100, in data centre a.
func fleet(members ...gossip.Member) *gossip.Table {
	table := gossip.NewTable(addr(100), "a")
	for _, m := range members {
		table.Update(start, m)
	}
	return table
}

func TestReads(t *testing.T) {
	lost := member(1, "a")
	lost.StoreLost = true
	var crowd, crowdAfter []gossip.Member
	for n := 1; n <= 8; n++ {
		crowd = append(crowd, member(n, "a"))
		crowdAfter = append(crowdAfter, member(200+n, "a"))
	}
	tests := map[string]struct {
		table     *gossip.Table
		storeLost bool
		want      bool
	}{
		"alone":                        {fleet(), false, true},
		"others in other data centres": {fleet(member(1, "b"), member(2, "c")), false, true},
		"one before it":                {fleet(member(1, "a")), false, false},
		"the one before has no store":  {fleet(lost), false, true},
		"one after it":                 {fleet(member(200, "a")), false, true},
		"itself has no store":          {fleet(member(1, "a")), true, true},
		"many before it":               {fleet(crowd...), false, false},
		"second of many":               {fleet(append(crowdAfter, member(1, "a"))...), false, true},
		"third of many":                {fleet(append(crowdAfter, member(1, "a"), member(2, "a"))...), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.table.ShouldReadStore(test.storeLost), test.want) })
	}
}

func TestSilentMembers(t *testing.T) {
	table := fleet(member(1, "a"))
	assert.Assert(t, !table.ShouldReadStore(false))
	assert.Equal(t, len(table.Expire(start.Add(2*time.Second))), 0)
	lost := table.Expire(start.Add(3 * time.Second))
	assert.Equal(t, len(lost), 1)
	assert.Assert(t, table.ShouldReadStore(false), "it reads in the place of the silent one")
	assert.Equal(t, len(table.SilentAddresses()), 1)
	assert.Assert(t, table.Update(start.Add(4*time.Second), member(1, "a")), "it is back")
	assert.Assert(t, !table.ShouldReadStore(false))
	assert.Equal(t, len(table.Expire(start.Add(10*time.Minute))), 1)
	table.Expire(start.Add(11 * time.Minute))
	assert.Equal(t, len(table.SilentAddresses()), 0, "it is forgotten")
}

func TestLateDatagramOfAnEarlierProcess(t *testing.T) {
	table := fleet()
	later := member(1, "a")
	later.Incarnation, later.TableVersion = 2, 9
	table.Update(start, later)
	earlier := member(1, "a")
	earlier.TableVersion = 12
	assert.Assert(t, !table.Update(start, earlier))
	_, ahead := table.FindNewer(9, 0, false)
	assert.Assert(t, !ahead)
	table.Remove(addr(1), 1)
	assert.Equal(t, table.Count(), 1, "the stop of the earlier process is not that of the later")
	table.Remove(addr(1), 2)
	assert.Equal(t, table.Count(), 0)
}

func TestAhead(t *testing.T) {
	near, far := member(1, "a"), member(2, "b")
	near.TableVersion, near.ListRevision = 5, 50
	far.TableVersion, far.ListRevision = 6, 60
	tests := map[string]struct {
		version, revision uint64
		wantList          bool
		want              string
	}{
		"both are ahead":            {4, 40, true, "m1"},
		"only the far one":          {5, 50, true, "m2"},
		"only by the list":          {6, 55, true, "m2"},
		"the list isn't wanted":     {6, 55, false, ""},
		"nobody":                    {6, 60, true, ""},
		"the near one, by its list": {6, 45, true, "m1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, ok := fleet(near, far).FindNewer(test.version, test.revision, test.wantList)
			assert.Equal(t, ok, test.want != "")
			assert.Equal(t, m.Name, test.want)
		})
	}
}

// TestGroup holds that what an instance sends doesn't grow with a large fleet.
func TestGroup(t *testing.T) {
	small := fleet(member(1, "a"), member(2, "b"))
	assert.Equal(t, len(small.BroadcastGroup()), 2)
	assert.Equal(t, len(small.RemoteMembers()), 0)
	var members []gossip.Member
	for n := 1; n <= 40; n++ {
		members = append(members, member(n, string(rune('a'+n%4))))
	}
	large := fleet(members...)
	assert.Equal(t, len(large.BroadcastGroup()), 10)
	assert.Equal(t, len(large.RemoteMembers()), 30)
}
