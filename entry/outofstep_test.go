package entry_test

import (
	"net/netip"
	"testing"
	"time"

	"mangoloft/bench"
	"mangoloft/platform/standin"
)

// TestStreamsTakenUpAtAnInstanceOutOfStep guards against texts of two software versions: an
// instance that has not seen engines of a new version join takes up streams that began there.
func TestStreamsTakenUpAtAnInstanceOutOfStep(t *testing.T) {
	const streams, engines = 24, 3
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
			inStep.publishResumable(t)
			for range engines {
				inStep.addVersion(t, "v1")
			}
			inStep.waitForEngine(t)
			// An instance of its own fleet is cut off from all others.
			outOfStep := &versionFleet{fleet: startFleetWith(t, fleetOptions{instances: 1, dataCentres: 1, sharing: inStep.fleet, hasOwnProxies: true}), engines: map[string][]*standin.Server{}}
			outOfStep.sent.Store(1 << 20)
			outOfStep.waitForEngine(t)
			// From now on it knows which engines served when the streams began.
			sleepUntilDone(t, streamTimeout)

			outOfStep.ownProxies[0].Set(netip.MustParseAddr("127.0.0.1"), bench.Silence)
			for range engines {
				inStep.addVersion(t, test.joins)
			}
			time.Sleep(settle)
			broken := inStep.loseStreams(t, streams)
			if test.storeIsBack {
				outOfStep.ownProxies[0].Heal()
			}
			outOfStep.takeUp(t, broken, test.goOn)
		})
	}
}
