// Package settings reads the settings file of one entry instance. They are
// checked once, here, and passed on as one value.
package settings

import (
	"net"
	"net/netip"
	"time"

	"mangoloft/certs"
	"mangoloft/ticket"
)

// Settings is what an entry instance is told about itself.
type Settings struct {
	// File is where they were read.
	File       string
	Instance   string
	DataCentre string
	Listen     Listen
	// Advertise is the address by which peers reach this instance, which
	// tickets and request ids name. It is Listen.Peers unless set.
	Advertise netip.AddrPort
	Platform  Platform
	// Seeds are peers to ask while the instance list is not known, so that an
	// instance can start while the platform is down.
	Seeds  []netip.AddrPort
	Keys   []ticket.Key
	Limits Limits
	TLS    TLS
	// Warnings are what an operator should mend although the instance runs.
	Warnings []string
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

// TLS says which listeners are secured, and by which files.
type TLS struct {
	// Peers, when there, secures the links between instances both ways.
	Peers, Callers, Operators certs.Files
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int64 `json:"body_bytes"`
	// OpenRequests is how many requests may be open at once.
	OpenRequests int `json:"open_requests"`
	// StopGraceMS is how long, in milliseconds, a planned stop still takes new
	// requests after readiness fell: longer than the balancer takes to notice.
	StopGraceMS int64 `json:"stop_grace_ms"`
}

const (
	defaultBodyBytes    = 1 << 20
	minBodyBytes        = 1 << 10
	maxBodyBytes        = 64 << 20
	defaultOpenRequests = 4096
	maxOpenRequests     = 1_000_000
	defaultStopGraceMS  = 1000
	maxStopGraceMS      = 600_000
)

// Dialer returns a dialer that gives up after the limit. Connections leave from
// the address that the instance listens at for its peers, so that the network
// can tell the instances of one machine apart.
func (s Settings) Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: s.Listen.Peers.Addr().AsSlice()}}
}
