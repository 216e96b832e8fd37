package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/bench"
	"mangoloft/catalog"
	"mangoloft/entry"
	"mangoloft/gateway"
	"mangoloft/platform"
	"mangoloft/platform/standin"
)

const (
	host        = "test.example"
	plain       = "shop"
	credential  = "key"
	sendTimeout = 2 * time.Second
	// applyTime is the time within which a published table must be in force, and
	// drainTime the one after which a leaving server gets no more requests.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
)

// fleet is a store, plain servers and instances that run in this process.
type fleet struct {
	store      *standin.Store
	proxy      *bench.Proxy
	executions *standin.ExecutionLog
	group      *sync.WaitGroup
	callers    []netip.AddrPort
	sent       atomic.Int64
	// firstIP is the address of the first instance; those of the others follow.
	firstIP netip.Addr
}

// fleets is the number of fleets so far.
var fleets atomic.Uint32

// startFleet starts the given number of instances in one data centre, behind a proxy in
// front of the store.
func startFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := &fleet{store: standin.NewStore(), executions: &standin.ExecutionLog{}, group: &sync.WaitGroup{}, firstIP: fleetIP(fleets.Add(1))}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	var err error
	f.proxy, err = bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), server.Listener.Addr().(*net.TCPAddr).AddrPort())
	assert.NilError(t, err)
	t.Cleanup(f.proxy.Close)
	f.publish(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	// The instances stop before the store.
	t.Cleanup(func() { cancel(); f.group.Wait() })
	gossip := freePort(t, f.firstIP).Port()
	ip := f.firstIP
	for n := range instances {
		f.startInstance(ctx, t, n, ip, gossip)
		ip = ip.Next()
	}
	return f
}

// fleetIP returns the loopback address of the first instance of the nth fleet. It is
// derived from the process id, so that concurrent tests don't share addresses.
func fleetIP(n uint32) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(70 + pid>>8&0x3f), byte(pid), byte(maxInstances * n)})
}

// maxInstances is the maximum number of instances of a fleet.
const maxInstances = 4

func freePort(t *testing.T, ip netip.Addr) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (f *fleet) startInstance(ctx context.Context, t *testing.T, n int, ip netip.Addr, gossip uint16) {
	t.Helper()
	callers := freePort(t, ip)
	content, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("i%d", n), "data_centre": "a",
		"listen": map[string]any{
			"callers": callers, "readiness": freePort(t, ip), "control": freePort(t, ip), "metrics": freePort(t, ip), "peers": netip.AddrPortFrom(ip, gossip),
		},
		"seeds": []string{netip.AddrPortFrom(f.firstIP, 1).String()}, "store": map[string]any{"address": f.proxy.Addr()},
		"limits": map[string]any{"memory_mb": 120, "descriptors": 2000}, "stop": map[string]any{"grace_seconds": 1},
		"retries": map[string]any{"share": 0.2, "slack": 100, "window_seconds": 10},
	})
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, content, 0o600))
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	f.callers = append(f.callers, callers)
	f.group.Go(func() {
		defer logs.Close()
		err := entry.Run(ctx, path, nil, entry.Dependencies{
			Store:    func(addr func() netip.AddrPort) catalog.Store { return platform.NewStore(addr) },
			Protocol: platform.Headers{}, Engines: gateway.EngineClient(platform.NewEngineClient()), Decoder: platform.DocumentDecoder{},
		}, logs)
		if err != nil {
			t.Errorf("instance %d: %v", n, err)
		}
	})
}

// publish publishes a table with one route for each version up to the given one.
func (f *fleet) publish(t *testing.T, version uint64) {
	t.Helper()
	c := standin.Configuration{Version: version, Host: host, ModelService: "llm", PlainService: plain, Slots: 8, KVCacheTokens: 1000, Team: "team", Key: credential}
	for v := range version {
		c.Routes = append(c.Routes, standin.Route{Name: fmt.Sprintf("v%d", v+1), Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: sendTimeout, Target: time.Second})
	}
	assert.NilError(t, f.store.Publish(c))
}

// addServer starts a plain server and lists it.
func (f *fleet) addServer(t *testing.T, id string) *standin.Server {
	t.Helper()
	s := &standin.Server{ID: id, Service: plain, Zone: "a", StartUnixMS: 1, Slots: 8, Executions: f.executions}
	assert.NilError(t, s.Start("127.0.0.1", f.group))
	t.Cleanup(s.Crash)
	assert.NilError(t, f.store.AddEntry(s))
	return s
}

// rewrite stores the servers' entries repeatedly, so that the revision grows.
func (f *fleet) rewrite(t *testing.T, times int, servers ...*standin.Server) {
	t.Helper()
	for range times {
		for _, s := range servers {
			assert.NilError(t, f.store.AddEntry(s))
		}
	}
}

// send sends a request on the route of a version through the nth instance and returns
// the status; 0 if there was no response.
func (f *fleet) send(t *testing.T, n int, version uint64) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", f.callers[n], version), nil)
	assert.NilError(t, err)
	r.Host = host
	r.Header = standin.CallerRequest{ID: fmt.Sprintf("r%d", f.sent.Add(1)), Key: credential, Timeout: sendTimeout}.Header()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitUntilServed waits until all instances serve the route of the version.
func (f *fleet) waitUntilServed(t *testing.T, version uint64) {
	t.Helper()
	for n := range f.callers {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status := f.send(t, n, version); status != http.StatusOK {
				return poll.Continue("instance %d answers with status %d", n, status)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// checkInForce checks that all instances serve the route of the version.
func (f *fleet) checkInForce(t *testing.T, version uint64) {
	t.Helper()
	for n := range f.callers {
		assert.Equal(t, f.send(t, n, version), http.StatusOK, "instance %d, route of version %d", n, version)
	}
}

// settle is the time in which a starting instance becomes a reader, and in which watches
// continue after a change.
const settle = 1500 * time.Millisecond

// restoreBehind restores the store from a copy that is older than the table in force,
// while it is not reachable for the given time, and publishes a newer table at a revision
// that was issued before. The store's revision then passes the one of all watches.
func (f *fleet) restoreBehind(t *testing.T, away time.Duration) {
	t.Helper()
	s := f.addServer(t, "p0")
	f.waitUntilServed(t, 1)
	saved := f.store.Copy()
	f.rewrite(t, 40, s)
	f.publish(t, 2)
	f.waitUntilServed(t, 2)
	time.Sleep(settle)
	if away > 0 {
		f.store.SetMode(standin.ModeUnavailable)
	}
	f.store.Restore(saved)
	if away > 0 {
		f.store.CutWatches()
		time.Sleep(away)
	}
	f.publish(t, 2)
	f.rewrite(t, 1, s)
	f.publish(t, 3)
	f.rewrite(t, 60, s)
	f.store.SetMode(standin.ModeNormal)
}

func TestTablePublishedAfterStoreRestoreIsInForce(t *testing.T) {
	tests := map[string]struct {
		instances int
		away      time.Duration
	}{
		"one instance, store away for 50 ms":     {1, 50 * time.Millisecond},
		"one instance, store away for 700 ms":    {1, 700 * time.Millisecond},
		"three instances, store away for 50 ms":  {3, 50 * time.Millisecond},
		"three instances, store away for 700 ms": {3, 700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.instances)
			f.restoreBehind(t, test.away)
			time.Sleep(applyTime)
			f.checkInForce(t, 3)
		})
	}
}

func TestTablePublishedWhileWatchHangsIsInForce(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet){
		"watch from before a restore": func(t *testing.T, f *fleet) { f.restoreBehind(t, 0) },
		"silent connection": func(t *testing.T, f *fleet) {
			f.addServer(t, "p0")
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			f.proxy.BlackholeOpen()
			f.publish(t, 2)
			f.publish(t, 3)
		},
	}
	for name, disturb := range tests {
		for _, instances := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, instances)
				disturb(t, f)
				time.Sleep(applyTime)
				f.checkInForce(t, 3)
			})
		}
	}
}

// executionsOn returns the number of requests that ran on the server so far.
func (f *fleet) executionsOn(id string) int {
	count := 0
	for _, e := range f.executions.Executions() {
		if e.Server == id {
			count++
		}
	}
	return count
}

// restore restores the store from the copy, and cuts the watches.
func (f *fleet) restore(saved standin.Copy) {
	f.store.Restore(saved)
	f.store.CutWatches()
}

func TestServerThatLeavesAroundStoreRestoreGetsNoRequests(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server){
		"drains at a revision that was issued before": func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server) {
			f.restore(saved)
			leaves.Drain()
			f.rewrite(t, 1, leaves, stays)
			f.rewrite(t, 120, stays)
		},
		"removed before the restore, ready in the copy": func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server) {
			f.store.RemoveEntry(leaves.ID)
			time.Sleep(settle)
			f.restore(saved)
			f.rewrite(t, 1, stays)
		},
		"not written again": func(t *testing.T, f *fleet, _ standin.Copy, stays, _ *standin.Server) {
			saved := f.store.Copy()
			f.restore(saved)
			f.store.RemoveEntry("p1")
			f.rewrite(t, 1, stays)
		},
	}
	for name, leave := range tests {
		for _, instances := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, instances)
				stays, leaves := f.addServer(t, "p0"), f.addServer(t, "p1")
				f.waitUntilServed(t, 1)
				time.Sleep(settle)
				saved := f.store.Copy()
				f.rewrite(t, 40, stays, leaves)
				time.Sleep(settle)
				leave(t, f, saved, stays, leaves)
				time.Sleep(drainTime)
				before := f.executionsOn("p1")
				for i := range 60 {
					assert.Equal(t, f.send(t, i%instances, 1), http.StatusOK)
				}
				assert.Equal(t, f.executionsOn("p1")-before, 0)
			})
		}
	}
}

// rewriteDelay is the time after which servers write their entries again.
const rewriteDelay = time.Second

func TestServerMissingInRestoredCopyKeepsServing(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, instances)
			f.addServer(t, "p0").Crash()
			saved := f.store.Copy()
			f.store.RemoveEntry("p0")
			s := f.addServer(t, "p1")
			f.waitUntilServed(t, 1)
			f.rewrite(t, 20, s)
			time.Sleep(settle)
			f.restore(saved)
			f.store.RemoveEntry("p0")
			rewriteAt := time.Now().Add(rewriteDelay)
			for i := 0; time.Now().Before(rewriteAt); i++ {
				assert.Equal(t, f.send(t, i%instances, 1), http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			f.rewrite(t, 1, s)
			for end := time.Now().Add(2 * drainTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				assert.Equal(t, f.send(t, int(f.sent.Load())%instances, 1), http.StatusOK)
			}
		})
	}
}
