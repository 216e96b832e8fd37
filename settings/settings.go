// Package settings reads and validates the settings file of an entry instance.
package settings

import (
	"net"
	"net/netip"
	"time"

	"mangoloft/certs"
	"mangoloft/ticket"
)

// Settings contains the validated settings of one entry instance.
type Settings struct {
	// File is the path of the settings file.
	File       string
	Instance   string
	DataCentre string
	Listen     Listen
	// Advertise is the address at which peers reach this instance. Tickets and
	// request ids contain it. It defaults to Listen.Peers.
	Advertise netip.AddrPort
	Platform  Platform
	// Seeds are the peers to contact until an instance list has been received, so that
	// an instance can start while the platform is down.
	Seeds  []netip.AddrPort
	Keys   []ticket.Key
	Limits Limits
	TLS    TLS
	// Warnings describes problems that an operator should fix, but with which the
	// instance can run.
	Warnings []string
}

// Listen contains the addresses on which the instance listens.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
}

// Platform contains the addresses of the platform's services.
type Platform struct {
	Configuration netip.AddrPort `json:"configuration"`
	InstanceList  netip.AddrPort `json:"instance_list"`
}

// TLS contains the TLS files of each listener. A listener without files does not use
// TLS.
type TLS struct {
	// Peers, if set, are also the files for outgoing connections to peers.
	Peers, Callers, Operators certs.Files
}

// Limits contains limits on requests and the grace period of a planned stop.
type Limits struct {
	// BodyBytes is the size limit of a request's body.
	BodyBytes int64 `json:"body_bytes"`
	// OpenRequests is the maximum number of open requests.
	OpenRequests int `json:"open_requests"`
	// StopGraceMS is the time in milliseconds for which a stopping instance still
	// accepts new requests after it reports that it is not ready. It must be longer
	// than the load balancer needs to detect this.
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

// Dialer returns a dialer with the timeout. Its connections use the address on which
// the instance listens for peers as their source address, so that the network can
// distinguish instances that run on the same host.
func (s Settings) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.Listen.Peers.Addr().AsSlice()}}
}
