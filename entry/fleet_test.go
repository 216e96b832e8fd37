package entry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	// links are the networks between each instance and all servers.
	links []*link
	sent  atomic.Int64
	// cutOff is the number of streams that ended early.
	cutOff atomic.Int64
	// engines is the number of engines so far, and crashes are the times at which some
	// crashed.
	engines atomic.Int64
	crashes times
	// firstIP is the address of the first instance; those of the others follow.
	firstIP netip.Addr
	// processes are the processes of the instances, if they have their own.
	processes []*os.Process
	fleetOptions
	// ownProxies are the proxies between each instance and the store, if it has its own.
	ownProxies []*bench.Proxy
	storeAddr  netip.AddrPort
}

// fleetOptions are what differs between fleets.
type fleetOptions struct {
	instances, dataCentres int
	// evacuationMS is the time within which an evacuation must be applied; 0 if there are none.
	evacuationMS int
	// ownProxies gives each instance its own proxy in front of the store.
	hasOwnProxies bool
	// regions contains the region of each data centre.
	regions map[string]string
	// graceSeconds is the time of a planned stop; 0 for 1 second.
	graceSeconds float64
	// program is the path of the program that the instances run in processes of their own;
	// empty if they run in this process.
	program string
	// sharing is a fleet whose store and servers this one uses, without knowing its instances.
	sharing *fleet
}

// fleets is the number of fleets so far.
var fleets atomic.Uint32

// startFleet starts the given number of instances in one data centre, behind a proxy in
// front of the store.
func startFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	return startFleetIn(t, instances, 1)
}

// startFleetIn starts the given number of instances, spread over data centres, the first
// ones in the first.
func startFleetIn(t *testing.T, instances, dataCentres int) *fleet {
	t.Helper()
	return startFleetWith(t, fleetOptions{instances: instances, dataCentres: dataCentres})
}

// startFleetWith starts a fleet with options.
func startFleetWith(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{fleetOptions: o, store: standin.NewStore(), executions: &standin.ExecutionLog{}, group: &sync.WaitGroup{}, firstIP: fleetIP(fleets.Add(1))}
	if o.sharing != nil {
		f.store, f.executions, f.storeAddr, f.proxy = o.sharing.store, o.sharing.executions, o.sharing.storeAddr, o.sharing.proxy
	} else {
		f.startStore(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	// The instances stop before the store.
	t.Cleanup(func() { cancel(); f.group.Wait() })
	gossip := bench.NewAddr(f.firstIP).Port()
	ip := f.firstIP
	for n := range o.instances {
		f.startInstance(ctx, t, n, dataCentreName(n*o.dataCentres/o.instances), ip, gossip)
		ip = ip.Next()
	}
	return f
}

// startStore starts the store, behind a proxy, and publishes a table.
func (f *fleet) startStore(t *testing.T) {
	t.Helper()
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	var err error
	f.storeAddr = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	f.proxy, err = bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), f.storeAddr)
	assert.NilError(t, err)
	t.Cleanup(f.proxy.Close)
	f.publish(t, 1)
}

// fleetIP returns the loopback address of the first instance of the nth fleet. It is
// derived from the process id, so that concurrent tests don't share addresses.
func fleetIP(n uint32) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(70 + pid>>8&0x3f), byte(pid), byte(maxInstances * n)})
}

// maxInstances is the maximum number of instances of a fleet.
const maxInstances = 4

// dataCentreName returns the name of the nth data centre.
func dataCentreName(n int) string { return string(rune('a' + n)) }

func (f *fleet) startInstance(ctx context.Context, t *testing.T, n int, dataCentre string, ip netip.Addr, gossip uint16) {
	t.Helper()
	callers := bench.NewAddr(ip)
	proxy := f.proxy
	if f.hasOwnProxies {
		var err error
		proxy, err = bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), f.storeAddr)
		assert.NilError(t, err)
		t.Cleanup(proxy.Close)
		f.ownProxies = append(f.ownProxies, proxy)
	}
	settings := map[string]any{
		"instance": fmt.Sprintf("i%d", n), "data_centre": dataCentre,
		"listen": map[string]any{
			"callers": callers, "readiness": bench.NewAddr(ip), "control": bench.NewAddr(ip), "metrics": bench.NewAddr(ip), "peers": netip.AddrPortFrom(ip, gossip),
		},
		"seeds": []string{netip.AddrPortFrom(f.firstIP, 1).String()}, "store": map[string]any{"address": proxy.Addr(), "history_seconds": 20},
		"limits": map[string]any{"memory_mb": 120, "descriptors": 2000}, "stop": map[string]any{"grace_seconds": cmp.Or(f.graceSeconds, 1)},
		"retries": map[string]any{"share": 0.2, "slack": 100, "window_seconds": 10},
		"cold":    map[string]any{"overage": 1.5, "slack": 5},
	}
	if f.evacuationMS > 0 {
		settings["evacuation"] = map[string]any{"apply_ms": f.evacuationMS}
	}
	if f.regions != nil {
		settings["regions"] = f.regions
	}
	content, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, content, 0o600))
	if f.program != "" {
		f.callers = append(f.callers, callers)
		f.startProcess(t, path)
		return
	}
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	t.Cleanup(func() { logLastLines(t, n, logs.Name()) })
	f.callers, f.links = append(f.callers, callers), append(f.links, newLink())
	f.group.Go(func() {
		defer logs.Close()
		err := entry.Run(ctx, path, nil, entry.Dependencies{
			Store:    func(addr func() netip.AddrPort) catalog.Store { return platform.NewStore(addr) },
			Protocol: platform.Headers{}, Engines: gateway.EngineClient(platform.NewEngineClient()), Decoder: platform.DocumentDecoder{}, Dial: f.links[n].dial,
		}, logs)
		if err != nil {
			t.Errorf("instance %d: %v", n, err)
		}
	})
}

// buildEdge builds the program of an instance and returns its path.
func buildEdge(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "mangoloft/cmd/mangoloft-edge").CombinedOutput()
	assert.NilError(t, err, string(output))
	return filepath.Join(bin, "mangoloft-edge")
}

// startProcess starts the program of an instance with the settings at path, until the test ends.
func (f *fleet) startProcess(t *testing.T, path string) {
	t.Helper()
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	command := exec.Command(f.program, "serve", "--settings", path)
	command.Stdout, command.Stderr = logs, logs
	// In the group of a shell that ends, stopped processes get SIGHUP.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, command.Start())
	n := len(f.processes)
	f.processes = append(f.processes, command.Process)
	t.Cleanup(func() {
		// The process may have ended by itself.
		_ = command.Process.Kill()
		_ = command.Wait()
		logs.Close()
		logLastLines(t, n, logs.Name())
	})
}

// maxLogLines is the maximum number of lines of an instance's log that a failed test shows.
const maxLogLines = 30

// logLastLines shows the last lines of an instance's log if the test has failed.
func logLastLines(t *testing.T, n int, path string) {
	if !t.Failed() {
		return
	}
	content, err := os.ReadFile(path)
	assert.Check(t, err)
	lines := strings.Split(string(content), "\n")
	t.Logf("the log of instance %d ends with\n%s", n, strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
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

// settle is the time in which a starting instance becomes a reader, and in which watches
// continue after a change.
const settle = 1500 * time.Millisecond
