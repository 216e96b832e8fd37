package bench_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// unread is what an engine says of the generations that it makes.
type unread struct {
	Running int        `json:"running"`
	Unread  []struct{} `json:"unread"`
}

// A generation whose instance was killed, and whose reader does not come back,
// would fill the engine's memory to its last token.
func TestOrphanedGenerationIsEnded(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 1, Services: 1, Step: step})
	load := func() (l unread) {
		content, err := fleet.Get(ctx, "http://"+fleet.Engines[0].Addr.String()+"/load")
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(content, &l))
		return l
	}
	r := newReader()
	r.OnToken = at(r, 3, func() error {
		fleet.Entries[0].Kill()
		return nil
	})
	// It would go on for over eight minutes.
	err := r.Begin(ctx, http.DefaultClient, fleet.Entries[0].Addr, bench.DraftClass, prompt(100_000))
	assert.Assert(t, err != nil, "the stream was not broken")
	eventually(t, "the engine has a generation that nobody reads", func() bool { return len(load().Unread) == 1 })
	eventually(t, "the engine has ended it", func() bool { l := load(); return l.Running == 0 && len(l.Unread) == 0 })
}
