// Package soak runs entry instances as processes on one machine, with stand-ins
// for the rest of the platform, injects random faults, and checks what callers
// and upstreams observe.
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
	Seed      uint64
	Deadline  time.Time
	Instances int
	// NoFaults injects no faults: the soak then only demonstrates the fleet.
	NoFaults bool
	// Bin is the directory of the program mangoloft-edge, Dir that of settings
	// and logs.
	Bin, Dir string
}

// Results are the counts of a soak and the violations that it found.
type Results struct {
	Requests, Served, Refused, Streams, Moved int
	Faults                                    map[string]int
	Violations                                []string
}

const (
	engines       = 5
	plainServices = 3
	zones         = 2
	stopGrace     = 6 * time.Second
	startLimit    = 10 * time.Second
	serverSlots   = 32
)

// environment holds the instances, the stand-ins around them and the record of
// a soak.
type environment struct {
	plan   Plan
	random *rand.Rand
	group  sync.WaitGroup
	ctx    context.Context

	store     *standin.Store
	storeHTTP *http.Server
	storeAddr netip.AddrPort
	ledger    *standin.ExecutionLog

	mu              sync.Mutex
	servers         map[string]*proxiedServer
	instances       []*instance
	version         uint64
	lastIncarnation int64
	figures         Results
	sentRequests    map[string]sentRequest
}

// proxiedServer is a server and the proxy that its connections go through.
type proxiedServer struct {
	*standin.Server
	proxy *bench.Proxy
}

// instance is an entry instance that runs as a process.
type instance struct {
	name, zone       string
	ip               netip.Addr
	callers, metrics netip.AddrPort
	settings         string
	store            *bench.Proxy

	// restarting is held while a fault restarts the process.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

func freePort(ip netip.Addr) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
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
	for n := range engines {
		if err := env.addServer(fmt.Sprintf("e%d", n), modelService, true, zone(n)); err != nil {
			return err
		}
	}
	for n := range plainServices {
		if err := env.addServer(fmt.Sprintf("p%d", n), plainService, false, zone(n)); err != nil {
			return err
		}
	}
	if err := env.publish(); err != nil {
		return err
	}
	gossip, err := freePort(instanceIP(0))
	if err != nil {
		return err
	}
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

func zone(n int) string { return string(rune('a' + n%zones)) }

// instanceIP returns a loopback address derived from the process id, so that
// concurrent soaks on one machine don't share addresses.
func instanceIP(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x3f), byte(pid), byte(n + 1)})
}

// addServer starts a server and adds it to the instance list.
func (env *environment) addServer(id, service string, model bool, zone string) error {
	env.mu.Lock()
	env.lastIncarnation++
	incarnation := env.lastIncarnation
	env.mu.Unlock()
	s := &standin.Server{ID: id, Service: service, Zone: zone, Born: incarnation, IsModel: model, Slots: serverSlots, Executions: env.ledger, ServerAt: env.serverAt}
	if err := s.Start("127.0.0.1", &env.group); err != nil {
		return err
	}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), s.ListenAddr())
	if err != nil {
		return err
	}
	s.Addr = proxy.Addr()
	env.mu.Lock()
	env.servers[id] = &proxiedServer{s, proxy}
	env.mu.Unlock()
	return env.store.AddEntry(s)
}

func (env *environment) serverAt(addr netip.AddrPort) *standin.Server {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, h := range env.servers {
		if h.Addr == addr {
			return h.Server
		}
	}
	return nil
}

// hostName is the host name in callers' requests.
const hostName = "soak.example"

// publish publishes a new configuration version.
func (env *environment) publish() error {
	env.mu.Lock()
	env.version += 1 + uint64(env.random.IntN(3))
	version := env.version
	env.mu.Unlock()
	return env.store.Publish(standin.Configuration{
		Version: version, Host: hostName, ModelService: modelService, PlainService: plainService, Slots: serverSlots, MemoryTokens: engineMemory, Team: team, Key: apiKey,
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
	// engineMemory is the memory of a model server, in tokens.
	engineMemory = 60_000
	target       = 500 * time.Millisecond
)

func (env *environment) newInstance(n int, gossip uint16) (*instance, error) {
	i := &instance{name: fmt.Sprintf("i%d", n), zone: zone(n), ip: instanceIP(n)}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), env.storeAddr)
	if err != nil {
		return nil, err
	}
	i.store = proxy
	var addrs [4]netip.AddrPort
	for k := range addrs {
		if addrs[k], err = freePort(i.ip); err != nil {
			return nil, err
		}
	}
	i.callers, i.metrics = addrs[0], addrs[3]
	settings := map[string]any{
		"instance": i.name, "data_centre": i.zone,
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

// start starts the process. It may be called again after the process has exited.
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

func (i *instance) ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}
