package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"mangoloft/platform/standin"
)

// The limits of the small deployment (csac-mangoloft) that the cases use.
const (
	memoryMB      = 206
	descriptors   = 2870
	configApply   = 2000 * time.Millisecond
	graceSeconds  = 8
	restartDelay  = 500 * time.Millisecond
	historyTime   = 20
	retrySlack    = 126
	startTimeout  = 10 * time.Second
	startInterval = 20 * time.Millisecond
)

// rig is the environment of a case.
type rig struct {
	program string
	trouble bool
	dir     string
	store   *standin.Store
	// storeAddr is the address of the store, and ports are the ports that all instances use,
	// each on a loopback address of its own.
	storeAddr netip.AddrPort
	ports     ports
	instances []*instance
	servers   []*server
	// processes counts the running processes.
	group, processes sync.WaitGroup

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	startedAt time.Time
}

// ports are the ports of an instance.
type ports struct{ callers, readiness, control, peers, metrics uint16 }

func newRig(program, recordPath string, trouble bool) (*rig, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangoloft-review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, trouble: trouble, dir: dir, store: standin.NewStore(), file: file, record: bufio.NewWriter(file), startedAt: time.Now()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = listener.Addr().(*net.TCPAddr).AddrPort()
	r.group.Go(func() { _ = http.Serve(listener, r.store) })
	r.ports, err = freePorts()
	r.note("trouble %v, store at %s", trouble, r.storeAddr)
	return r, err
}

// freePorts returns ports that are free at the moment.
func freePorts() (ports, error) {
	var list [5]uint16
	for i := range list {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer listener.Close()
		list[i] = uint16(listener.Addr().(*net.TCPAddr).Port)
	}
	return ports{list[0], list[1], list[2], list[3], list[4]}, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers that the rig started.
func (r *rig) close() error {
	for _, i := range r.instances {
		i.stopForGood()
	}
	r.processes.Wait()
	for _, s := range r.servers {
		_ = s.http.Close()
	}
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.record.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// instance is an entry instance, and its platform: the process is started again when it ends.
type instance struct {
	rig   *rig
	name  string
	zone  string
	ip    netip.Addr
	path  string
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool
	// darkUntil is the time before which the process is not started again.
	darkUntil time.Time
	// outOfMemory counts the times at which the process was killed for its memory.
	outOfMemory int
}

func (i *instance) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.ip, port) }

// addInstance writes the settings of an instance and starts it.
func (r *rig) addInstance(name, zone string, ip netip.Addr, seeds []netip.Addr) (*instance, error) {
	i := &instance{rig: r, name: name, zone: zone, ip: ip, path: filepath.Join(r.dir, name+".jsonc")}
	var seedAddrs []string
	for _, seed := range seeds {
		seedAddrs = append(seedAddrs, netip.AddrPortFrom(seed, r.ports.control).String())
	}
	content, err := json.Marshal(map[string]any{
		"instance": name, "data_centre": zone, "seeds": seedAddrs,
		"listen": map[string]any{
			"callers": i.addr(r.ports.callers), "readiness": i.addr(r.ports.readiness), "control": i.addr(r.ports.control),
			"peers": i.addr(r.ports.peers), "metrics": i.addr(r.ports.metrics),
		},
		"store":   map[string]any{"address": r.storeAddr, "apply_ms": configApply.Milliseconds(), "history_seconds": historyTime},
		"regions": map[string]any{zone: "region"},
		"limits":  map[string]any{"memory_mb": memoryMB, "descriptors": descriptors},
		"stop":    map[string]any{"grace_seconds": graceSeconds},
		"retries": map[string]any{"share": 0.2, "slack": retrySlack, "window_seconds": 10},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.path, content, 0o600); err != nil {
		return nil, err
	}
	r.instances = append(r.instances, i)
	return i, i.start()
}

// start starts the process and waits for its end in the background.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return nil
	}
	logs, err := os.OpenFile(filepath.Join(i.rig.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.rig.program, "serve")
	cmd.Env = append(os.Environ(), "MANGOLOFT_CONFIG="+i.path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd = cmd
	i.rig.note("%s started, process %d", i.name, cmd.Process.Pid)
	i.rig.processes.Add(1)
	i.rig.group.Go(func() {
		err := cmd.Wait()
		i.rig.processes.Done()
		_ = logs.Close()
		i.rig.note("%s ended: %v", i.name, err)
		i.mu.Lock()
		delay := max(restartDelay, time.Until(i.darkUntil))
		i.mu.Unlock()
		time.Sleep(delay)
		if err := i.start(); err != nil {
			i.rig.note("%s could not be started: %v", i.name, err)
		}
	})
	return nil
}

// pid returns the id of the process.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

// losePower kills the process and starts it again after a time.
func (i *instance) losePower(dark time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.darkUntil = time.Now().Add(dark)
	_ = i.cmd.Process.Kill()
}

func (i *instance) stopForGood() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.cmd != nil {
		_ = i.cmd.Process.Kill()
	}
}

// waitReady waits until all instances report that they are ready.
func (r *rig) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, i := range r.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s was not ready in time", i.name)
			}
			time.Sleep(startInterval)
		}
	}
	r.note("all instances are ready")
	return nil
}

func (i *instance) isReady() bool {
	response, err := http.Get("http://" + i.addr(i.rig.ports.readiness).String() + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
