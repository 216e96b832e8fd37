package bench

import (
	"context"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"mangoloft/ident"
)

// Process is a running program of a fleet.
type Process struct {
	Name       string
	DataCentre string
	// IP is the loopback address of this process alone. It also dials from it.
	IP netip.Addr
	// Addr is its address, for an entry instance that for callers. With a proxy,
	// Addr and PeerAddr are addresses of the proxies.
	Addr, PeerAddr, OperatorAddr netip.AddrPort
	// DirectAddr is the address of a stand-in that bypasses its proxy.
	DirectAddr  netip.AddrPort
	Incarnation ident.Incarnation
	// leaving is how the instance list marks an upstream.
	leaving bool
	// Proxy serves Addr and PeerProxy serves PeerAddr, if the plan has proxies.
	Proxy, PeerProxy *Proxy

	command *exec.Cmd
	args    []string
	exited  chan struct{}
	err     error
}

// launch starts or restarts the process.
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
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	exited := p.exited
	command := p.command
	f.group.Go(func() {
		p.err = command.Wait()
		close(exited)
	})
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // The process may have exited already.
	<-p.exited
}

// Stop begins the planned stop with SIGTERM and waits for the exit.
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

// Restart starts a process that has exited again, as a new incarnation.
func (f *Fleet) Restart(p *Process) error { return f.launch(p) }

// RestartUpstream starts an upstream that has exited again, as the given
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
