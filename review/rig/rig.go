package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mangoloft/platform/standin"
)

// program is the program of the deploy file, relative to the repository's root.
const program = "target/mangoloft-edge"

// Bounds of the deployments on our pages.
const (
	graceSeconds  = 8
	applyMS       = 2000
	historySecs   = 20
	memoryMB      = 206
	descriptors   = 2870
	retryShare    = 0.2
	retrySlack    = 126
	budgetSeconds = 10
)

// rig contains the processes and the stand-ins of a script.
type rig struct {
	// trouble reports whether the script plays its disruption.
	trouble   bool
	startedAt time.Time
	// temp is the folder of the settings and logs.
	temp  string
	store *standin.Store
	// storeAddr is the address of the store.
	storeAddr netip.AddrPort
	nodes     []*node
	group     sync.WaitGroup
	closers   []func()

	mu     sync.Mutex
	out    *os.File
	nextID int
}

// newRig starts the store. The record is written into the folder.
func newRig(folder string, trouble bool) (*rig, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, out.Close())
	}
	r := &rig{trouble: trouble, startedAt: time.Now(), temp: temp, store: standin.NewStore(), out: out}
	r.storeAddr, err = r.serve(r.store, "127.0.0.1:0")
	return r, err
}

// serve serves HTTP at an address until the rig is closed.
func (r *rig) serve(h http.Handler, addr string) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	r.group.Go(func() { _ = server.Serve(listener) })
	r.closers = append(r.closers, func() { server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		if n.exited != nil {
			<-n.exited
		}
	}
	for _, c := range r.closers {
		c()
	}
	r.group.Wait()
	os.RemoveAll(r.temp)
	r.out.Close()
}

// record writes a line into the record, with the time since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// newID returns the ID of another attempt.
func (r *rig) newID(prefix string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%s%05d", prefix, r.nextID)
}

// node is an entry instance on a machine of its own, which a loopback address stands for.
type node struct {
	name, zone     string
	ip             netip.Addr
	callers, ready netip.AddrPort
	settings, logs string
	storeAddr      netip.AddrPort

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// nodeIP returns the loopback address of the nth machine, which depends on the process id so
// that scripts can run side by side.
func nodeIP(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&0x3f), byte(pid), byte(n + 1)})
}

// Ports of all machines.
const (
	portCallers = 8740
	portReady   = 8749
	portControl = 8748
	portPeers   = 7200
	portMetrics = 9100
)

// addNode starts an entry instance in a zone.
func (r *rig) addNode(zone string) (*node, error) {
	index := len(r.nodes)
	ip := nodeIP(index)
	n := &node{
		name: fmt.Sprintf("edge-%s-%d", zone, index+1), zone: zone, ip: ip,
		callers: netip.AddrPortFrom(ip, portCallers), ready: netip.AddrPortFrom(ip, portReady), storeAddr: r.storeAddr,
		logs: filepath.Join(r.temp, fmt.Sprintf("edge-%d.log", index+1)),
	}
	n.settings = filepath.Join(r.temp, fmt.Sprintf("edge-%d.conf", index+1))
	content, err := json.Marshal(map[string]any{
		"instance": n.name, "data_centre": zone,
		"listen": map[string]any{
			"callers": n.callers, "readiness": n.ready, "control": netip.AddrPortFrom(ip, portControl),
			"peers": netip.AddrPortFrom(ip, portPeers), "metrics": netip.AddrPortFrom(ip, portMetrics),
		},
		"seeds":   []netip.AddrPort{netip.AddrPortFrom(nodeIP(0), portControl), netip.AddrPortFrom(nodeIP(1), portControl)},
		"store":   map[string]any{"address": n.storeAddr, "apply_ms": applyMS, "history_seconds": historySecs},
		"regions": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"limits":  map[string]any{"memory_mb": memoryMB, "descriptors": descriptors},
		"stop":    map[string]any{"grace_seconds": graceSeconds},
		"retries": map[string]any{"share": retryShare, "slack": retrySlack, "window_seconds": budgetSeconds},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, content, 0o600); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, r.start(n)
}

// start starts the process of an instance, also again after it has ended.
func (r *rig) start(n *node) error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command(program, "serve")
	n.command.Env = append(os.Environ(), "MANGOLOFT_CONFIG="+n.settings)
	n.command.Stdout, n.command.Stderr = logs, logs
	n.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	r.group.Go(func() {
		// The exit status of a killed process means nothing.
		_ = command.Wait()
		close(exited)
	})
	r.record("%s starts", n.name)
	return nil
}

// signal sends a signal to the process of an instance.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		// The process may have ended.
		_ = n.command.Process.Signal(s)
	}
}

const (
	// startTimeout is the time in which all instances must be ready, and joinTime that in
	// which they find each other.
	startTimeout = 15 * time.Second
	joinTime     = 2 * time.Second
)

// startSite starts the servers, publishes the configuration of the sheet, and starts an
// instance in each zone.
func (r *rig) startSite(servers []*server, engineSlots int, zones ...string) error {
	for _, s := range servers {
		if err := r.addServer(s); err != nil {
			return err
		}
	}
	if err := r.publish(11, engineSlots, siteRoutes(), revokedKey); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := r.addNode(zone); err != nil {
			return err
		}
	}
	if err := r.waitReady(startTimeout); err != nil {
		return err
	}
	time.Sleep(joinTime)
	return nil
}

// waitReady waits until all instances report themselves ready.
func (r *rig) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(timeout)
	for _, n := range r.nodes {
		for {
			response, err := client.Get("http://" + n.ready.String() + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %w", n.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
