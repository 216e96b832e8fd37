// Package entry assembles and runs an entry instance, which routes requests of
// callers to upstreams.
package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"mangoloft/jsonc"
	"mangoloft/routing"
)

// Settings are the settings of an instance, documented in docs/SETTINGS.md.
type Settings struct {
	Instance   string           `json:"instance"`
	DataCentre string           `json:"data_centre"`
	Listen     Listen           `json:"listen"`
	Seeds      []netip.AddrPort `json:"seeds"`
	Store      Store            `json:"store"`
	Limits     Limits           `json:"limits"`
	Stop       Stop             `json:"stop"`
	Retries    Retries          `json:"retries"`
	Evacuation Evacuation       `json:"evacuation"`
	Ranks      Ranks            `json:"ranks"`
	// Regions contains the region of each data centre, as far as known.
	Regions routing.Regions `json:"regions"`
	Cold    Cold            `json:"cold"`
}

// Listen contains the addresses on which the instance listens.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Readiness netip.AddrPort `json:"readiness"`
	// Control is the address at which other instances request state.
	Control netip.AddrPort `json:"control"`
	// Peers is the address at which the instance receives datagrams from other
	// instances.
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
}

// Store describes the store with the published configuration.
type Store struct {
	Address netip.AddrPort `json:"address"`
	// ApplyMS is the time in milliseconds within which all instances must apply a
	// published change; 0 stands for defaultApplyMS.
	ApplyMS float64 `json:"apply_ms"`
	// HistorySeconds is the time for which the store keeps the history of changes; 0 if it
	// isn't known.
	HistorySeconds float64 `json:"history_seconds"`
}

const defaultApplyMS = 2000

// historyTime returns the time for which the store keeps the history of changes.
func (s Store) historyTime() time.Duration { return seconds(s.HistorySeconds) }

// applyTime returns the time within which a published change must be applied.
func (s Store) applyTime() time.Duration {
	ms := s.ApplyMS
	if ms == 0 {
		ms = defaultApplyMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Evacuation describes the orders to evacuate data centres.
type Evacuation struct {
	// ApplyMS is the time in milliseconds within which all instances must apply an order; 0
	// if there are no such orders.
	ApplyMS float64 `json:"apply_ms"`
}

// applyTime returns the time within which an order must be applied; 0 if there are none.
func (e Evacuation) applyTime() time.Duration {
	return time.Duration(e.ApplyMS * float64(time.Millisecond))
}

// Ranks controls the effect of the ranks of routes and teams.
type Ranks struct {
	// Enabled makes requests of higher rank get capacity first.
	Enabled bool `json:"enabled"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
}

// Stop describes a planned stop.
type Stop struct {
	// GraceSeconds is the time between SIGTERM and the kill of the process.
	GraceSeconds float64 `json:"grace_seconds"`
}

// Retries limit the retries per service of all instances together.
type Retries struct {
	// Share is the allowed number of retries as a share of a service's requests.
	Share float64 `json:"share"`
	// Slack is the number of retries per window that are allowed in addition.
	Slack float64 `json:"slack"`
	// WindowSeconds is the length of a window.
	WindowSeconds float64 `json:"window_seconds"`
}

// The plausible limits of retries.
const (
	maxRetryShare  = 10
	maxRetrySlack  = 1e6
	maxRetryWindow = 3600
)

// Cold limits the requests to a cold upstream in any second. If Overage is 0, cold upstreams
// are treated like others.
type Cold struct {
	// Overage is the allowed number of requests as a multiple of the rate that the upstream
	// bears, 1 or more.
	Overage float64 `json:"overage"`
	// Slack is the number of requests that are allowed in addition.
	Slack float64 `json:"slack"`
}

// Load reads and validates the settings file at path. The error is a
// jsonc.Faults with every fault, or the error of reading the file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return parse(path, content)
}

// parse decodes and validates the content of the settings file.
func parse(file string, content []byte) (Settings, error) {
	var s Settings
	doc := jsonc.DecodeDocument(file, content, &s)
	check := func(ok bool, field string, value any, allowed string) {
		if !ok {
			doc.AddFault(field, doc.FoundText(field, fmt.Sprint(value)), allowed)
		}
	}
	check(s.Instance != "", "instance", s.Instance, "a name")
	check(s.DataCentre != "", "data_centre", s.DataCentre, "a name")
	check(s.Listen.Callers.IsValid(), "listen.callers", s.Listen.Callers, "an address and a port")
	check(s.Listen.Readiness.IsValid(), "listen.readiness", s.Listen.Readiness, "an address and a port")
	check(s.Listen.Peers.IsValid(), "listen.peers", s.Listen.Peers, "an address and a port")
	check(s.Store.Address.IsValid(), "store.address", s.Store.Address, "an address and a port")
	check(s.Store.ApplyMS >= 0, "store.apply_ms", s.Store.ApplyMS, "a number of milliseconds, 0 or more")
	check(s.Store.HistorySeconds >= 0, "store.history_seconds", s.Store.HistorySeconds, "a number of seconds, 0 or more")
	check(s.Evacuation.ApplyMS >= 0, "evacuation.apply_ms", s.Evacuation.ApplyMS, "a number of milliseconds, 0 or more")
	check(s.Stop.GraceSeconds > 0, "stop.grace_seconds", s.Stop.GraceSeconds, "a number of seconds above 0")
	check(s.Limits.MemoryMB > 0, "limits.memory_mb", s.Limits.MemoryMB, "a number of megabytes above 0")
	check(s.Limits.Descriptors > 0, "limits.descriptors", s.Limits.Descriptors, "a number above 0")
	check(s.Retries.Share >= 0 && s.Retries.Share <= maxRetryShare, "retries.share", s.Retries.Share, "a share, 0 to 10")
	check(s.Retries.Slack >= 0 && s.Retries.Slack <= maxRetrySlack, "retries.slack", s.Retries.Slack, "a number, 0 to 1000000")
	check(s.Retries.WindowSeconds > 0 && s.Retries.WindowSeconds <= maxRetryWindow, "retries.window_seconds", s.Retries.WindowSeconds, "a number of seconds above 0, at most 3600")
	check(s.Cold.Overage == 0 || s.Cold.Overage >= 1, "cold.overage", s.Cold.Overage, "a factor, 1 or more; or 0")
	check(s.Cold.Slack >= 0, "cold.slack", s.Cold.Slack, "a number, 0 or more")
	if faults := doc.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
