package entry_test

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/platform/standin"
)

// TestStreamsTakenUpAtAnInstanceOutOfStep guards against texts of two software versions: an
// instance that has not seen engines of a new version join takes up streams that began there.
func TestStreamsTakenUpAtAnInstanceOutOfStep(t *testing.T) {
	const (
		streams, engines = 24, 3
		// eventsRead is the number of events after which the callers lose their streams.
		eventsRead = 5
		timeout    = 6 * time.Second
	)
	tests := map[string]struct {
		// joins is the version of the engines that join while the instance is out of step.
		joins string
		// storeIsBack lets the instance reach the store again before the streams are taken up.
		storeIsBack bool
		// goOn is the least share of the streams that must go on.
		goOn float64
	}{
		"another version joins, store unreachable":  {joins: "v2"},
		"another version joins, store back":         {joins: "v2", storeIsBack: true},
		"the same version joins, store unreachable": {joins: "v1"},
		"the same version joins, store back":        {joins: "v1", storeIsBack: true, goOn: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inStep := &versionFleet{fleet: startFleet(t, 1), engines: map[string][]*standin.Server{}}
			route := standin.Route{Name: "one", Kind: "streaming", Service: model, MaxAttempts: 1, Resumable: true, Timeout: timeout, Target: 1500 * time.Millisecond}
			assert.NilError(t, inStep.store.Publish(standin.Configuration{
				Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 20, KVCacheTokens: 40_000, Team: "team", Key: credential, Routes: []standin.Route{route},
			}))
			for range engines {
				inStep.addVersion(t, "v1")
			}
			inStep.waitForEngine(t)
			// An instance of its own fleet is cut off from all others.
			outOfStep := &versionFleet{fleet: startFleetWith(t, fleetOptions{instances: 1, dataCentres: 1, sharing: inStep.fleet, hasOwnProxies: true}), engines: map[string][]*standin.Server{}}
			outOfStep.sent.Store(1 << 20)
			outOfStep.waitForEngine(t)
			// From now on it knows which engines served when the streams began.
			sleepUntilDone(t, timeout)

			outOfStep.ownProxies[0].Set(netip.MustParseAddr("127.0.0.1"), bench.Silence)
			for range engines {
				inStep.addVersion(t, test.joins)
			}
			time.Sleep(settle)
			var readers sync.WaitGroup
			broken := make([]brokenStream, streams)
			for n := range broken {
				readers.Go(func() { broken[n] = inStep.readSome(t, eventsRead) })
			}
			readers.Wait()
			if test.storeIsBack {
				outOfStep.ownProxies[0].Heal()
			}
			var takenUp, mixed atomic.Int64
			for _, stream := range broken {
				readers.Go(func() {
					again := standin.CallerRequest{ID: fmt.Sprintf("%x", outOfStep.sent.Add(1)), Key: credential, Timeout: timeout, PromptTokens: 100, OutputTokens: 4 * versionEvents, Resumes: stream.id, LastEventID: stream.last}
					if _, began, _ := outOfStep.read(t, 0, again, "one", stream.versions); began {
						takenUp.Add(1)
					}
					if len(stream.versions) > 1 {
						mixed.Add(1)
					}
				})
			}
			readers.Wait()
			t.Logf("%d of %d went on, %d of two versions", takenUp.Load(), streams, mixed.Load())
			assert.Equal(t, mixed.Load(), int64(0))
			assert.Check(t, float64(takenUp.Load()) >= test.goOn*streams, "%d of %d went on", takenUp.Load(), streams)
		})
	}
}
