package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// TestColdServersAreNotOverrun sends a burst to servers that start cold at once, and later
// become cold again without notice, through instances of several data centres.
func TestColdServersAreNotOverrun(t *testing.T) {
	const (
		servers   = 2
		perSecond = 25
		coldTime  = 4 * time.Second
		// maxPerSecond is the bound of the settings.
		maxPerSecond = 1.5*perSecond + 5
		// interval is the time between two calls, ten times as many as the servers bear.
		interval = 2 * time.Millisecond
		usedCold = 0.8
		// margin is the time in which instances find the servers and share what they know.
		margin = 1 * time.Second
	)
	for name, test := range map[string]struct{ instances, dataCentres int }{
		"one instance":          {1, 1},
		"four instances in two": {4, 2},
		"eighteen in three":     {18, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleetIn(t, test.instances, test.dataCentres)
			assert.NilError(t, f.store.Publish(standin.Configuration{
				Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 10_000, Team: "team", Key: credential,
				Routes:        []standin.Route{{Name: "calls", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: time.Second, Target: 150 * time.Millisecond}},
				ColdPerSecond: perSecond, ColdStart: coldTime,
			}))
			time.Sleep(2 * settle)
			var crashes atomic.Int64
			var all []*standin.Server
			for n := range servers {
				s := &standin.Server{ID: fmt.Sprint("p", n), Service: plain, Zone: "a", StartUnixMS: time.Now().UnixMilli(), Slots: 24, Executions: f.executions, Crashed: func() { crashes.Add(1) }}
				assert.NilError(t, s.Start("127.0.0.1", f.group))
				t.Cleanup(s.Crash)
				s.SetCold(time.Now().Add(coldTime), maxPerSecond)
				assert.NilError(t, f.store.AddEntry(s))
				all = append(all, s)
			}
			var group sync.WaitGroup
			load := func(d time.Duration) (served *atomic.Int64) {
				served = &atomic.Int64{}
				for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
					group.Go(func() {
						if f.call(t, i%test.instances, fmt.Sprintf("/calls/%d", i), "") == http.StatusOK {
							served.Add(1)
						}
					})
					time.Sleep(interval)
				}
				return served
			}
			for _, phase := range []string{"started", "cold again"} {
				cold := time.Now()
				for _, s := range all {
					s.SetCold(cold.Add(coldTime), maxPerSecond)
				}
				load(margin)
				served := load(coldTime - 2*margin)
				used := float64(served.Load()) / (coldTime - 2*margin).Seconds() / (servers * perSecond)
				t.Logf("%s: %d crashes, %.2f of the rate used", phase, crashes.Load(), used)
				assert.Check(t, crashes.Load() == 0, "%s: %d crashes", phase, crashes.Load())
				assert.Check(t, used >= usedCold, "%s: used %.2f of the rate", phase, used)
				load(2 * margin)
				warm := load(margin)
				assert.Check(t, float64(warm.Load()) > 2*servers*perSecond*margin.Seconds(), "%s: %d calls served after the cold time", phase, warm.Load())
				// The bound concerns the requests since the server is cold again.
				for _, s := range all {
					s.ForgetArrivals()
				}
			}
			group.Wait()
		})
	}
}
