package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// convergenceLimit is the maximum time after which all instances of a fleet without
// faults have the same configuration. It is generous: the tests check that the fleet
// converges, and benchmarks measure the time.
const convergenceLimit = 30 * time.Second

// classValue returns a class's configuration value, which is different for every i.
func classValue(i int) string {
	return fmt.Sprintf(`{"kind": "read", "pool": "shop", "target": {"wait_ms": %d}}`, i+1)
}

// checkConvergence ends all faults, publishes another change, and checks that it
// becomes active on all instances and that no instance reverted to an older version.
func checkConvergence(ctx context.Context, t *testing.T, fleet *bench.Fleet) {
	t.Helper()
	for _, p := range append([]*bench.Process{fleet.ConfigService, fleet.InstanceList}, fleet.Entries...) {
		p.Proxy.Heal()
		if p.PeerProxy != nil {
			p.PeerProxy.Heal()
		}
		assert.NilError(t, p.Signal(syscall.SIGCONT))
	}
	assert.NilError(t, fleet.SetConfigStale(ctx, false))
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(999))
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
	checkConfigHistories(t, fleet)
}

// checkConfigHistories checks in every instance's audit trail that its
// configuration never reverted.
func checkConfigHistories(t *testing.T, fleet *bench.Fleet) {
	t.Helper()
	for _, p := range fleet.Entries {
		changes, err := fleet.ConfigChanges(p)
		assert.NilError(t, err)
		assert.Assert(t, len(changes) > 0, "%s must activate a configuration", p.Name)
		assert.NilError(t, bench.CheckNoRevert(changes), p.Name)
		for _, c := range changes {
			assert.Assert(t, !c.SeenAt.IsZero() && !c.ActiveAt.Before(c.SeenAt), "%s: %+v", p.Name, c)
		}
	}
}

// partition applies a fault to the connections between a data centre and the others.
// The connections to the platform are not affected.
func partition(fleet *bench.Fleet, dataCentre string, f bench.LinkFault) {
	for _, a := range fleet.Entries {
		for _, b := range fleet.Entries {
			if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
				b.PeerProxy.Set(a.IP, f)
			}
		}
	}
}

// TestConfigNeverReverts checks that no incarnation reverts to an older
// configuration under random faults and concurrent changes.
func TestConfigNeverReverts(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 3, Engines: 1, Services: 1, Step: time.Second, Proxies: true})
	random := rand.New(rand.NewPCG(1, 2))
	faults := []bench.LinkFault{bench.Pass, bench.Cut, bench.Silence, bench.SilenceAnswers}
	// A second operator concurrently changes another value.
	concurrent, stopConcurrent := context.WithCancel(ctx)
	var operator sync.WaitGroup
	operator.Go(func() {
		for i := 0; concurrent.Err() == nil; i++ {
			if _, err := fleet.ChangeConfig(concurrent, "classes/"+bench.PurchaseClass, strings.Replace(classValue(i), "read", "charge", 1)); err != nil {
				return // The context was cancelled. There are no faults on this path.
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range 60 {
		p := fleet.Entries[random.IntN(len(fleet.Entries))]
		f := faults[random.IntN(len(faults))]
		switch random.IntN(7) {
		case 0:
			fleet.ConfigService.Proxy.Set(p.IP, f)
		case 1:
			partition(fleet, "dc1", f)
		case 2:
			assert.NilError(t, fleet.SetConfigStale(ctx, f != bench.Pass))
		case 3:
			assert.NilError(t, p.Signal(syscall.SIGSTOP))
		case 4:
			assert.NilError(t, p.Signal(syscall.SIGCONT))
		case 5:
			p.Kill()
			assert.NilError(t, fleet.Restart(p))
		case 6:
			_, err := fleet.ChangeConfig(ctx, "pools/extra", `{"unknown": 1}`)
			assert.NilError(t, err)
			_, err = fleet.RemoveConfig(ctx, "pools/extra")
			assert.NilError(t, err)
		}
		_, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(i))
		assert.NilError(t, err)
		time.Sleep(150 * time.Millisecond)
	}
	stopConcurrent()
	operator.Wait()
	checkConvergence(ctx, t, fleet)
}

// TestRestartedInstanceGetsLatestConfigFromPeers checks that a new incarnation gets
// the latest configuration although the configuration service does not supply it.
func TestRestartedInstanceGetsLatestConfigFromPeers(t *testing.T) {
	tests := map[string]func(ctx context.Context, t *testing.T, fleet *bench.Fleet) error{
		"restored from a backup": func(ctx context.Context, _ *testing.T, fleet *bench.Fleet) error {
			return fleet.RestoreConfig(ctx, 2)
		},
		"stale": func(ctx context.Context, _ *testing.T, fleet *bench.Fleet) error {
			if err := fleet.SetConfigStale(ctx, true); err != nil {
				return err
			}
			_, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(1))
			return err
		},
		"down": func(_ context.Context, _ *testing.T, fleet *bench.Fleet) error {
			fleet.ConfigService.Proxy.Set(bench.AllSources, bench.Cut)
			return nil
		},
		"silent": func(_ context.Context, _ *testing.T, fleet *bench.Fleet) error {
			fleet.ConfigService.Proxy.Set(bench.AllSources, bench.Silence)
			return nil
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Services: 1, Step: time.Second, Proxies: true})
			version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
			assert.NilError(t, err)
			assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
			assert.NilError(t, fault(ctx, t, fleet))
			// A new incarnation has no stored configuration: it can read one only from
			// the service or from its peers.
			p := fleet.Entries[0]
			p.Kill()
			assert.NilError(t, fleet.Restart(p))
			assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(convergenceLimit)))
			status, err := fleet.Status(ctx, p)
			assert.NilError(t, err)
			assert.Equal(t, status.ConfigVersion, version)
			checkConfigHistories(t, fleet)
		})
	}
}

// TestEveryInstanceRefusesInvalidConfig checks that all instances refuse an invalid
// document, don't read it repeatedly, and accept the next valid one.
func TestEveryInstanceRefusesInvalidConfig(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: time.Second})
	before, err := fleet.Status(ctx, fleet.Entries[0])
	assert.NilError(t, err)
	readsBefore, err := fleet.ConfigReads(ctx)
	assert.NilError(t, err)
	for _, value := range []string{`{"unknown": 1}`, string(slices.Repeat([]byte(" "), 3<<20))} {
		_, err = fleet.ChangeConfig(ctx, "pools/extra", value)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		for _, p := range fleet.Entries {
			status, err := fleet.Status(ctx, p)
			assert.NilError(t, err)
			assert.Equal(t, status.ConfigVersion, before.ConfigVersion, p.Name)
		}
	}
	readsAfter, err := fleet.ConfigReads(ctx)
	assert.NilError(t, err)
	// All four instances read from the service: each starts a watch every 2 s and
	// reads one value per document. The fallback adds a few reads. Reading the refused
	// document in a loop would add hundreds.
	assert.Assert(t, readsAfter-readsBefore < 80, "got %d reads, want fewer than 80", readsAfter-readsBefore)
	version, err := fleet.RemoveConfig(ctx, "pools/extra")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
	checkConfigHistories(t, fleet)
}

// TestEveryInstanceRemovesRemovedKey checks that instances that get a change from a
// peer also remove a removed key.
func TestEveryInstanceRemovesRemovedKey(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 4, Engines: 1, Services: 1, Step: time.Second})
	// In each data centre two instances, called readers, read changes from the service
	// and the others get them from these. Just after the start, more than two can still
	// have a watch open. The removal is therefore repeated until an instance gets it
	// from a peer.
	deadline := time.Now().Add(convergenceLimit)
	for !removeExtra(ctx, t, fleet) {
		assert.Assert(t, time.Now().Before(deadline), "an instance must get a removal from a peer")
	}
	checkConfigHistories(t, fleet)
}

// removeExtra adds and removes a key, and reports whether an instance got the
// removal from a peer.
func removeExtra(ctx context.Context, t *testing.T, fleet *bench.Fleet) (fromPeer bool) {
	t.Helper()
	added, err := fleet.ChangeConfig(ctx, "pools/extra", `{}`)
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, added, time.Now().Add(convergenceLimit)))
	version, err := fleet.RemoveConfig(ctx, "pools/extra")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
	digests := map[string]bool{}
	for _, p := range fleet.Entries {
		changes, err := fleet.ConfigChanges(p)
		assert.NilError(t, err)
		latest := changes[len(changes)-1]
		assert.Equal(t, latest.Version, version)
		assert.DeepEqual(t, latest.Removed, []string{"pools/extra"})
		digests[latest.Digest] = true
		fromPeer = fromPeer || latest.Source != "configuration_service"
	}
	assert.Equal(t, len(digests), 1)
	return fromPeer
}

func TestCheckNoRevert(t *testing.T) {
	tests := map[string]struct {
		changes []bench.ConfigChange
		reverts bool
	}{
		"nothing":                      {nil, false},
		"rising":                       {[]bench.ConfigChange{{Version: 1}, {Version: 3}}, false},
		"falling":                      {[]bench.ConfigChange{{Version: 3}, {Version: 1}}, true},
		"the same again":               {[]bench.ConfigChange{{Version: 3}, {Version: 3}}, true},
		"a larger digest":              {[]bench.ConfigChange{{Version: 3, Digest: "a"}, {Version: 3, Digest: "b"}}, false},
		"lower in another incarnation": {[]bench.ConfigChange{{Version: 3, Incarnation: 1}, {Version: 1, Incarnation: 2}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, bench.CheckNoRevert(test.changes) != nil, test.reverts)
		})
	}
}

// TestFleetStartStaysWithinServiceReadRate checks that a fleet whose instances all
// start at the same time doesn't overload the configuration service: in each data
// centre only the two readers read all values from the service, and the other
// instances from peers.
func TestFleetStartStaysWithinServiceReadRate(t *testing.T) {
	results, err := bench.MeasureRestart(t.Context(), bench.RestartPlan{Bin: bin, DataCentres: 2, Entries: 5, Teams: 1000})
	assert.NilError(t, err)
	// The 4 readers read a burst of 10 values, then 20 per second, with one index read
	// for each of these two. The 6 others read a burst of 2, then one in 2 s. There are
	// 10 initial reads. The limit is twice the sum.
	assert.Assert(t, results.PeakReads <= 2*(4*(10+20+2)+6*(2+1)+10), "%+v", results)
	assert.Assert(t, results.Reads >= 256, "%+v", results)
}
