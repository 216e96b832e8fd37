package bench

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mangoloft/ident"
)

// Process is a running program of a fleet.
type Process struct {
	Name       string
	DataCentre string
	// IP is a loopback address that no other process uses. The process listens on
	// it and dials from it.
	IP netip.Addr
	// Addr is the address for requests. PeerAddr and OperatorAddr are the addresses
	// of an entry instance for peers and for operators. If the plan has proxies,
	// Addr and PeerAddr are addresses of proxies.
	Addr, PeerAddr, OperatorAddr netip.AddrPort
	// DirectAddr is the address of a stand-in that bypasses its proxy.
	DirectAddr netip.AddrPort
	// Incarnation is the incarnation of an engine or service in the instance list.
	Incarnation ident.Incarnation
	// leaving reports whether the instance list marks the engine or service as
	// leaving, which means that it accepts no new work.
	leaving bool
	// Proxy listens on Addr and PeerProxy on PeerAddr, if the plan has proxies.
	Proxy, PeerProxy *Proxy

	command *exec.Cmd
	// args are the program and its arguments.
	args []string
	// exited is closed once the process has exited. Then err is its exit error.
	exited chan struct{}
	err    error
}

// launch starts or restarts the process. It appends the process's standard output,
// an audit trail or a service's journal, to NAME.trail and its standard error to
// NAME.log.
func (f *Fleet) launch(p *Process) error {
	p.command = exec.Command(filepath.Join(f.plan.Bin, p.args[0]), p.args[1:]...)
	trail, err := os.OpenFile(filepath.Join(f.plan.Dir, p.Name+".trail"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer trail.Close()
	logs, err := os.OpenFile(filepath.Join(f.plan.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	p.command.Stdout, p.command.Stderr = trail, logs
	// In the group of a shell that ends, stopped processes get SIGHUP.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	exited := p.exited
	command := p.command
	f.processes.Go(func() {
		p.err = command.Wait()
		close(exited)
	})
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Freeze sends SIGSTOP to the process and waits until all its threads have stopped.
// On a busy machine the other threads run on for some milliseconds after the signal.
func (p *Process) Freeze(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		stopped, err := p.stopped()
		if stopped || err != nil {
			return err
		}
		if !sleepUntil(ctx, time.Now().Add(time.Millisecond)) {
			return ctx.Err()
		}
	}
}

// stopped reports whether all threads of the process are stopped.
func (p *Process) stopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil {
		return false, err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return false, err
		}
		// The state follows the program's name, which is in parentheses.
		_, fields, _ := strings.Cut(string(content), ") ")
		if !strings.HasPrefix(fields, "T") {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // The process may have exited already.
	<-p.exited
}

// Stop begins a planned stop with SIGTERM and waits for the exit.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Restart starts an entry instance again after its exit, as a new incarnation.
func (f *Fleet) Restart(p *Process) error { return f.launch(p) }

// RestartUpstream starts an engine or service again after its exit, as the given
// incarnation.
func (f *Fleet) RestartUpstream(p *Process, incarnation ident.Incarnation) error {
	for i, arg := range p.args {
		if arg == p.Incarnation.String() {
			p.args[i] = incarnation.String()
		}
	}
	p.Incarnation = incarnation
	return f.launch(p)
}

func (p *Process) close() {
	if p.exited != nil {
		p.Kill()
	}
	for _, proxy := range []*Proxy{p.Proxy, p.PeerProxy} {
		if proxy != nil {
			proxy.Close()
		}
	}
}
