package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/platform/standin"
)

// addSilenceable starts and lists a server behind a proxy.
func (f *fleet) addSilenceable(t *testing.T, id, service string, isModel bool) *bench.Proxy {
	t.Helper()
	s := &standin.Server{ID: id, Service: service, Zone: "a", StartUnixMS: 1, IsModel: isModel, Slots: 8, Executions: f.executions}
	assert.NilError(t, s.Start("127.0.0.1", f.group))
	t.Cleanup(s.Crash)
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), s.ListenAddr())
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	s.Addr = proxy.Addr()
	assert.NilError(t, f.store.AddEntry(s))
	return proxy
}

func TestServersThatFallSilentForASecondKeepTheirStreams(t *testing.T) {
	const (
		instances, servers, engines = 3, 4, 4
		interval                    = 20 * time.Millisecond
		silence, pause              = 1200 * time.Millisecond, 800 * time.Millisecond
		duration                    = 12 * time.Second
		// minServed is the share of calls that are served: one of the servers is silent for 0.6
		// of the time.
		minServed = 1 - 0.6/servers
		output    = 400
	)
	f := startFleet(t, instances)
	f.publishCallsAndStreams(t, 2)
	var proxies []*bench.Proxy
	for n := range servers {
		proxies = append(proxies, f.addSilenceable(t, fmt.Sprintf("p%d", n), plain, false))
	}
	for n := range engines {
		proxies = append(proxies, f.addSilenceable(t, fmt.Sprintf("e%d", n), model, true))
	}
	time.Sleep(2 * settle)
	var calls, streams share
	var group sync.WaitGroup
	startedAt := time.Now()
	group.Go(func() {
		for n := 0; time.Since(startedAt) < duration; n++ {
			silent := []*bench.Proxy{proxies[n%servers], proxies[servers+n%engines]}
			for _, p := range silent {
				p.Set(netip.MustParseAddr("127.0.0.1"), bench.Silence)
			}
			time.Sleep(silence)
			for _, p := range silent {
				p.Heal()
			}
			time.Sleep(pause)
		}
	})
	for i := 0; time.Since(startedAt) < duration; i++ {
		group.Go(func() {
			calls.sent.Add(1)
			if f.call(t, i%instances, fmt.Sprintf("/calls/%d", i), "") == http.StatusOK {
				calls.begun.Add(1)
			}
		})
		if i%4 == 0 {
			group.Go(func() {
				streams.sent.Add(1)
				if f.streamOf(t, i%instances, fmt.Sprintf("/tag/%d", i), output, false, "a0") {
					streams.begun.Add(1)
				}
			})
		}
		time.Sleep(interval)
	}
	group.Wait()
	t.Logf("%d of %d calls served, %d of %d streams began", calls.begun.Load(), calls.sent.Load(), streams.begun.Load(), streams.sent.Load())
	assert.Check(t, calls.of() >= minServed)
	assert.Check(t, streams.of() >= minServed)
	assert.Equal(t, f.cutOff.Load(), int64(0), "streams that were cut off")
}
