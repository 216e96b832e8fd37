package bench_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// loadReport contains the fields of an engine's load report that this test uses.
type loadReport struct {
	Running int        `json:"running"`
	Unread  []struct{} `json:"unread"`
}

// TestOrphanedGenerationIsEnded checks that a generation is cancelled if its entry
// instance was killed and its reader does not reconnect. Otherwise it would occupy
// the engine's memory until its last token.
func TestOrphanedGenerationIsEnded(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 1, Services: 1, Step: step})
	load := func() (l loadReport) {
		content, err := fleet.Get(ctx, "http://"+fleet.Engines[0].Addr.String()+"/load")
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(content, &l))
		return l
	}
	r := newReader()
	r.OnToken = onceAfterTokens(r, 3, func() error {
		fleet.Entries[0].Kill()
		return nil
	})
	// Without the cancellation, the generation takes more than eight minutes.
	err := r.Begin(ctx, http.DefaultClient, fleet.Entries[0].Addr, bench.DraftClass, prompt(100_000))
	assert.Assert(t, err != nil, "the connection must fail")
	eventually(t, "the engine has a generation without a reader", func() bool { return len(load().Unread) == 1 })
	eventually(t, "the engine has no generation", func() bool { l := load(); return l.Running == 0 && len(l.Unread) == 0 })
}
