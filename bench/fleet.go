// Package bench starts fleets of real processes on the loopback interface,
// puts load and faults on them, and checks and measures what comes back.
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

// Plan says what fleet to start.
type Plan struct {
	// Bin is the directory with the programs mangoloft and standin.
	Bin string
	// Dir is an empty directory for settings, keys and logs.
	Dir         string
	DataCentres int
	// Entries, Engines and Services are counts in each data centre.
	Entries, Engines, Services int
	// ExtraEntries and ExtraEngines are how many data centres, from the first
	// on, have one more of them.
	ExtraEntries, ExtraEngines int
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

// Fleet is a running fleet.
type Fleet struct {
	plan                        Plan
	Entries                     []*Process
	Engines, Services           []*Process
	ConfigService, InstanceList *Process
	group                       sync.WaitGroup
	http                        *http.Client
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
	if f.ConfigService, err = f.startStandin("configuration", "platform", "configuration"); err != nil {
		return f, err
	}
	if f.InstanceList, err = f.startStandin("list", "platform", "list"); err != nil {
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
	for i := range countIn(dc, f.plan.Engines, f.plan.ExtraEngines) {
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
	for i := range countIn(dc, f.plan.Entries, f.plan.ExtraEntries) {
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
	p.DirectAddr = listen
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
	peers, err := f.listener(p.IP, &p.PeerAddr, &p.PeerProxy)
	if err != nil {
		return nil, err
	}
	p.OperatorAddr = newAddr(p.IP)
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
`, name, centre, callers, peers, p.OperatorAddr, p.PeerAddr, f.ConfigService.Addr, f.InstanceList.Addr, f.seeds(), limits, secured)
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
	return strconv.Quote(f.Entries[0].PeerAddr.String())
}

// Close ends all processes of the fleet.
func (f *Fleet) Close() {
	for _, group := range [][]*Process{f.Entries, f.Engines, f.Services, {f.ConfigService, f.InstanceList}} {
		for _, p := range group {
			if p != nil {
				p.close()
			}
		}
	}
	f.group.Wait()
}
