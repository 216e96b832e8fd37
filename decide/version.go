package decide

import (
	"maps"
	"slices"
	"time"

	"mangoloft/ident"
	"mangoloft/origin"
)

// poolVersion is a version of the software of a pool's upstreams.
type poolVersion struct{ pool, version string }

// canRunOn reports whether the request may be sent to an upstream whose software has the
// version.
func (r Request) canRunOn(version string) bool { return !r.NeedsVersion || r.Version == version }

// versionText is the part of an explanation that names the version that the request needs.
func (r Request) versionText() string {
	if !r.NeedsVersion {
		return ""
	}
	return " whose version is " + r.Version
}

// StreamOrigin is what is known of the origin of a stream.
type StreamOrigin struct {
	// Version is the version that began the stream, if Known is set.
	Version string
	Known   bool
	// Recorded reports whether the beginning of the stream was seen. Otherwise Version is
	// the only one that can have begun it.
	Recorded bool
	// Incomplete means that the instance doesn't know all versions that can have begun the
	// stream, because it has started since.
	Incomplete bool
}

// StreamOrigin returns the origin of a stream that a caller takes up in a pool, and that has
// begun or gone on since a time.
func (s *Scheduler) StreamOrigin(now time.Time, pool string, stream origin.Key, since time.Time) StreamOrigin {
	if version, ok := s.origins.Find(now, stream); ok {
		return StreamOrigin{Version: version, Known: true, Recorded: true}
	}
	if s.departuresKnownSince.IsZero() || s.departuresKnownSince.After(since) {
		return StreamOrigin{Incomplete: true}
	}
	versions := s.versionsSince(pool, since)
	if len(versions) != 1 {
		return StreamOrigin{}
	}
	return StreamOrigin{Version: versions[0], Known: true}
}

// PastVersion is a version of a pool that served in the past.
type PastVersion struct{ Pool, Version string }

// ExtendPast records versions that served in the past, as the list's history shows, and that
// no others did since the time.
func (s *Scheduler) ExtendPast(now time.Time, versions []PastVersion, since time.Time) {
	for _, v := range versions {
		s.retired[poolVersion{v.Pool, v.Version}] = now
	}
	s.departuresKnownSince = since
}

// ListKnown records that the list of upstreams is known from now on.
func (s *Scheduler) ListKnown(now time.Time) {
	if s.departuresKnownSince.IsZero() {
		s.departuresKnownSince = now
	}
}

// RecordOrigin records the version that began a stream, as another instance knows it.
func (s *Scheduler) RecordOrigin(now time.Time, stream origin.Key, version string) {
	s.origins.Record(now, stream, version)
}

// recordOrigin records the origin of a request whose first tokens have been generated. It
// returns the key of its stream and the version that began it.
func (s *Scheduler) recordOrigin(now time.Time, id ident.Request) (stream origin.Key, version string) {
	u := s.upstreams[s.placed[id]]
	if u == nil {
		return 0, ""
	}
	f := u.find(id)
	if f == nil {
		return 0, ""
	}
	s.origins.Record(now, f.Stream, u.Version)
	return f.Stream, u.Version
}

// retire records that an upstream has left or has changed.
func (s *Scheduler) retire(now time.Time, u Upstream) {
	for key, at := range s.retired {
		if now.Sub(at) > 2*origin.Retention {
			delete(s.retired, key)
		}
	}
	s.retired[poolVersion{u.Pool, u.Version}] = now
}

// versionsSince returns the versions of the upstreams that serve in the pool, or did since a
// time.
func (s *Scheduler) versionsSince(pool string, since time.Time) []string {
	versions := map[string]bool{}
	for _, u := range s.upstreams {
		if u.Pool == pool {
			versions[u.Version] = true
		}
	}
	for key, at := range s.retired {
		if key.pool == pool && !at.Before(since) {
			versions[key.version] = true
		}
	}
	return slices.Collect(maps.Keys(versions))
}
