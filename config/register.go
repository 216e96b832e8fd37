package config

import (
	"slices"

	"mangoloft/jsonc"
)

// Register contains the active configuration. Its version never decreases, regardless
// of the order and the source of the documents.
//
// Two documents with the same version can only come from a configuration service
// that lost its data. All instances then choose the one with the larger digest, so
// that they agree without communicating.
type Register struct {
	doc  Document
	view *View
	// refused contains the revisions of the latest invalid documents, so that they are
	// not fetched, validated and logged repeatedly.
	refused []revision
	// removed contains the most recently removed keys, so that only the changes need to
	// be sent to a peer with an older version.
	removed []Removal
}

// Removal is a key that was removed from the index.
type Removal struct {
	Key string
	// Version is the first index version without the key.
	Version uint64
}

const (
	// maxRefused is the maximum length of Register.refused.
	maxRefused = 64
	// maxRemoved is the maximum length of Register.removed. A peer that missed more
	// removals fetches the whole document.
	maxRemoved = 1024
)

// revision identifies a document and orders documents by age.
type revision struct {
	version uint64
	digest  string
}

func (r revision) olderThan(other revision) bool {
	return r.version < other.version || r.version == other.version && r.digest < other.digest
}

func (r *Register) current() revision {
	if r.view == nil {
		return revision{}
	}
	return revision{r.view.Version, r.view.Digest}
}

// View returns the active configuration, or nil if there is none yet.
func (r *Register) View() *View { return r.view }

// Document returns the active document. Its maps must not be changed.
func (r *Register) Document() Document { return r.doc }

// Removed returns the latest removals, oldest first. The slice must not be
// changed.
func (r *Register) Removed() []Removal { return r.removed }

// IsNewer reports whether a document with this version and digest is newer than the
// active one and has not been refused as invalid.
func (r *Register) IsNewer(version uint64, digest string) bool {
	candidate := revision{version, digest}
	return r.current().olderThan(candidate) && !slices.Contains(r.refused, candidate)
}

// Refused reports whether a document with this version and digest was refused as
// invalid.
func (r *Register) Refused(version uint64, digest string) bool {
	return slices.Contains(r.refused, revision{version, digest})
}

// Apply makes the document active if it is valid and newer than the active one. If a
// newer document is invalid, its faults are returned and the active one is kept.
func (r *Register) Apply(doc Document) (accepted bool, faults jsonc.Faults) {
	candidate := revision{doc.Index.Version, doc.Index.Digest()}
	if !r.IsNewer(candidate.version, candidate.digest) {
		return false, nil
	}
	view, faults := ParseIncremental(doc, r.view)
	if len(faults) > 0 {
		r.refused = append(r.refused, candidate)
		r.refused = r.refused[max(0, len(r.refused)-maxRefused):]
		return false, faults
	}
	removed := slices.Clone(r.removed) // Snapshots refer to the old slice.
	for _, key := range doc.Index.Removed(r.doc.Index) {
		removed = append(removed, Removal{key, doc.Index.Version})
	}
	r.removed = removed[max(0, len(removed)-maxRemoved):]
	r.doc, r.view = doc, view
	return true, nil
}
