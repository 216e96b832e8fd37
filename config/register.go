package config

import (
	"slices"

	"mangoloft/jsonc"
)

// Register holds the configuration in force. Its version never falls, whatever
// order documents come in and whoever sends them.
//
// Two documents of one version can only come from a service that lost its
// memory. All instances then settle on the one with the larger digest, so that
// they agree without asking each other.
type Register struct {
	doc  Document
	view *View
	// refused holds the latest documents found invalid, so that none is
	// fetched, checked and logged again and again.
	refused []stamp
	// removed holds the latest keys that went away and the version that took
	// each, so that a peer can be told just what changed.
	removed []Removal
}

// Removal is a key that went away.
type Removal struct {
	Key string
	// Version is the index version that no longer had the key.
	Version uint64
}

const (
	// refusedKept bounds the memory of invalid documents.
	refusedKept = 64
	// removedKept bounds the memory of removed keys. Whoever missed more gets
	// the whole document.
	removedKept = 1024
)

// stamp orders documents.
type stamp struct {
	version uint64
	digest  string
}

func (s stamp) less(other stamp) bool {
	return s.version < other.version || s.version == other.version && s.digest < other.digest
}

func (r *Register) current() stamp {
	if r.view == nil {
		return stamp{}
	}
	return stamp{r.view.Version, r.view.Digest}
}

// View returns the configuration in force, or nil before the first one.
func (r *Register) View() *View { return r.view }

// Document returns the document in force. Its maps must not be changed.
func (r *Register) Document() Document { return r.doc }

// Removed returns the latest removals, oldest first. The slice must not be
// changed.
func (r *Register) Removed() []Removal { return r.removed }

// IsCandidate reports whether a document with this version and digest would replace
// the one in force, and is not known to be invalid.
func (r *Register) IsCandidate(version uint64, digest string) bool {
	offered := stamp{version, digest}
	return r.current().less(offered) && !slices.Contains(r.refused, offered)
}

// Refused reports whether a document with this version and digest was found
// invalid.
func (r *Register) Refused(version uint64, digest string) bool {
	return slices.Contains(r.refused, stamp{version, digest})
}

// Offer puts the document in force if it is newer than the one in force and
// valid. Faults say why a newer one was refused; the last good one then stays.
func (r *Register) Offer(doc Document) (accepted bool, faults jsonc.Faults) {
	offered := stamp{doc.Index.Version, doc.Index.Digest()}
	if !r.IsCandidate(offered.version, offered.digest) {
		return false, nil
	}
	view, faults := ParseIncremental(doc, r.view)
	if len(faults) > 0 {
		r.refused = append(r.refused, offered)
		r.refused = r.refused[max(0, len(r.refused)-refusedKept):]
		return false, faults
	}
	removed := slices.Clone(r.removed) // Snapshots hold the old one.
	for _, key := range doc.Index.Removed(r.doc.Index) {
		removed = append(removed, Removal{key, doc.Index.Version})
	}
	r.removed = removed[max(0, len(removed)-removedKept):]
	r.doc, r.view = doc, view
	return true, nil
}
