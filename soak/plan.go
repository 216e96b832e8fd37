// Package soak plays random faults against real entry instances on one machine,
// between stand-ins of the platform, and checks what callers and upstreams see.
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

// Plan is one soak. The seed decides the faults and the requests; what they
// meet also hangs on the machine.
type Plan struct {
	Seed      uint64
	Until     time.Time
	Instances int
	// NoFaults plays no faults, to show the fleet at work.
	NoFaults bool
	// Bin holds the program mangoloft-edge, Dir the settings and logs.
	Bin, Dir string
}

// Figures are what a soak counted.
type Figures struct {
	Requests, Served, Refused, Streams, Moved int
	Faults                                    map[string]int
	Violations                                []string
}

const (
	engines     = 5
	plains      = 3
	zones       = 2
	graceTime   = 6 * time.Second
	startLimit  = 10 * time.Second
	serverSlots = 32
)

// world is all that surrounds the instances.
type world struct {
	plan   Plan
	random *rand.Rand
	group  sync.WaitGroup
	ctx    context.Context

	store     *standin.Store
	storeHTTP *http.Server
	storeAddr netip.AddrPort
	ledger    *standin.Ledger

	mu        sync.Mutex
	servers   map[string]*host
	instances []*instance
	version   uint64
	born      int64
	figures   Figures
	sent      map[string]sentRequest
}

// host is a server behind its proxy.
type host struct {
	*standin.Server
	proxy *bench.Proxy
}

// instance is an entry instance as a process.
type instance struct {
	name, zone    string
	ip            netip.Addr
	callers, info netip.AddrPort
	settings      string
	store         *bench.Proxy

	// restarting is held by the one fault that restarts the process.
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
func (w *world) build() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddr = listener.Addr().(*net.TCPAddr).AddrPort()
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	w.group.Go(func() { _ = w.storeHTTP.Serve(listener) })
	for n := range engines {
		if err := w.addServer(fmt.Sprintf("e%d", n), modelService, true, zone(n)); err != nil {
			return err
		}
	}
	for n := range plains {
		if err := w.addServer(fmt.Sprintf("p%d", n), plainService, false, zone(n)); err != nil {
			return err
		}
	}
	if err := w.publish(); err != nil {
		return err
	}
	gossip, err := freePort(instanceIP(0))
	if err != nil {
		return err
	}
	for n := range w.plan.Instances {
		i, err := w.newInstance(n, gossip.Port())
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := i.start(w.plan.Bin, w.plan.Dir, &w.group); err != nil {
			return err
		}
	}
	return nil
}

func zone(n int) string { return string(rune('a' + n%zones)) }

// instanceIP returns an address that other soaks on the machine don't use.
func instanceIP(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x3f), byte(pid), byte(n + 1)})
}

// addServer starts a server and lists it.
func (w *world) addServer(id, service string, model bool, zone string) error {
	w.mu.Lock()
	w.born++
	born := w.born
	w.mu.Unlock()
	s := &standin.Server{ID: id, Service: service, Zone: zone, Born: born, Model: model, Slots: serverSlots, Ledger: w.ledger, Peers: w.serverAt}
	if err := s.Start("127.0.0.1", &w.group); err != nil {
		return err
	}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), s.Direct())
	if err != nil {
		return err
	}
	s.Addr = proxy.Addr()
	w.mu.Lock()
	w.servers[id] = &host{s, proxy}
	w.mu.Unlock()
	return w.store.List(s)
}

func (w *world) serverAt(addr netip.AddrPort) *standin.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.servers {
		if h.Addr == addr {
			return h.Server
		}
	}
	return nil
}

// hostName is the one that callers use.
const hostName = "soak.example"

// publish writes the next configuration.
func (w *world) publish() error {
	w.mu.Lock()
	w.version += 1 + uint64(w.random.IntN(3))
	version := w.version
	w.mu.Unlock()
	return w.store.Publish(standin.Configuration{
		Version: version, Host: hostName, Model: modelService, Plain: plainService, Slots: serverSlots, MemoryTokens: engineMemory, Team: team, Key: apiKey,
		Routes: []standin.Route{
			{Name: "draft", Kind: "streaming", Service: modelService, Attempts: 1, Timeout: 20 * time.Second, Target: target},
			{Name: "tag", Kind: "streaming", Service: modelService, Attempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: target},
			{Name: "push", Kind: "unsafe", Service: plainService, Attempts: 1, Timeout: 3 * time.Second, Target: target},
			{Name: "read", Kind: "safe", Service: plainService, Attempts: 2, Timeout: 3 * time.Second, Target: target},
		},
	})
}

const (
	apiKey       = "soak-key"
	team         = "reef"
	modelService = "llm"
	plainService = "shop"
	// engineMemory is a model server's, in tokens.
	engineMemory = 60_000
	target       = 500 * time.Millisecond
)

func (w *world) newInstance(n int, gossip uint16) (*instance, error) {
	i := &instance{name: fmt.Sprintf("i%d", n), zone: zone(n), ip: instanceIP(n)}
	proxy, err := bench.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), w.storeAddr)
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
	i.callers, i.info = addrs[0], addrs[3]
	settings := map[string]any{
		"instance": i.name, "data_centre": i.zone,
		"listen": map[string]any{
			"callers": addrs[0], "readiness": addrs[1], "control": addrs[2], "metrics": addrs[3], "peers": netip.AddrPortFrom(i.ip, gossip),
		},
		"seeds": []string{netip.AddrPortFrom(instanceIP(0), 1).String(), netip.AddrPortFrom(instanceIP(1), 1).String()},
		"store": map[string]any{"address": proxy.Addr()}, "limits": map[string]any{"memory_mb": 120, "descriptors": 2000},
		"stop": map[string]any{"grace_seconds": graceTime.Seconds()}, "retries": map[string]any{"share": 0.2, "slack": 100, "window_seconds": 10},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	i.settings = filepath.Join(w.plan.Dir, i.name+".jsonc")
	return i, os.WriteFile(i.settings, content, 0o600)
}

// start starts the process, again when it has ended.
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
		// How it ended is no news: the soak kills it.
		_ = command.Wait()
		close(exited)
	})
	return nil
}

// signal sends a signal to the process, and reports whether it was there.
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
