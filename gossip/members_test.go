package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/gossip"
	"mangoloft/history"
)

var start = time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n % 256)}), 7200)
}

func member(n int, dataCentre string) gossip.Member {
	return gossip.Member{Name: fmt.Sprint("m", n), Addr: addr(n), DataCentre: dataCentre, Incarnation: 1}
}

// fleet returns the table of an instance in data centre a whose address is
// addr(100).
func fleet(members ...gossip.Member) *gossip.MemberTable {
	table := gossip.NewMemberTable(addr(100), "a")
	for _, m := range members {
		table.Update(start, m)
	}
	return table
}

func TestShouldReadStore(t *testing.T) {
	lost := member(1, "a")
	lost.StoreLost = true
	var lower, higher, lostMembers []gossip.Member
	for n := 1; n <= 8; n++ {
		lostMember := member(n, "a")
		lostMember.StoreLost = true
		lostMembers = append(lostMembers, lostMember)
		lower = append(lower, member(n, "a"))
		higher = append(higher, member(200+n, "a"))
	}
	tests := map[string]struct {
		table     *gossip.MemberTable
		storeLost bool
		want      bool
	}{
		"the only instance":                          {fleet(), false, true},
		"the others are in other data centres":       {fleet(member(1, "b"), member(2, "c")), false, true},
		"another has a lower address":                {fleet(member(1, "a")), false, false},
		"the lower address cannot read the store":    {fleet(lost), false, true},
		"another has a higher address":               {fleet(member(200, "a")), false, true},
		"the instance itself cannot read the store":  {fleet(member(1, "a")), true, false},
		"the only instance cannot read the store":    {fleet(member(1, "b")), true, true},
		"none can read, another has a lower address": {fleet(lost), true, true},
		"none can read, many have lower addresses":   {fleet(lostMembers...), true, false},
		"many have lower addresses":                  {fleet(lower...), false, false},
		"second lowest of many":                      {fleet(append(higher, member(1, "a"))...), false, true},
		"third lowest of many":                       {fleet(append(higher, member(1, "a"), member(2, "a"))...), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.table.ShouldReadStore(test.storeLost), test.want) })
	}
}

// TestSilentMembers checks that a silent member is replaced as the reader, joins
// again when it returns, and is removed after a longer silence.
func TestSilentMembers(t *testing.T) {
	table := fleet(member(1, "a"))
	assert.Assert(t, !table.ShouldReadStore(false))
	assert.Equal(t, len(table.Expire(start.Add(2*time.Second))), 0)
	lost := table.Expire(start.Add(3 * time.Second))
	assert.Equal(t, len(lost), 1)
	assert.Assert(t, table.ShouldReadStore(false), "the instance must replace the silent reader")
	assert.Equal(t, len(table.SilentAddresses(9)), 1)
	assert.Assert(t, table.Update(start.Add(4*time.Second), member(1, "a")), "the returned member must be reported as joined")
	assert.Assert(t, !table.ShouldReadStore(false))
	assert.Equal(t, len(table.Expire(start.Add(10*time.Minute))), 1)
	table.Expire(start.Add(11 * time.Minute))
	assert.Equal(t, len(table.SilentAddresses(9)), 0, "the silent member must be removed")
}

// TestDelayedDatagramOfEarlierProcess checks that a delayed datagram of an earlier
// process at the same address neither replaces nor removes the later process.
func TestDelayedDatagramOfEarlierProcess(t *testing.T) {
	table := fleet()
	later := member(1, "a")
	later.Incarnation, later.TableVersion = 2, 9
	table.Update(start, later)
	earlier := member(1, "a")
	earlier.TableVersion = 12
	assert.Assert(t, !table.Update(start, earlier))
	_, found := table.FindNewer(9, history.Position{}, false, skipNone)
	assert.Assert(t, !found)
	table.Remove(addr(1), 1)
	assert.Equal(t, table.Count(), 1, "the stop of an earlier process must not remove the later one")
	table.Remove(addr(1), 2)
	assert.Equal(t, table.Count(), 0)
}

func skipNone(gossip.Member) bool { return false }

func TestFindNewerSkipsMembers(t *testing.T) {
	local, remote := member(1, "a"), member(2, "b")
	local.TableVersion, remote.TableVersion = 5, 5
	m, ok := fleet(local, remote).FindNewer(4, history.Position{}, false, func(m gossip.Member) bool { return m.Name == "m1" })
	assert.Assert(t, ok)
	assert.Equal(t, m.Name, "m2")
}

func TestFindNewer(t *testing.T) {
	local, remote := member(1, "a"), member(2, "b")
	local.TableVersion, local.ListPosition = 5, history.Position{Era: 1, Revision: 50}
	remote.TableVersion, remote.ListPosition = 6, history.Position{Era: 1, Revision: 60}
	tests := map[string]struct {
		version, revision uint64
		wantList          bool
		want              string
		// era is the era of the list; 0 stands for that of the members.
		era uint64
	}{
		"both are newer":                  {4, 40, true, "m1", 0},
		"only the remote one is newer":    {5, 50, true, "m2", 0},
		"only the remote list is newer":   {6, 55, true, "m2", 0},
		"newer list is not wanted":        {6, 55, false, "", 0},
		"none is newer":                   {6, 60, true, "", 0},
		"the local list is newer":         {6, 45, true, "m1", 0},
		"the lists are of an earlier era": {6, 45, true, "", 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, ok := fleet(local, remote).FindNewer(test.version, history.Position{Era: max(1, test.era), Revision: test.revision}, test.wantList, skipNone)
			assert.Equal(t, ok, test.want != "")
			assert.Equal(t, m.Name, test.want)
		})
	}
}

// TestBroadcastGroup checks that an instance of a large fleet broadcasts only within its
// data centre, so that its traffic does not grow with the fleet.
func TestBroadcastGroup(t *testing.T) {
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

// TestListCurrent checks that the list counts as current as long as any instance reads
// it, also of another data centre.
func TestListCurrent(t *testing.T) {
	reader, remoteReader := member(1, "a"), member(2, "b")
	reader.ReadsStore = true
	remoteReader.ReadsStore, remoteReader.ListCurrent, remoteReader.LocalCount = true, true, 3
	tests := map[string]struct {
		table     *gossip.MemberTable
		selfReads bool
		after     time.Duration
		want      bool
	}{
		"nobody reads it":                 {fleet(member(1, "a"), member(2, "b")), false, 0, false},
		"this instance reads it":          {fleet(), true, 0, true},
		"a local instance reads it":       {fleet(reader), false, 0, true},
		"another data centre reads it":    {fleet(remoteReader), false, 0, true},
		"the other data centre is silent": {fleet(remoteReader), false, 5 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start.Add(test.after)
			test.table.Expire(now)
			assert.Equal(t, test.table.ListCurrent(now, test.selfReads), test.want)
		})
	}
}

// TestReportsDoNotCirculate checks that two instances which tell each other of a data
// centre that has become unreachable don't keep it reading the list.
func TestReportsDoNotCirculate(t *testing.T) {
	remote := member(2, "b")
	remote.ListCurrent, remote.LocalCount = true, 40
	first, second := fleet(remote), fleet(member(1, "a"))
	now := start
	for range 10 {
		now = now.Add(time.Second)
		for _, pair := range [][2]*gossip.MemberTable{{first, second}, {second, first}} {
			pair[0].RemoteDataCentres(now, func(name string, count int, relays []netip.AddrPort, readsStore bool) {
				pair[1].UpdateDataCentre(now, name, count, relays, readsStore)
			})
		}
	}
	for _, table := range []*gossip.MemberTable{first, second} {
		assert.Assert(t, !table.ListCurrent(now, false))
		assert.Assert(t, table.FleetSize() > 40, "the size is kept for longer")
	}
}
