// Package routing implements the routing table that operators publish. It
// determines the route of a request, the services that it can be sent to, and
// the team that a credential belongs to.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route can be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests can run any number of times.
	Safe
	// Streaming requests return a stream of events. They are unsafe unless the
	// route is resumable.
	Streaming
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Streaming: "streaming"}

// String returns the kind's name in snake case.
func (k Kind) String() string { return kindNames[k] }

// Share assigns a service a share of a route's requests, in proportion to the
// weight.
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
	// Timeout is the maximum duration of a request; zero if the operator sets
	// none.
	Timeout time.Duration
	// Target is the target for the time to the first byte.
	Target time.Duration
	// PauseTarget is the target for the longest pause between two events of a
	// stream.
	PauseTarget time.Duration
	// MaxAttempts is the maximum number of upstreams on which a request is
	// executed.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Public routes need no credential.
	Public bool
	// Resumable streams can be continued by another run, that is, another
	// execution of the generation on an engine.
	Resumable bool
	// Regions are the only regions in which requests may run; empty for all.
	Regions []string
}

// Idempotent reports whether a request of the route can run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Allows reports whether requests of the route can be sent to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a random fraction in [0, 1), in
// proportion to the weights.
func (r *Route) PickService(fraction float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	position := fraction * total
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of concurrent requests on one engine.
	Slots int
	// KVCacheTokens is the capacity of the KV cache, in tokens.
	KVCacheTokens int
	// KVBytesPerToken is the size of a token in the KV cache, in bytes.
	KVBytesPerToken float64
	// LinkMbps is the bandwidth between engines, in Mbit/s.
	LinkMbps float64
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// SupportsMove and SupportsBackup report whether the KV cache of a run can be
	// moved to another engine, and backed up on one.
	SupportsMove, SupportsBackup bool
	// CopyLifetime is the time for which an engine keeps an unused copy of a KV
	// cache.
	CopyLifetime time.Duration
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the URL path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one upstream.
	MaxConnections int
	// ColdPerSecond is the rate of requests that an upstream bears while it is cold; 0 if there
	// is no limit. ColdStart is the time for which an upstream is cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Malformed describes the values that could not be decoded and were ignored; nil if there
	// are none.
	Malformed error
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Limits contains the limits for the requests of a caller.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the timeout for receiving a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the timeout for a connection without a request.
	IdleTimeout time.Duration
}

// Team is the owner of a request.
type Team struct {
	Name string
	// Priority replaces the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// Regions are the only regions in which the team's requests may run; empty for all.
	Regions []string
}

// Table is one published version of the routing table. It is immutable.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// RequiresCredential reports whether routes that are not public need a
	// credential.
	RequiresCredential bool

	byHost map[string][]*Route
	teams  map[[sha256.Size]byte]*Team
	// rankedServices contains the services whose requests can differ in rank, and
	// clampedRanks the ranks that were out of range.
	rankedServices map[string]bool
	clampedRanks   []string
}

// New returns the table with its lookup indexes. The keys are the credentials
// of each team by its name.
func New(t Table, teams []Team, keys map[string][]string) *Table {
	t.clampRanks(teams)
	t.findRankedServices(teams, keys)
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

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
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

// CredentialCount returns the number of credentials.
func (t *Table) CredentialCount() int { return len(t.teams) }
