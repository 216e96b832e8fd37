package bench_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// membership is what the tests here look at of an instance's status.
type membership struct {
	Ready bool     `json:"ready"`
	Lacks []string `json:"lacks"`
	Peers []string `json:"peers"`
}

func membershipOf(ctx context.Context, fleet *bench.Fleet, p *bench.Process) membership {
	var m membership
	if content, err := fleet.Get(ctx, "http://"+p.Operators.String()+"/status"); err == nil {
		_ = json.Unmarshal(content, &m) // What is missing shows as not ready.
	}
	return m
}

// serves reports whether a short stream through the instance comes to its end.
func serves(ctx context.Context, p *bench.Process) bool {
	r := &bench.Reader{Credential: bench.Credential}
	err := r.Begin(ctx, http.DefaultClient, p.Addr, bench.DraftClass, "output_tokens=3")
	return err == nil && r.Done && len(r.Texts) == 3 && r.Check() == nil
}

func platformDown(fleet *bench.Fleet, f bench.Fault) {
	fleet.Configuration.Proxy.Set(bench.AllSources, f)
	fleet.Instance.Proxy.Set(bench.AllSources, f)
}

// A newcomer while the platform is down: by a seed it learns all that it needs
// from its peers, without one it says what it lacks.
func TestNewcomerWhilePlatformIsDown(t *testing.T) {
	tests := map[string]struct {
		seeds bool
		fault bench.Fault
	}{
		"with a seed, platform cut":    {true, bench.Cut},
		"with a seed, platform silent": {true, bench.Silence},
		"without a seed":               {false, bench.Cut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet, ctx := startFleet(t, bench.Plan{
				DataCentres: 1, Entries: 2, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true, Seeds: test.seeds,
			})
			platformDown(fleet, test.fault)
			p, err := fleet.StartEntry("entry-dc1-3", "dc1")
			assert.NilError(t, err)
			if !test.seeds {
				eventually(t, "it does not say what it lacks", func() bool {
					m := membershipOf(ctx, fleet, p)
					return !m.Ready && slices.Contains(m.Lacks, "instance_list") && slices.Contains(m.Lacks, "configuration")
				})
				platformDown(fleet, bench.Pass)
			}
			eventually(t, "it does not serve", func() bool { return membershipOf(ctx, fleet, p).Ready && serves(ctx, p) })
		})
	}
}

// All instances are replaced one by one, each stopped as planned and followed
// by a new incarnation, which must not be behind the one before it.
func TestWholeFleetIsReplacedOneByOne(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 3, Engines: 2, Services: 1, Step: 2 * time.Millisecond})
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
	for _, p := range fleet.Entries {
		assert.NilError(t, p.Stop(ctx))
		assert.NilError(t, fleet.Restart(p))
		assert.NilError(t, fleet.WaitReady(ctx, time.Now().Add(convergenceLimit)))
		status, err := fleet.Status(ctx, p)
		assert.NilError(t, err)
		assert.Equal(t, status.ConfigVersion, version)
		assert.Assert(t, serves(ctx, p))
	}
	checkConfigHistories(t, fleet)
}

// A data centre that is cut off from the others and from the platform serves
// what it can, and is of one mind with the others once it is back.
func TestCutOffDataCentreServes(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	partition(fleet, "dc2", bench.Silence)
	for _, p := range fleet.Entries {
		if p.DataCentre == "dc2" {
			fleet.Configuration.Proxy.Set(p.IP, bench.Silence)
			fleet.Instance.Proxy.Set(p.IP, bench.Silence)
		}
	}
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	until := time.Now().Add(8 * time.Second)
	for time.Now().Before(until) {
		for _, p := range fleet.Entries {
			assert.Assert(t, serves(ctx, p), p.Name)
		}
	}
	for _, p := range fleet.Entries {
		status, err := fleet.Status(ctx, p)
		assert.NilError(t, err)
		assert.Equal(t, status.ConfigVersion == version, p.DataCentre == "dc1", p.Name)
	}
	checkConvergence(ctx, t, fleet)
}

// The list names an instance that is long dead, and lacks one that lives.
func TestWrongInstanceList(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 3, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	dead := fleet.Entries[0]
	dead.Kill()
	unlisted, err := fleet.StartEntry("entry-dc1-4", "dc1")
	assert.NilError(t, err)
	living := fleet.Entries[1:]
	eventually(t, "the dead is still alive to others", func() bool {
		return !slices.ContainsFunc(living, func(p *bench.Process) bool {
			return slices.Contains(membershipOf(ctx, fleet, p).Peers, dead.Name)
		})
	})
	eventually(t, "the unlisted one is not known to its neighbours", func() bool {
		return slices.Contains(membershipOf(ctx, fleet, fleet.Entries[1]).Peers, unlisted.Name)
	})
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	for _, p := range living {
		eventually(t, p.Name+" lacks the change", func() bool {
			status, err := fleet.Status(ctx, p)
			return err == nil && status.ConfigVersion >= version
		})
		assert.Assert(t, serves(ctx, p), p.Name)
	}
}

// An instance that wakes from a long pause serves by what is true by then: the
// engine that left meanwhile gets nothing from it.
func TestWakingInstanceFollowsWhatItMissed(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 2, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	p, engine := fleet.Entries[0], fleet.Engines[0]
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	assert.NilError(t, fleet.StartLeaving(ctx, engine))
	eventually(t, "the other instance does not know", func() bool { return fleet.ReportsLeaving(ctx, fleet.Entries[1], engine.Name) })
	before, err := fleet.GenerationRequests(ctx, engine)
	assert.NilError(t, err)
	// These wait at the frozen instance, and are the first that it reads.
	var group sync.WaitGroup
	served := make([]bool, 20)
	for i := range served {
		group.Go(func() { served[i] = serves(ctx, p) })
	}
	time.Sleep(3 * time.Second) // Longer than the pause that counts as one.
	assert.NilError(t, p.Signal(syscall.SIGCONT))
	group.Wait()
	after, err := fleet.GenerationRequests(ctx, engine)
	assert.NilError(t, err)
	assert.Assert(t, !slices.Contains(served, false), "%v", served)
	assert.Equal(t, after, before, "the engine that left got work")
}

// A data centre that has lost the platform, but not the others, learns changes
// and signs of leaving from them.
func TestDataCentreWithoutPlatformLearnsFromPeers(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	for _, p := range fleet.Entries {
		if p.DataCentre == "dc2" {
			fleet.Configuration.Proxy.Set(p.IP, bench.Cut)
			fleet.Instance.Proxy.Set(p.IP, bench.Cut)
		}
	}
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitVersion(ctx, version, time.Now().Add(convergenceLimit)))
	for _, p := range fleet.Entries {
		if p.DataCentre != "dc2" {
			continue
		}
		changes, err := fleet.ConfigChanges(p)
		assert.NilError(t, err)
		assert.Assert(t, changes[len(changes)-1].Source != "configuration_service", p.Name)
	}
	left := fleet.Engines[0]
	assert.NilError(t, fleet.StartLeaving(ctx, left))
	for _, p := range fleet.Entries {
		eventually(t, p.Name+" knows that the engine leaves", func() bool { return fleet.ReportsLeaving(ctx, p, left.Name) })
		assert.Assert(t, serves(ctx, p), p.Name)
	}
}
