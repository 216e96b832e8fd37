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

// membership contains the fields of an instance's status that these tests use.
type membership struct {
	Ready                bool     `json:"ready"`
	MissingPrerequisites []string `json:"lacks"`
	Peers                []string `json:"peers"`
}

// membershipOf reads the membership of an instance. If the status can't be read, the
// result is empty.
func membershipOf(ctx context.Context, fleet *bench.Fleet, p *bench.Process) membership {
	var m membership
	if content, err := fleet.Get(ctx, "http://"+p.OperatorAddr.String()+"/status"); err == nil {
		_ = json.Unmarshal(content, &m) // Without the field ready, the instance counts as not ready.
	}
	return m
}

// serves reports whether a short stream through the instance completes.
func serves(ctx context.Context, p *bench.Process) bool {
	r := &bench.Reader{Credential: bench.Credential}
	err := r.Begin(ctx, http.DefaultClient, p.Addr, bench.DraftClass, "output_tokens=3")
	return err == nil && r.Done && len(r.Texts) == 3 && r.Check() == nil
}

func setPlatformFault(fleet *bench.Fleet, f bench.LinkFault) {
	fleet.ConfigService.Proxy.Set(bench.AllSources, f)
	fleet.InstanceList.Proxy.Set(bench.AllSources, f)
}

// TestNewInstanceWhilePlatformIsDown starts an instance while the platform is down.
// With a seed, it gets the instance list and the configuration from its peers.
// Without a seed, its status lists both as missing until the platform is back.
func TestNewInstanceWhilePlatformIsDown(t *testing.T) {
	tests := map[string]struct {
		seeds bool
		fault bench.LinkFault
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
			setPlatformFault(fleet, test.fault)
			p, err := fleet.StartEntry("entry-dc1-3", "dc1")
			assert.NilError(t, err)
			if !test.seeds {
				eventually(t, "the status lists the missing prerequisites", func() bool {
					m := membershipOf(ctx, fleet, p)
					return !m.Ready && slices.Contains(m.MissingPrerequisites, "instance_list") && slices.Contains(m.MissingPrerequisites, "configuration")
				})
				setPlatformFault(fleet, bench.Pass)
			}
			eventually(t, "the instance serves", func() bool { return membershipOf(ctx, fleet, p).Ready && serves(ctx, p) })
		})
	}
}

// TestWholeFleetIsRestartedOneByOne stops and restarts one instance after another.
// A new incarnation must not have an older configuration than its predecessor.
func TestWholeFleetIsRestartedOneByOne(t *testing.T) {
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

// TestCutOffDataCentreServes checks that a data centre without connections to the
// others and to the platform continues to serve requests, and converges with the
// others once it is connected again.
func TestCutOffDataCentreServes(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	partition(fleet, "dc2", bench.Silence)
	for _, p := range fleet.Entries {
		if p.DataCentre == "dc2" {
			fleet.ConfigService.Proxy.Set(p.IP, bench.Silence)
			fleet.InstanceList.Proxy.Set(p.IP, bench.Silence)
		}
	}
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	end := time.Now().Add(8 * time.Second)
	for time.Now().Before(end) {
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

// TestWrongInstanceList checks that heartbeats correct an instance list that contains
// a dead instance and lacks a live one.
func TestWrongInstanceList(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 3, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	dead := fleet.Entries[0]
	dead.Kill()
	unlisted, err := fleet.StartEntry("entry-dc1-4", "dc1")
	assert.NilError(t, err)
	alive := fleet.Entries[1:]
	eventually(t, "no other instance lists the dead one as a peer", func() bool {
		return !slices.ContainsFunc(alive, func(p *bench.Process) bool {
			return slices.Contains(membershipOf(ctx, fleet, p).Peers, dead.Name)
		})
	})
	eventually(t, "an instance of its data centre lists the unlisted instance as a peer", func() bool {
		return slices.Contains(membershipOf(ctx, fleet, fleet.Entries[1]).Peers, unlisted.Name)
	})
	version, err := fleet.ChangeConfig(ctx, "classes/"+bench.ReadClass, classValue(0))
	assert.NilError(t, err)
	for _, p := range alive {
		eventually(t, p.Name+" has the change", func() bool {
			status, err := fleet.Status(ctx, p)
			return err == nil && status.ConfigVersion >= version
		})
		assert.Assert(t, serves(ctx, p), p.Name)
	}
}

// TestResumedInstanceUsesCurrentState checks that an instance that resumes after a
// long pause sends nothing to an engine that started leaving during the pause.
func TestResumedInstanceUsesCurrentState(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 2, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	p, engine := fleet.Entries[0], fleet.Engines[0]
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	assert.NilError(t, fleet.StartLeaving(ctx, engine))
	eventually(t, "the other instance treats the engine as leaving", func() bool { return fleet.ReportsLeaving(ctx, fleet.Entries[1], engine.Name) })
	before, err := fleet.GenerationRequests(ctx, engine)
	assert.NilError(t, err)
	// These requests are queued on the frozen instance's sockets. It reads them first
	// when it resumes.
	var group sync.WaitGroup
	served := make([]bool, 20)
	for i := range served {
		group.Go(func() { served[i] = serves(ctx, p) })
	}
	time.Sleep(3 * time.Second) // Longer than the threshold for detecting a pause.
	assert.NilError(t, p.Signal(syscall.SIGCONT))
	group.Wait()
	after, err := fleet.GenerationRequests(ctx, engine)
	assert.NilError(t, err)
	assert.Assert(t, !slices.Contains(served, false), "%v", served)
	assert.Equal(t, after, before, "the leaving engine must receive no requests")
}

// TestDataCentreWithoutPlatformGetsUpdatesFromPeers checks that a data centre that
// can't reach the platform gets configuration changes and announcements of leaving
// engines from its peers in other data centres.
func TestDataCentreWithoutPlatformGetsUpdatesFromPeers(t *testing.T) {
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: 2 * time.Millisecond, Proxies: true})
	for _, p := range fleet.Entries {
		if p.DataCentre == "dc2" {
			fleet.ConfigService.Proxy.Set(p.IP, bench.Cut)
			fleet.InstanceList.Proxy.Set(p.IP, bench.Cut)
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
	leaving := fleet.Engines[0]
	assert.NilError(t, fleet.StartLeaving(ctx, leaving))
	for _, p := range fleet.Entries {
		eventually(t, p.Name+" treats the engine as leaving", func() bool { return fleet.ReportsLeaving(ctx, p, leaving.Name) })
		assert.Assert(t, serves(ctx, p), p.Name)
	}
}
