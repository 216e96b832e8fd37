// Package routing holds the routing table that operators publish: which route
// a request takes, which services may run it, and which team a credential
// belongs to.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Streaming requests answer with events. They are unsafe unless the route
	// is resumable.
	Streaming
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Streaming: "streaming"}

// String returns the kind's name in snake case.
func (k Kind) String() string { return kindNames[k] }

// Share is a service that gets a part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is one entry of the table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest that a request is kept waiting for its end; zero
	// when the operator sets none.
	Timeout time.Duration
	// Target is the time to the first byte that the operator aims at.
	Target time.Duration
	// PauseTarget is the longest pause between two events of a stream.
	PauseTarget time.Duration
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int
	// Priority is the rank; 0 comes first.
	Priority int
	// Public routes need no credential.
	Public bool
	// Resumable streams may go on in another run.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Allows reports whether the route may send requests to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a lot in [0, 1).
func (r *Route) PickService(lot float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := lot * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine is what a service's model engines can do.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVCacheTokens is its key-value memory.
	KVCacheTokens int
	// KVBytesPerToken is the memory of one token, in bytes.
	KVBytesPerToken float64
	// LinkMbps is the bandwidth between engines, in Mbit/s.
	LinkMbps float64
	// EventTokens is how many tokens one event holds.
	EventTokens int
	// SupportsMove and SupportsBackup tell which ways a run's memory can be copied.
	SupportsMove, SupportsBackup bool
	// CopyLifetime is how long an unused copy is kept.
	CopyLifetime time.Duration
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one upstream accepts.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is how long a caller may take to send a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Team is who a request is made for.
type Team struct {
	Name string
	// Priority replaces the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of what operators published. It is immutable.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// RequiresCredential says that routes need a credential unless they are public.
	RequiresCredential bool

	byHost map[string][]*Route
	teams  map[[sha256.Size]byte]*Team
}

// New indexes a table. Keys are the credentials of each team.
func New(t Table, teams []Team, keys map[string][]string) *Table {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.teams = map[[sha256.Size]byte]*Team{}
	for i := range teams {
		for _, key := range keys[teams[i].Name] {
			t.teams[sha256.Sum256([]byte(key))] = &teams[i]
		}
	}
	return &t
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Team returns the team that holds the credential.
func (t *Table) Team(credential string) (*Team, bool) {
	team, ok := t.teams[sha256.Sum256([]byte(credential))]
	return team, ok
}

// CredentialCount returns how many credentials are known.
func (t *Table) CredentialCount() int { return len(t.teams) }
