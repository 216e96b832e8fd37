// Package soak runs entry instances as processes on one machine, with stand-ins
// for the upstreams and the platform's store of configuration and instance list. It
// injects random faults, and compares the responses that callers received with the
// executions that upstreams recorded.
//
// The upstreams are called servers here: model servers generate streams, plain
// servers handle unary requests. A run is one execution of a request on a server.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mangoloft/bench"
	"mangoloft/platform/standin"
)

// Plan configures one soak. The seed determines the faults and the requests;
// their effects also depend on the timing of the machine.
type Plan struct {
	Seed uint64
	// Deadline is the time after which callers send no new requests.
	Deadline time.Time
	// Instances is the number of entry instances.
	Instances int
	// NoFaults disables faults: the soak then only demonstrates the fleet.
	NoFaults bool
	// Bin is the directory of the program mangoloft-edge, Dir the directory for
	// settings and logs.
	Bin, Dir string
}

// Results contains the counts of a soak and the violations that it found.
type Results struct {
	Requests, Served, Refused, Streams, Moved int
	Faults                                    map[string]int
	Violations                                []string
}

const (
	modelServers = 5
	plainServers = 3
	dataCentres  = 2
	stopGrace    = 6 * time.Second
	startTimeout = 10 * time.Second
	// callTime is the time that a plain server takes for a call.
	callTime = 20 * time.Millisecond
	// serverSlots is the number of concurrent requests that a server accepts.
	serverSlots = 32
)

// environment contains the instances, the stand-ins around them and the records of
// a soak.
type environment struct {
	plan   Plan
	random *rand.Rand
	group  sync.WaitGroup
	ctx    context.Context

	store        *standin.Store
	storeHTTP    *http.Server
	storeAddr    netip.AddrPort
	executionLog *standin.ExecutionLog
	// publishing is locked while the configuration is written, and restoring while
	// a fault restores the store.
	publishing, restoring sync.Mutex

	mu              sync.Mutex
	servers         map[string]*proxiedServer
	instances       []*instance
	version         uint64
	lastIncarnation int64
	results         Results
	sentRequests    map[string]sentRequest
	// crashes are the times at which requests crashed servers, or servers fell over.
	crashes []time.Time
	// rejections is the number of rejections in a second that plain servers bear, 0 if they
	// are not brittle, and plainSlots the number of requests that they run.
	rejections, plainSlots int
}

// proxiedServer is a server and the proxy in front of it.
type proxiedServer struct {
	*standin.Server
	proxy *bench.Proxy
}

// instance is an entry instance, which runs as a process.
type instance struct {
	name, dataCentre string
	ip               netip.Addr
	callers, metrics netip.AddrPort
	// settings is the path of the settings file.
	settings string
	// store is the instance's proxy in front of the store.
	store *bench.Proxy

	// restarting is locked while a fault restarts the process.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// starts counts the starts of the process.
	starts int
}

// build starts the stand-ins and the instances.
func (env *environment) build() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.storeAddr = listener.Addr().(*net.TCPAddr).AddrPort()
	env.storeHTTP = &http.Server{Handler: env.store, ReadHeaderTimeout: time.Second}
	env.group.Go(func() { _ = env.storeHTTP.Serve(listener) })
	for n := range modelServers {
		if err := env.addServer(fmt.Sprintf("e%d", n), modelService, true, dataCentre(n)); err != nil {
			return err
		}
	}
	for n := range plainServers {
		if err := env.addServer(fmt.Sprintf("p%d", n), plainService, false, dataCentre(n)); err != nil {
			return err
		}
	}
	if err := env.publish(); err != nil {
		return err
	}
	gossip := bench.NewAddr(instanceIP(0))
	for n := range env.plan.Instances {
		i, err := env.newInstance(n, gossip.Port())
		if err != nil {
			return err
		}
		env.instances = append(env.instances, i)
		if err := i.start(env.plan.Bin, env.plan.Dir, &env.group); err != nil {
			return err
		}
	}
	return nil
}

// dataCentre returns the name of the data centre of the nth instance or server.
func dataCentre(n int) string { return string(rune('a' + n%dataCentres)) }

// instanceIP returns a loopback address derived from the process id, so that
// concurrent soaks on one machine don't share addresses.
func instanceIP(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x3f), byte(pid), byte(n + 1)})
}

// addServer starts a server and adds it to the instance list.
func (env *environment) addServer(id, service string, model bool, dataCentre string) error {
	env.mu.Lock()
	env.lastIncarnation++
	incarnation := env.lastIncarnation
	env.mu.Unlock()
	s := &standin.Server{ID: id, Service: service, Zone: dataCentre, StartUnixMS: incarnation, IsModel: model, Slots: serverSlots, Executions: env.executionLog, ServerAt: env.serverAt}
	s.Crashed = func() { env.handleCrash(id) }
	if !model {
		s.CrashPath, s.CallTime = guiltyPath, callTime
	}
	if err := s.Start("127.0.0.1", &env.group); err != nil {
		return err
	}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), s.ListenAddr())
	if err != nil {
		return err
	}
	s.Addr = proxy.Addr()
	env.mu.Lock()
	if !model && env.rejections > 0 {
		s.SetBrittle(env.rejections, env.plainSlots)
	}
	env.servers[id] = &proxiedServer{s, proxy}
	env.mu.Unlock()
	return env.store.AddEntry(s)
}

// serverAt returns the server with the address, or nil if there is none.
func (env *environment) serverAt(addr netip.AddrPort) *standin.Server {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, server := range env.servers {
		if server.Addr == addr {
			return server.Server
		}
	}
	return nil
}

// hostName is the host name in the callers' requests.
const hostName = "soak.example"

// publish publishes the same configuration with a new version number.
func (env *environment) publish() error {
	env.mu.Lock()
	env.version += 1 + uint64(env.random.IntN(3))
	env.mu.Unlock()
	return env.writeConfiguration()
}

// writeConfiguration stores the configuration with the latest version number.
func (env *environment) writeConfiguration() error {
	// Versions reach the store in order.
	env.publishing.Lock()
	defer env.publishing.Unlock()
	env.mu.Lock()
	version := env.version
	env.mu.Unlock()
	return env.store.Publish(standin.Configuration{
		Version: version, Host: hostName, ModelService: modelService, PlainService: plainService, Slots: serverSlots, KVCacheTokens: serverMemory, Team: team, Key: apiKey,
		Routes: []standin.Route{
			{Name: "draft", Kind: "streaming", Service: modelService, MaxAttempts: 1, Timeout: 20 * time.Second, Target: target},
			{Name: "tag", Kind: "streaming", Service: modelService, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: target},
			{Name: "push", Kind: "unsafe", Service: plainService, MaxAttempts: 1, Timeout: 3 * time.Second, Target: target},
			{Name: "read", Kind: "safe", Service: plainService, MaxAttempts: 2, Timeout: 3 * time.Second, Target: target},
		},
	})
}

const (
	apiKey       = "soak-key"
	team         = "reef"
	modelService = "llm"
	plainService = "shop"
	// serverMemory is the KV cache size of a model server, in tokens.
	serverMemory = 60_000
	// target is the target for the response time of every route.
	target = 500 * time.Millisecond
)

// newInstance assigns the addresses of the nth instance and writes its settings.
func (env *environment) newInstance(n int, gossip uint16) (*instance, error) {
	i := &instance{name: fmt.Sprintf("i%d", n), dataCentre: dataCentre(n), ip: instanceIP(n)}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), env.storeAddr)
	if err != nil {
		return nil, err
	}
	i.store = proxy
	var addrs [4]netip.AddrPort
	for k := range addrs {
		addrs[k] = bench.NewAddr(i.ip)
	}
	i.callers, i.metrics = addrs[0], addrs[3]
	settings := map[string]any{
		"instance": i.name, "data_centre": i.dataCentre,
		"listen": map[string]any{
			"callers": addrs[0], "readiness": addrs[1], "control": addrs[2], "metrics": addrs[3], "peers": netip.AddrPortFrom(i.ip, gossip),
		},
		"seeds": []string{netip.AddrPortFrom(instanceIP(0), 1).String(), netip.AddrPortFrom(instanceIP(1), 1).String()},
		"store": map[string]any{"address": proxy.Addr()}, "limits": map[string]any{"memory_mb": 120, "descriptors": 2000},
		"stop": map[string]any{"grace_seconds": stopGrace.Seconds()}, "retries": map[string]any{"share": 0.2, "slack": 100, "window_seconds": 10},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	i.settings = filepath.Join(env.plan.Dir, i.name+".jsonc")
	return i, os.WriteFile(i.settings, content, 0o600)
}

// start starts the process. It can be called again after the process has exited.
func (i *instance) start(bin, dir string, group *sync.WaitGroup) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	logs, err := os.OpenFile(filepath.Join(dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	i.command = exec.Command(filepath.Join(bin, "mangoloft-edge"), "serve", "--settings", i.settings)
	i.command.Stdout, i.command.Stderr = logs, logs
	// In the group of a shell that ends, stopped processes get SIGHUP.
	i.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.starts++
	i.exited = make(chan struct{})
	command, exited := i.command, i.exited
	group.Go(func() {
		// The exit status is ignored: the soak kills its processes.
		_ = command.Wait()
		close(exited)
	})
	return nil
}

// signal sends a signal to the process and reports whether it was running.
func (i *instance) signal(s syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
		return false
	default:
		return i.command.Process.Signal(s) == nil
	}
}

// exitedChannel returns a channel that is closed when the current process has exited.
func (i *instance) exitedChannel() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}
