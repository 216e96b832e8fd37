// Package entry puts an entry instance together that routes callers' requests
// to upstreams, and runs it.
package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"mangoloft/jsonc"
)

// Settings are the instance's settings. docs/SETTINGS.md explains each.
type Settings struct {
	Instance   string           `json:"instance"`
	DataCentre string           `json:"data_centre"`
	Listen     Listen           `json:"listen"`
	Seeds      []netip.AddrPort `json:"seeds"`
	Store      Store            `json:"store"`
	Limits     Limits           `json:"limits"`
	Stop       Stop             `json:"stop"`
	Retries    Retries          `json:"retries"`
}

// Listen holds the addresses where the instance listens.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Readiness netip.AddrPort `json:"readiness"`
	// Control is where other instances ask for state.
	Control netip.AddrPort `json:"control"`
	// Peers is where datagrams of other instances come in.
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
}

// Store tells where the published configuration is.
type Store struct {
	Address netip.AddrPort `json:"address"`
}

// Limits are those of the machine.
type Limits struct {
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
}

// Stop tells how a planned stop goes.
type Stop struct {
	// GraceSeconds is how long after SIGTERM the process is killed.
	GraceSeconds float64 `json:"grace_seconds"`
}

// Retries bound what all instances together may send again to a service.
type Retries struct {
	// Share is the share of a service's requests.
	Share float64 `json:"share"`
	// Slack is how many more there may be in a window.
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// Load reads and checks the file at path. The error is a jsonc.Faults with
// every fault, or that of reading the file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return parse(path, content)
}

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
	check(s.Stop.GraceSeconds > 0, "stop.grace_seconds", s.Stop.GraceSeconds, "a number of seconds above 0")
	check(s.Limits.MemoryMB > 0, "limits.memory_mb", s.Limits.MemoryMB, "a number of megabytes above 0")
	check(s.Limits.Descriptors > 0, "limits.descriptors", s.Limits.Descriptors, "a number above 0")
	check(s.Retries.Share >= 0, "retries.share", s.Retries.Share, "a share, 0 or more")
	check(s.Retries.Slack >= 0, "retries.slack", s.Retries.Slack, "a number, 0 or more")
	if faults := doc.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
