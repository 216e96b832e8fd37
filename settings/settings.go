// Package settings reads the settings file of one entry instance. They are
// checked once, here, and passed on as one value.
package settings

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mangoloft/jsonc"
	"mangoloft/ticket"
)

// Settings is what an entry instance is told about itself.
type Settings struct {
	Instance   string
	DataCentre string
	Listen     Listen
	// Advertise is the address by which peers reach this instance, which
	// tickets and request ids name. It is Listen.Peers unless set.
	Advertise netip.AddrPort
	Platform  Platform
	Keys      []ticket.Key
	Limits    Limits
}

// Listen holds the addresses where the instance listens.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Configuration netip.AddrPort `json:"configuration"`
	InstanceList  netip.AddrPort `json:"instance_list"`
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int64 `json:"body_bytes"`
	// OpenRequests is how many requests may be open at once.
	OpenRequests int `json:"open_requests"`
}

const (
	defaultBodyBytes    = 1 << 20
	defaultOpenRequests = 4096
)

// fileWire is the settings file.
type fileWire struct {
	Instance   string         `json:"instance"`
	DataCentre string         `json:"data_centre"`
	Listen     Listen         `json:"listen"`
	Advertise  netip.AddrPort `json:"advertise"`
	Platform   Platform       `json:"platform"`
	Keys       []keyWire      `json:"keys"`
	Limits     Limits         `json:"limits"`
}

type keyWire struct {
	ID         string `json:"id"`
	SecretFile string `json:"secret_file"`
}

// Dialer returns a dialer that gives up after the limit. Connections leave from
// the address that the instance listens at for its peers, so that the network
// can tell the instances of one machine apart.
func (s Settings) Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: s.Listen.Peers.Addr().AsSlice()}}
}

// Load reads and checks the file at path. The error is a jsonc.Faults with
// every fault, or that of reading the file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	wire := fileWire{Limits: Limits{BodyBytes: defaultBodyBytes, OpenRequests: defaultOpenRequests}}
	faults := jsonc.Decode(path, content, &wire)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	missing := func(field, allowed string) {
		faults = append(faults, jsonc.Fault{File: path, Line: 1, Column: 1, Field: field, Found: "nothing", Allowed: allowed})
	}
	if wire.Instance == "" {
		missing("instance", "a name")
	}
	if wire.DataCentre == "" {
		missing("data_centre", "a name")
	}
	for field, addr := range map[string]netip.AddrPort{
		"listen.callers": wire.Listen.Callers, "listen.peers": wire.Listen.Peers, "listen.operators": wire.Listen.Operators,
		"platform.configuration": wire.Platform.Configuration, "platform.instance_list": wire.Platform.InstanceList,
	} {
		if !addr.IsValid() {
			missing(field, "an IP address and port")
		}
	}
	settings := Settings{
		Instance: wire.Instance, DataCentre: wire.DataCentre, Listen: wire.Listen, Advertise: wire.Advertise,
		Platform: wire.Platform, Limits: wire.Limits,
	}
	if !settings.Advertise.IsValid() {
		settings.Advertise = settings.Listen.Peers
	}
	for _, key := range wire.Keys {
		secret, err := os.ReadFile(filepath.Join(filepath.Dir(path), key.SecretFile))
		if err != nil {
			missing("keys.secret_file", "a file that can be read")
			continue
		}
		settings.Keys = append(settings.Keys, ticket.Key{ID: key.ID, Secret: []byte(strings.TrimSpace(string(secret)))})
	}
	if _, err := ticket.NewKeyring(settings.Keys); err != nil {
		missing("keys", err.Error())
	}
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return settings, nil
}
