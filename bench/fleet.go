// Package bench starts fleets of real processes on the loopback interface,
// puts load and faults on them, and checks and measures what comes back.
package bench

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/config"
	"mangoloft/ident"
)

// Plan says what fleet to start.
type Plan struct {
	// Bin is the directory with the programs mangoloft and standin.
	Bin string
	// Dir is an empty directory for settings, keys and logs.
	Dir         string
	DataCentres int
	// Entries, Engines and Services are counts in each data centre.
	Entries, Engines, Services int
	// MoreEntries and MoreEngines are how many data centres, from the first
	// on, have one more of them.
	MoreEntries, MoreEngines int
	// Step is an engine's time for one token.
	Step time.Duration
	// Seeds tells every entry instance but the first the address of the first.
	Seeds bool
	// EngineArgs are further arguments of the engines.
	EngineArgs []string
	// EntryProgram is the entry instances' program, mangoloft when empty, and
	// EntryArgs are further arguments of it.
	EntryProgram string
	EntryArgs    []string
	// Config holds values to publish beside those that every fleet has.
	Config map[string]string
	// Proxies puts a proxy before every listener but the operators'.
	Proxies bool
	// OpenRequests is an entry instance's limit; zero for its own default.
	OpenRequests int
	// Authority, when set, secures the links between entry instances.
	Authority *Authority
	// StopGrace is how long an entry instance takes new work in a planned stop;
	// zero for its own default.
	StopGrace time.Duration
}

// The names in the configuration that every fleet starts with.
const (
	DraftClass    = "draft"
	ReadClass     = "profile_read"
	PurchaseClass = "purchase"
	Team          = "reef"
	// Credential is Team's credential.
	Credential = "reef-credential"
)

// Process is a running program of a fleet.
type Process struct {
	Name       string
	DataCentre string
	// IP is its own loopback address, from which it dials.
	IP netip.Addr
	// Addr is where it serves; for an entry instance, where it serves callers.
	Addr, Peers, Operators netip.AddrPort
	// Direct is where a stand-in serves behind its proxy.
	Direct      netip.AddrPort
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

// Fleet is a running fleet.
type Fleet struct {
	plan                    Plan
	Entries                 []*Process
	Engines, Services       []*Process
	Configuration, Instance *Process
	group                   sync.WaitGroup
	http                    *http.Client
}

// readyLimit bounds the wait for a fleet to be ready.
const readyLimit = 15 * time.Second

// Start starts a fleet and waits until every entry instance is ready. The
// fleet must be closed, also after an error.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, http: &http.Client{Timeout: 5 * time.Second}}
	secret := make([]byte, 32)
	rand.Read(secret)
	if err := os.WriteFile(filepath.Join(plan.Dir, "key"), []byte(hex.EncodeToString(secret)), 0o600); err != nil {
		return f, err
	}
	var err error
	if f.Configuration, err = f.startStandin("configuration", "platform", "configuration"); err != nil {
		return f, err
	}
	if f.Instance, err = f.startStandin("list", "platform", "list"); err != nil {
		return f, err
	}
	for dc := range plan.DataCentres {
		centre := fmt.Sprintf("dc%d", dc+1)
		if err := f.startCentre(centre, dc); err != nil {
			return f, err
		}
	}
	if err := f.publish(ctx); err != nil {
		return f, err
	}
	return f, f.WaitReady(ctx, time.Now().Add(readyLimit))
}

// countIn adds one to the count in the data centres that have more.
func countIn(dc, count, more int) int {
	if dc < more {
		return count + 1
	}
	return count
}

func (f *Fleet) startCentre(centre string, dc int) error {
	engineArgs := append([]string{"--step", f.plan.Step.String()}, f.plan.EngineArgs...)
	for i := range countIn(dc, f.plan.Engines, f.plan.MoreEngines) {
		p, err := f.startStandin(fmt.Sprintf("engine-%s-%d", centre, i+1), centre, "engine", engineArgs...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
	}
	for i := range f.plan.Services {
		p, err := f.startStandin(fmt.Sprintf("service-%s-%d", centre, i+1), centre, "service")
		if err != nil {
			return err
		}
		f.Services = append(f.Services, p)
	}
	for i := range countIn(dc, f.plan.Entries, f.plan.MoreEntries) {
		if _, err := f.StartEntry(fmt.Sprintf("entry-%s-%d", centre, i+1), centre); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startStandin(name, centre, kind string, args ...string) (*Process, error) {
	p := &Process{Name: name, DataCentre: centre, IP: nextIP()}
	listen, err := f.listener(p.IP, &p.Addr, &p.Proxy)
	if err != nil {
		return nil, err
	}
	p.Direct = listen
	p.args = append([]string{"standin", kind, "--listen", listen.String()}, args...)
	if kind == "engine" || kind == "service" {
		p.Incarnation = ident.NewIncarnation(time.Now())
		p.args = append(p.args, "--incarnation", p.Incarnation.String())
	}
	return p, f.launch(p)
}

// StartEntry starts one more entry instance.
func (f *Fleet) StartEntry(name, centre string) (*Process, error) {
	p := &Process{Name: name, DataCentre: centre, IP: nextIP()}
	callers, err := f.listener(p.IP, &p.Addr, &p.Proxy)
	if err != nil {
		return nil, err
	}
	peers, err := f.listener(p.IP, &p.Peers, &p.PeerProxy)
	if err != nil {
		return nil, err
	}
	p.Operators = newAddr(p.IP)
	path := filepath.Join(f.plan.Dir, name+".json")
	limits := ""
	if f.plan.StopGrace > 0 {
		limits = fmt.Sprintf(`"stop_grace_ms": %d,`, f.plan.StopGrace.Milliseconds())
	}
	if f.plan.OpenRequests > 0 {
		limits += fmt.Sprintf(`"open_requests": %d`, f.plan.OpenRequests)
	}
	secured, err := f.secure(p)
	if err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`{
	"instance": %q,
	"data_centre": %q,
	"listen": {"callers": %q, "peers": %q, "operators": %q},
	"advertise": %q,
	"platform": {"configuration": %q, "instance_list": %q},
	"seeds": [%s],
	"keys": [{"id": "k1", "secret_file": "key"}],
	"limits": {%s},
	"tls": {%s},
}
`, name, centre, callers, peers, p.Operators, p.Peers, f.Configuration.Addr, f.Instance.Addr, f.seeds(), limits, secured)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	program := cmp.Or(f.plan.EntryProgram, "mangoloft")
	p.args = append([]string{program, "serve", "--settings", path}, f.plan.EntryArgs...)
	f.Entries = append(f.Entries, p)
	return p, f.launch(p)
}

// seeds returns the first entry instance's address, if the plan has seeds.
func (f *Fleet) seeds() string {
	if !f.plan.Seeds || len(f.Entries) == 0 {
		return ""
	}
	return strconv.Quote(f.Entries[0].Peers.String())
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

// Close ends all processes of the fleet.
func (f *Fleet) Close() {
	for _, group := range [][]*Process{f.Entries, f.Engines, f.Services, {f.Configuration, f.Instance}} {
		for _, p := range group {
			if p != nil {
				p.close()
			}
		}
	}
	f.group.Wait()
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

// processes counts the processes of all fleets of this program.
var processes atomic.Uint32

// nextIP returns a loopback address that no other process has, also of other
// fleets that run at the same time: with shared addresses one of them could
// get the port that another has just chosen and not yet listened at.
func nextIP() netip.Addr {
	n := processes.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%netsPerMachine), byte(n / addrsPerNet), byte(1 + n%addrsPerNet)})
}

const (
	netsPerMachine = 250
	addrsPerNet    = 200
)

// listener chooses where a process listens, and sets addr to where others
// reach it: there, or at a proxy before it.
func (f *Fleet) listener(ip netip.Addr, addr *netip.AddrPort, proxy **Proxy) (listen netip.AddrPort, err error) {
	listen = newAddr(ip)
	*addr = listen
	if f.plan.Proxies {
		if *proxy, err = NewProxy(newAddr(ip), listen); err != nil {
			return listen, err
		}
		*addr = (*proxy).Addr()
	}
	return listen, nil
}

// Ports are chosen below those from which connections leave: a process dials
// from the address that it listens at, and one of its first connections could
// take the port that was chosen for a listener that is not there yet.
const (
	firstPort = 10_000
	portCount = 20_000
)

// ports counts the ports chosen by this program.
var ports atomic.Uint32

// newAddr returns an address that nobody has: the IP address is the process's
// own. It is not tried out. A listener that is opened for a try and closed again
// lives on for a moment in any process that is being forked just then, and the
// real one is refused.
func newAddr(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(firstPort+ports.Add(1)%portCount))
}

// entryWire and upstreamWire are the instance list's lines.
type entryWire struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Peer       netip.AddrPort `json:"peer"`
	Leaving    bool           `json:"leaving"`
}

type upstreamWire struct {
	Name        string         `json:"name"`
	Pool        string         `json:"pool"`
	DataCentre  string         `json:"data_centre"`
	Addr        netip.AddrPort `json:"addr"`
	Incarnation string         `json:"incarnation"`
	Leaving     bool           `json:"leaving"`
}

type listWire struct {
	Entries   []entryWire    `json:"entries"`
	Upstreams []upstreamWire `json:"upstreams"`
}

// PublishList gives the instance list all processes of the fleet.
func (f *Fleet) PublishList(ctx context.Context) error {
	var list listWire
	for _, p := range f.Entries {
		list.Entries = append(list.Entries, entryWire{Name: p.Name, DataCentre: p.DataCentre, Peer: p.Peers})
	}
	for pool, processes := range map[string][]*Process{"drafting": f.Engines, "shop": f.Services} {
		for _, p := range processes {
			list.Upstreams = append(list.Upstreams, upstreamWire{
				Name: p.Name, Pool: pool, DataCentre: p.DataCentre, Addr: p.Addr, Incarnation: p.Incarnation.String(), Leaving: p.leaving,
			})
		}
	}
	content, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return f.put(ctx, f.Instance.Direct, "/instances", content)
}

func (f *Fleet) publish(ctx context.Context) error {
	values := map[string]string{
		"pools/drafting":           `{"checks_fencing": true}`,
		"pools/shop":               `{}`,
		"classes/" + DraftClass:    `{"kind": "stream", "pool": "drafting", "model": "tuning-large", "target": {"wait_ms": 2000, "pace_ms": 40}}`,
		"classes/" + ReadClass:     `{"kind": "read", "pool": "shop", "target": {"wait_ms": 300}}`,
		"classes/" + PurchaseClass: `{"kind": "charge", "pool": "shop", "target": {"wait_ms": 1000}}`,
		"teams/00":                 fmt.Sprintf(`{"teams": [{"name": %q, "credential_sha256": %q}]}`, Team, config.Hash([]byte(Credential))),
	}
	maps.Copy(values, f.plan.Config)
	for key, value := range values {
		if err := f.PutConfig(ctx, key, value); err != nil {
			return err
		}
	}
	return f.PublishList(ctx)
}

// PutConfig publishes one value of the configuration.
func (f *Fleet) PutConfig(ctx context.Context, key, value string) error {
	_, err := f.send(ctx, http.MethodPut, f.Configuration.Direct, "/values/"+url.PathEscape(key), []byte(value))
	return err
}

func (f *Fleet) put(ctx context.Context, addr netip.AddrPort, path string, content []byte) error {
	_, err := f.send(ctx, http.MethodPut, addr, path, content)
	return err
}

// send retries until the stand-in, which may just be starting, takes it.
func (f *Fleet) send(ctx context.Context, method string, addr netip.AddrPort, path string, content []byte) ([]byte, error) {
	giveUpAt := time.Now().Add(readyLimit)
	for {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(content))
		if err != nil {
			return nil, err
		}
		response, err := f.http.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				return answer, nil
			}
			err = errorx.ExternalError.New("%s: %s", path, response.Status)
		}
		if time.Now().After(giveUpAt) {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// WaitReady waits until every entry instance is ready and knows all others of
// its data centre.
func (f *Fleet) WaitReady(ctx context.Context, until time.Time) error {
	for _, p := range f.Entries {
		for !f.ready(ctx, p) {
			if time.Now().After(until) {
				return errorx.TimeoutElapsed.New("%s is not ready: %s", p.Name, f.describe(ctx))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// describe tells what each entry instance says of itself and what it last
// logged: one that is not ready may wait for another that has ended.
func (f *Fleet) describe(ctx context.Context) string {
	var text strings.Builder
	for _, p := range f.Entries {
		status, err := f.Status(ctx, p)
		logs, _ := os.ReadFile(filepath.Join(f.plan.Dir, p.Name+".log")) // It may not have started.
		fmt.Fprintf(&text, "\n%s: status %+v, %v, log: %s", p.Name, status, err, logs[max(0, len(logs)-shownLogBytes):])
	}
	return text.String()
}

// shownLogBytes is how much of a log's end an error shows.
const shownLogBytes = 2000

// Status is the part of an instance's status that the bench looks at.
type Status struct {
	Incarnation   string   `json:"incarnation"`
	Ready         bool     `json:"ready"`
	ConfigVersion uint64   `json:"config_version"`
	Peers         []string `json:"peers"`
	OpenRequests  int      `json:"open_requests"`
}

// Status asks an entry instance for its status.
func (f *Fleet) Status(ctx context.Context, p *Process) (Status, error) {
	var status Status
	content, err := f.Get(ctx, "http://"+p.Operators.String()+"/status")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(content, &status)
}

func (f *Fleet) ready(ctx context.Context, p *Process) bool {
	status, err := f.Status(ctx, p)
	if err != nil || !status.Ready {
		return false
	}
	// Instances of other data centres are known to delegates only.
	for _, other := range f.Entries {
		if other != p && other.DataCentre == p.DataCentre && !slices.Contains(status.Peers, other.Name) {
			return false
		}
	}
	return true
}

// Get reads an address; anything but 200 is an error.
func (f *Fleet) Get(ctx context.Context, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errorx.ExternalError.New("%s: %s %s", target, strconv.Itoa(response.StatusCode), content)
	}
	return content, err
}

// TrailOf returns the path of the audit trail of all incarnations of p.
func (f *Fleet) TrailOf(p *Process) string { return filepath.Join(f.plan.Dir, p.Name+".trail") }
