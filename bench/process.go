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
	// IP is its own loopback address, from which it dials.
	IP netip.Addr
	// Addr is where it serves; for an entry instance, where it serves callers.
	Addr, PeerAddr, OperatorAddr netip.AddrPort
	// DirectAddr is where a stand-in serves behind its proxy.
	DirectAddr  netip.AddrPort
	Incarnation ident.Incarnation
	// leaving is what the instance list says of an upstream.
	leaving bool
	// Proxy stands before Addr and PeerProxy before Peers, if the plan has proxies.
	Proxy, PeerProxy *Proxy

	command *exec.Cmd
	args    []string
	exited  chan struct{}
	err     error
}

// launch starts the process, or starts it again.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // It may have ended by itself.
	<-p.exited
}

// Stop asks for the planned stop and waits for it.
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

// Restart starts a process that has ended again, as a new incarnation.
func (f *Fleet) Restart(p *Process) error { return f.launch(p) }

// RestartUpstream starts an upstream that has ended again, as the incarnation.
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
