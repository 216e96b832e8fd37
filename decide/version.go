package decide

import (
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
	// Ambiguous means that upstreams of several versions have served lately, so that a
	// stream of unknown origin can't go on.
	Ambiguous bool
}

// StreamOrigin returns the origin of a stream that a caller takes up in a pool.
func (s *Scheduler) StreamOrigin(now time.Time, pool string, stream origin.Key) StreamOrigin {
	version, known := s.origins.Find(now, stream)
	return StreamOrigin{version, known, s.servesSeveralVersions(now, pool)}
}

// RecordOrigin records the version that began a stream, as another instance knows it.
func (s *Scheduler) RecordOrigin(now time.Time, stream origin.Key, version string) {
	s.origins.Record(now, stream, version)
}

// recordOrigin records the origin of a request whose first tokens have been generated. It
// returns the key of its stream.
func (s *Scheduler) recordOrigin(now time.Time, id ident.Request) origin.Key {
	u := s.upstreams[s.placed[id]]
	if u == nil {
		return 0
	}
	f := u.find(id)
	if f == nil {
		return 0
	}
	s.origins.Record(now, f.Stream, u.Version)
	return f.Stream
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

// servesSeveralVersions reports whether upstreams of several versions serve in the pool, or
// did while streams that callers still take up began.
func (s *Scheduler) servesSeveralVersions(now time.Time, pool string) bool {
	versions := map[string]bool{}
	for _, u := range s.upstreams {
		if u.Pool == pool {
			versions[u.Version] = true
		}
	}
	for key, at := range s.retired {
		if key.pool == pool && now.Sub(at) <= 2*origin.Retention {
			versions[key.version] = true
		}
	}
	return len(versions) > 1
}
