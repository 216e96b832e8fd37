package containment

import (
	"time"

	"mangoloft/fingerprint"
	"mangoloft/prompt"
)

// Kind is a kind of traits.
type Kind uint8

const (
	// PromptParts are the parts of prompts that several requests share.
	PromptParts Kind = iota
	// Requests are whole requests that callers repeat, known by their fingerprints.
	Requests
)

// Trait is something that requests have in common, and on which upstreams may crash.
type Trait uint64

// String returns the trait as it is shown for its prompt part or fingerprint.
func (t Trait) String() string { return prompt.Part(t).String() }

// List returns the first traits, for logs.
func List(traits []Trait) string {
	parts := make([]prompt.Part, len(traits))
	for i, t := range traits {
		parts[i] = prompt.Part(t)
	}
	return prompt.List(parts)
}

// PartTraits returns the traits of a request whose prompt has the parts.
func PartTraits(parts []prompt.Part) []Trait {
	traits := make([]Trait, len(parts))
	for i, p := range parts {
		traits[i] = Trait(p)
	}
	return traits
}

// RequestTraits returns the trait of a request with the fingerprint; none if it has none.
func RequestTraits(f fingerprint.Fingerprint) []Trait {
	if f == 0 {
		return nil
	}
	return []Trait{Trait(f)}
}

// rules are the parameters that differ between the kinds.
type rules struct {
	// minCrashes is the number of crashes after which a trait is contained, and
	// minCrashesOfKnown that for a trait that survived in the last knownTime.
	minCrashes, minCrashesOfKnown float64
	// otherCrashes is the number of unexplained crashes without a trait for which one more
	// with it is needed, up to maxMoreCrashes: requests are at several of them by chance. 0
	// means that others don't matter.
	otherCrashes, maxMoreCrashes int
	// waitingWeight is the weight of a crash as evidence against the traits of a request that
	// the upstream had not begun to answer, as far as the instance knows.
	waitingWeight float64
	// reportTime is the time within which the instances report what they had at a crashed
	// upstream. A crash counts only then.
	reportTime time.Duration
	// knownReportTime is reportTime for a trait that survived in the last knownTime: its
	// executions since the crash need that long to prove harmless.
	knownReportTime time.Duration
	// containsAll reports whether all traits with the same evidence are contained. Otherwise
	// only the one that the rules prefer is.
	containsAll bool
	// sameCauseTime is the time within which several crashes count as one against a trait
	// that has not survived, and knownSameCauseTime that for one that has, because they may
	// have one cause outside of the upstreams. Several upstreams seldom have begun to answer
	// the same part just then unless many requests have it.
	sameCauseTime, knownSameCauseTime time.Duration
	// certainCrashes is the number of crashes from which the first probe takes
	// firstProbeDelay; with fewer it takes earlyProbeDelay.
	certainCrashes int
}

var rulesOf = [...]rules{
	PromptParts: {
		minCrashes: 4, minCrashesOfKnown: 5, waitingWeight: 0.5, reportTime: 100 * time.Millisecond, knownReportTime: 100 * time.Millisecond,
		knownSameCauseTime: 50 * time.Millisecond,
	},
	// Few requests are at several crashed upstreams by chance, and one that is contained by
	// mistake concerns few callers, for a short time.
	Requests: {
		minCrashes: 2, minCrashesOfKnown: 3, otherCrashes: 3, maxMoreCrashes: 2, waitingWeight: 1, knownReportTime: 1500 * time.Millisecond,
		sameCauseTime: 30 * time.Millisecond, knownSameCauseTime: 50 * time.Millisecond, containsAll: true, certainCrashes: 3,
	},
}
