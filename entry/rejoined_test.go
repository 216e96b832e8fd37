package entry_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// TestStreamsTakenUpAfterAllInstancesDied guards against texts of two software versions:
// instances that have just started know neither a stream nor the engines that have left.
func TestStreamsTakenUpAfterAllInstancesDied(t *testing.T) {
	const streams, engines = 24, 3
	tests := map[string]struct {
		// before and after are the versions in service before and after all instances died.
		before, after []string
		// leaves announces each engine's end, and dropsHistory makes the store forget it.
		leaves, dropsHistory bool
		// goOn is the least share of the streams that must go on.
		goOn float64
	}{
		"one version":                        {before: []string{"v1"}, after: []string{"v1"}, goOn: 1},
		"one version, engines were replaced": {before: []string{"v1"}, after: []string{"v1"}, leaves: true, goOn: 1},
		"replaced by another version":        {before: []string{"v1"}, after: []string{"v2"}, leaves: true},
		"crashed, another version serves":    {before: []string{"v1"}, after: []string{"v2"}},
		"two versions serve":                 {before: []string{"v1", "v2"}, after: []string{"v1", "v2"}},
		"one of two versions has left":       {before: []string{"v1", "v2"}, after: []string{"v2"}, leaves: true},
		"replaced, history lost":             {before: []string{"v1"}, after: []string{"v2"}, leaves: true, dropsHistory: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			died := &versionFleet{fleet: startFleet(t, 1), engines: map[string][]*standin.Server{}}
			died.publishResumable(t)
			for _, version := range test.before {
				for range engines {
					died.addVersion(t, version)
				}
			}
			died.waitForEngine(t)
			broken := died.loseStreams(t, streams)
			for _, version := range test.before {
				if test.leaves || !contains(test.after, version) {
					died.replaceAll(t, version, replacement(test.after, version), test.leaves)
				}
			}
			if test.dropsHistory {
				died.store.DropHistory()
			}

			restarted := &versionFleet{fleet: startFleetWith(t, fleetOptions{instances: 2, dataCentres: 1, sharing: died.fleet}), engines: map[string][]*standin.Server{}}
			restarted.sent.Store(1 << 20)
			restarted.waitForEngine(t)
			restarted.takeUp(t, broken, test.goOn)
		})
	}
}

// brokenStream is a stream whose caller has lost it.
type brokenStream struct {
	id       string
	last     int
	versions map[string]bool
}

func contains(list []string, name string) bool {
	for _, other := range list {
		if other == name {
			return true
		}
	}
	return false
}

const (
	// streamTimeout is the time that callers give a stream.
	streamTimeout = 6 * time.Second
	// eventsRead is the number of events after which callers lose their streams.
	eventsRead = 5
)

// publishResumable publishes a table with a route of resumable streams.
func (f *versionFleet) publishResumable(t *testing.T) {
	t.Helper()
	route := standin.Route{Name: "one", Kind: "streaming", Service: model, MaxAttempts: 1, Resumable: true, Timeout: streamTimeout, Target: 1500 * time.Millisecond}
	assert.NilError(t, f.store.Publish(standin.Configuration{
		Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 20, KVCacheTokens: 40_000, Team: "team", Key: credential, Routes: []standin.Route{route},
	}))
}

// loseStreams begins streams, whose callers lose them.
func (f *versionFleet) loseStreams(t *testing.T, count int) []brokenStream {
	var readers sync.WaitGroup
	broken := make([]brokenStream, count)
	for n := range broken {
		readers.Go(func() { broken[n] = f.readSome(t, eventsRead) })
	}
	readers.Wait()
	return broken
}

// takeUp takes the streams up. None may hold events of two versions, and the given share must go
// on.
func (f *versionFleet) takeUp(t *testing.T, broken []brokenStream, minShare float64) {
	t.Helper()
	var readers sync.WaitGroup
	var takenUp, mixed atomic.Int64
	for n, stream := range broken {
		readers.Go(func() {
			again := standin.CallerRequest{ID: fmt.Sprintf("%x", f.sent.Add(1)), Key: credential, Timeout: streamTimeout, PromptTokens: 100, OutputTokens: 4 * versionEvents, Resumes: stream.id, LastEventID: stream.last}
			if _, began, _ := f.read(t, n%len(f.callers), again, "one", stream.versions); began {
				takenUp.Add(1)
			}
			if len(stream.versions) > 1 {
				mixed.Add(1)
			}
		})
	}
	readers.Wait()
	t.Logf("%d of %d went on, %d of two versions", takenUp.Load(), len(broken), mixed.Load())
	assert.Equal(t, mixed.Load(), int64(0))
	assert.Check(t, float64(takenUp.Load()) >= minShare*float64(len(broken)), "%d of %d went on", takenUp.Load(), len(broken))
}

// replacement returns the version by which another one is replaced.
func replacement(after []string, version string) string {
	if contains(after, version) {
		return version
	}
	return after[0]
}

// readSome reads a stream until an event, and loses it.
func (f *versionFleet) readSome(t *testing.T, lastWanted int) brokenStream {
	s := brokenStream{id: fmt.Sprintf("%x", f.sent.Add(1)), versions: map[string]bool{}}
	r := standin.CallerRequest{ID: s.id, Key: credential, Timeout: streamTimeout, PromptTokens: 100, OutputTokens: 4 * versionEvents, LastEventID: -1}
	var began bool
	s.last, began, _ = f.readUntil(t, lastWanted, 0, r, "one", s.versions)
	assert.Check(t, began)
	return s
}

// replaceAll replaces all engines of a version by those of another one.
func (f *versionFleet) replaceAll(t *testing.T, version, by string, leaves bool) {
	f.mu.Lock()
	old := f.engines[version]
	f.engines[version] = nil
	f.mu.Unlock()
	for _, s := range old {
		if leaves {
			s.Drain()
			assert.Check(t, f.store.AddEntry(s))
		}
		s.Crash()
		f.store.RemoveEntry(s.ID)
		f.addVersion(t, by)
	}
}

// waitForEngine waits until all instances serve streams.
func (f *versionFleet) waitForEngine(t *testing.T) {
	t.Helper()
	for n := range f.callers {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			r := standin.CallerRequest{ID: fmt.Sprintf("%x", f.sent.Add(1)), Key: credential, Timeout: 6 * time.Second, PromptTokens: 100, OutputTokens: 4, LastEventID: -1}
			if _, began, _ := f.read(t, n, r, "one", map[string]bool{}); began {
				break
			}
			assert.Assert(t, time.Now().Before(end), "instance %d serves no streams", n)
		}
	}
}
