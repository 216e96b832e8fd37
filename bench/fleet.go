// Package bench starts fleets of real processes on the loopback interface,
// subjects them to load and faults, and checks and measures the results.
//
// A fleet consists of entry instances, which are the gateways under test,
// simulated engines and services, and a simulated platform: a configuration
// service and an instance list. An incarnation is one start of a process. A
// ticket is an idempotency key for a charge; the instance that issued it is its
// home, and runs the charge at most once. A home that stops as planned hands its
// tickets over to another instance.
package bench

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"mangoloft/ident"
)

// Plan describes the fleet to start.
type Plan struct {
	// Bin is the directory with the programs mangoloft and standin.
	Bin string
	// Dir is an empty directory for settings, keys, logs and audit trails.
	Dir         string
	DataCentres int
	// Entries, Engines and Services are the numbers of processes in each data centre.
	Entries, Engines, Services int
	// The first ExtraEntries data centres have one more entry instance than the
	// others, and the first ExtraEngines one more engine.
	ExtraEntries, ExtraEngines int
	// Step is the duration of an engine's decode step, which generates one token
	// of each stream.
	Step time.Duration
	// Seeds configures the first entry instance as the seed of all others.
	Seeds bool
	// EngineArgs are additional arguments of the engines.
	EngineArgs []string
	// EntryProgram is the program of the entry instances, mangoloft by default.
	EntryProgram string
	// EntryArgs are additional arguments of the entry instances.
	EntryArgs []string
	// Config contains configuration values, by key, that are published in addition
	// to the default ones.
	Config map[string]string
	// Proxies puts a proxy in front of every listener except those for operators.
	Proxies bool
	// OpenRequests is the maximum number of open requests of an entry instance.
	// Zero selects the instance's default.
	OpenRequests int
	// Authority, if set, issues certificates for TLS between entry instances.
	Authority *Authority
	// StopGrace is the period during which an entry instance still accepts new work
	// after SIGTERM. Zero selects the instance's default.
	StopGrace time.Duration
}

// Names in the initial configuration of every fleet.
const (
	DraftClass    = "draft"
	ReadClass     = "profile_read"
	PurchaseClass = "purchase"
	Team          = "reef"
	// Credential is the credential of Team.
	Credential = "reef-credential"
)

// Fleet is a running fleet.
type Fleet struct {
	plan                        Plan
	Entries                     []*Process
	Engines, Services           []*Process
	ConfigService, InstanceList *Process
	// processes waits for the exit of all processes.
	processes sync.WaitGroup
	http      *http.Client
}

// readyTimeout is the timeout for a new fleet to become ready.
const readyTimeout = 15 * time.Second

// Start starts a fleet and waits until every entry instance is ready. The
// caller must close the fleet even if Start returns an error.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, http: &http.Client{Timeout: 5 * time.Second}}
	secret := make([]byte, 32)
	rand.Read(secret)
	if err := os.WriteFile(filepath.Join(plan.Dir, "key"), []byte(hex.EncodeToString(secret)), 0o600); err != nil {
		return f, err
	}
	var err error
	if f.ConfigService, err = f.startStandin("configuration", "platform", "configuration"); err != nil {
		return f, err
	}
	if f.InstanceList, err = f.startStandin("list", "platform", "list"); err != nil {
		return f, err
	}
	for dc := range plan.DataCentres {
		dataCentre := fmt.Sprintf("dc%d", dc+1)
		if err := f.startDataCentre(dataCentre, dc); err != nil {
			return f, err
		}
	}
	if err := f.publishInitialState(ctx); err != nil {
		return f, err
	}
	return f, f.WaitReady(ctx, time.Now().Add(readyTimeout))
}

// countWithExtra returns the number of processes in the data centre with the
// index dc: count+1 in the first extra data centres, count in the others.
func countWithExtra(dc, count, extra int) int {
	if dc < extra {
		return count + 1
	}
	return count
}

func (f *Fleet) startDataCentre(dataCentre string, dc int) error {
	engineArgs := append([]string{"--step", f.plan.Step.String()}, f.plan.EngineArgs...)
	for i := range countWithExtra(dc, f.plan.Engines, f.plan.ExtraEngines) {
		p, err := f.startStandin(fmt.Sprintf("engine-%s-%d", dataCentre, i+1), dataCentre, "engine", engineArgs...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
	}
	for i := range f.plan.Services {
		p, err := f.startStandin(fmt.Sprintf("service-%s-%d", dataCentre, i+1), dataCentre, "service")
		if err != nil {
			return err
		}
		f.Services = append(f.Services, p)
	}
	for i := range countWithExtra(dc, f.plan.Entries, f.plan.ExtraEntries) {
		if _, err := f.StartEntry(fmt.Sprintf("entry-%s-%d", dataCentre, i+1), dataCentre); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startStandin(name, dataCentre, kind string, args ...string) (*Process, error) {
	p := &Process{Name: name, DataCentre: dataCentre, IP: nextIP()}
	listen, err := f.assignAddrs(p.IP, &p.Addr, &p.Proxy)
	if err != nil {
		return nil, err
	}
	p.DirectAddr = listen
	p.args = append([]string{"standin", kind, "--listen", listen.String()}, args...)
	if kind == "engine" || kind == "service" {
		p.Incarnation = ident.NewIncarnation(time.Now())
		p.args = append(p.args, "--incarnation", p.Incarnation.String())
	}
	return p, f.launch(p)
}

// StartEntry starts an entry instance and adds it to f.Entries.
func (f *Fleet) StartEntry(name, dataCentre string) (*Process, error) {
	p := &Process{Name: name, DataCentre: dataCentre, IP: nextIP()}
	callers, err := f.assignAddrs(p.IP, &p.Addr, &p.Proxy)
	if err != nil {
		return nil, err
	}
	peers, err := f.assignAddrs(p.IP, &p.PeerAddr, &p.PeerProxy)
	if err != nil {
		return nil, err
	}
	p.OperatorAddr = NewAddr(p.IP)
	path := filepath.Join(f.plan.Dir, name+".json")
	limits := ""
	if f.plan.StopGrace > 0 {
		limits = fmt.Sprintf(`"stop_grace_ms": %d,`, f.plan.StopGrace.Milliseconds())
	}
	if f.plan.OpenRequests > 0 {
		limits += fmt.Sprintf(`"open_requests": %d`, f.plan.OpenRequests)
	}
	tlsSettings, err := f.writeCertificate(p)
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
`, name, dataCentre, callers, peers, p.OperatorAddr, p.PeerAddr, f.ConfigService.Addr, f.InstanceList.Addr, f.seeds(), limits, tlsSettings)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	program := cmp.Or(f.plan.EntryProgram, "mangoloft")
	p.args = append([]string{program, "serve", "--settings", path}, f.plan.EntryArgs...)
	f.Entries = append(f.Entries, p)
	return p, f.launch(p)
}

// seeds returns the seed address as an element of a JSON array, or nothing if
// the plan has no seeds.
func (f *Fleet) seeds() string {
	if !f.plan.Seeds || len(f.Entries) == 0 {
		return ""
	}
	return strconv.Quote(f.Entries[0].PeerAddr.String())
}

// Close kills all processes of the fleet and closes their proxies.
func (f *Fleet) Close() {
	for _, group := range [][]*Process{f.Entries, f.Engines, f.Services, {f.ConfigService, f.InstanceList}} {
		for _, p := range group {
			if p != nil {
				p.close()
			}
		}
	}
	f.processes.Wait()
}
