package config

import "mangoloft/jsonc"

// Register holds the configuration in force. Its version never falls, whatever
// order documents come in and whoever sends them.
//
// Two documents of one version can only come from a service that lost its
// memory. All instances then settle on the one with the larger digest, so that
// they agree without asking each other.
type Register struct {
	doc  Document
	view *View
	// refused is the newest document found invalid, so that it is not
	// fetched, checked and logged again and again.
	refused stamp
}

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

// Wants reports whether a document with this version and digest would replace
// the one in force, and is not known to be invalid.
func (r *Register) Wants(version uint64, digest string) bool {
	offered := stamp{version, digest}
	return r.current().less(offered) && offered != r.refused
}

// Offer puts the document in force if it is newer than the one in force and
// valid. Faults say why a newer one was refused; the last good one then stays.
func (r *Register) Offer(doc Document) (accepted bool, faults jsonc.Faults) {
	if !r.Wants(doc.Index.Version, doc.Index.Digest()) {
		return false, nil
	}
	view, faults := Parse(doc)
	if len(faults) > 0 {
		r.refused = stamp{doc.Index.Version, doc.Index.Digest()}
		return false, faults
	}
	r.doc, r.view = doc, view
	return true, nil
}
