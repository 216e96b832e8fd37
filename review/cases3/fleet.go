package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment.
const (
	drainBound  = 2000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	graceTime   = 8 * time.Second
)

// fleet is the entry instances.
type fleet struct {
	play  *play
	edges []*edge
}

// edge is an entry instance, which runs as a process.
type edge struct {
	name, zone        string
	callers, ready    netip.AddrPort
	settings, logPath string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startFleet starts the instances, whose zones are given, and waits until all are ready.
func (p *play) startFleet(store netip.AddrPort, zones []string) error {
	pid := os.Getpid()
	ip := func(n int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&0x3f), byte(pid), byte(n + 1)})
	}
	ports, err := freePorts(ip(0), 4)
	if err != nil {
		return err
	}
	p.fleet = &fleet{play: p}
	names := map[string]string{}
	for _, zone := range zones {
		names[zone] = "region"
	}
	for n, zone := range zones {
		e := &edge{
			name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone,
			callers: netip.AddrPortFrom(ip(n), ports[0]), ready: netip.AddrPortFrom(ip(n), ports[1]),
		}
		var seeds []string
		for k := 0; k < len(zones) && len(seeds) < 3; k += max(1, len(zones)/3) {
			seeds = append(seeds, netip.AddrPortFrom(ip(k), ports[2]).String())
		}
		settings := map[string]any{
			"instance": e.name, "data_centre": zone,
			"listen": map[string]any{
				"callers": e.callers, "readiness": e.ready, "control": netip.AddrPortFrom(ip(n), ports[2]),
				"peers": netip.AddrPortFrom(ip(n), ports[3]),
			},
			"seeds":   seeds,
			"store":   map[string]any{"address": store, "apply_ms": configApply.Milliseconds(), "history_seconds": 20},
			"regions": names,
			"limits":  map[string]any{"memory_mb": 206, "descriptors": 2870},
			"stop":    map[string]any{"grace_seconds": graceTime.Seconds()},
			"retries": map[string]any{"share": 0.2, "slack": 126, "window_seconds": 10},
		}
		content, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		e.settings, e.logPath = filepath.Join(p.dir, e.name+".jsonc"), filepath.Join(p.dir, e.name+".log")
		if err := os.WriteFile(e.settings, content, 0o600); err != nil {
			return err
		}
		p.fleet.edges = append(p.fleet.edges, e)
	}
	for _, e := range p.fleet.edges {
		if err := e.start(p.program); err != nil {
			return err
		}
	}
	return p.fleet.awaitReady(10 * time.Second)
}

// freePorts returns ports of an address that are free now.
func freePorts(ip netip.Addr, n int) ([]uint16, error) {
	var ports []uint16
	for range n {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return ports, nil
}

// start starts the process.
func (e *edge) start(program string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	logs, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	e.command = exec.Command(program, "serve")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "MANGOLOFT_CONFIG=" + e.settings}
	e.command.Stdout, e.command.Stderr = logs, logs
	e.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	command, exited := e.command, e.exited
	go func() {
		// The exit status doesn't matter: the case ends its processes.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s) // It may have ended.
	}
}

// isReady asks the instance whether it is ready.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready.String() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if !slices.ContainsFunc(f.edges, func(e *edge) bool { return !e.isReady() }) {
			f.play.record.add("all %d instances are ready", len(f.edges))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the instances did not become ready in %v", limit)
}

// stop kills all processes and waits for their end.
func (f *fleet) stop() {
	for _, e := range f.edges {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.edges {
		if e.exited != nil {
			<-e.exited
		}
	}
}

// copyLogs copies the logs of the instances, to look into a play.
func (f *fleet) copyLogs(to string) {
	for _, e := range f.edges {
		if content, err := os.ReadFile(e.logPath); err == nil {
			_ = os.WriteFile(filepath.Join(to, e.name+".log"), content, 0o600)
		}
	}
}
