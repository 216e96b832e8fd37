package dispatch_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/routing"
)

// TestClampedRanksAreLoggedOnce checks that ranks out of range are logged once for each
// version of the table, however often it arrives.
func TestClampedRanksAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log := event.NewLog(&out, "i", time.Now)
	c := dispatch.New("a", log)
	c.SetAnnouncer(&recordingAnnouncer{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	for _, version := range []uint64{1, 1, 2, 1} {
		c.UpdateTable(routing.Document{Table: routing.New(routing.Table{Version: version, Routes: []routing.Route{{Name: "r", Priority: 12}}}, nil, nil)}, "test")
	}
	c.Loads(ctx, "a", 1) // Waits until all earlier commands are executed.
	cancel()
	group.Wait()
	log.Close(time.Now().Add(time.Second))
	assert.Equal(t, bytes.Count(out.Bytes(), []byte(`"event":216`)), 2, out.String())
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`route \"r\": 12`)), out.String())
}
