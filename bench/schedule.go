package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a sort of fault that a soak causes.
type FaultKind uint8

const (
	// KillEntry kills an entry instance and starts it again later.
	KillEntry FaultKind = iota
	// StopEntry stops an entry instance as planned and starts it again.
	StopEntry
	// FreezeEntry pauses an entry instance and wakes it up late.
	FreezeEntry
	// KillEngine kills an engine; a new incarnation takes its place.
	KillEngine
	// FreezeEngine pauses an engine.
	FreezeEngine
	// KillService kills a plain service; a new incarnation takes its place.
	KillService
	// CutUpstream resets the connections to an engine or service.
	CutUpstream
	// SilenceUpstream holds the bytes to and from an engine or service.
	SilenceUpstream
	// SilenceUpstreamAnswers holds only the answers of an engine or service.
	SilenceUpstreamAnswers
	// ForgetUpstream makes open connections to an upstream silent for good.
	ForgetUpstream
	// ForgetCallers makes open connections to an entry instance silent for good.
	ForgetCallers
	// CutDataCentre cuts a data centre off from the others and from the platform.
	CutDataCentre
	// SilencePeer holds the bytes to and from an entry instance's peers.
	SilencePeer
	// PlatformDown makes the configuration service and the instance list unreachable.
	PlatformDown
	// StaleConfiguration makes the configuration service show an old version.
	StaleConfiguration
	// OperatorRace changes two values of the configuration at the same time.
	OperatorRace

	faultKinds
)

var faultNames = [...]string{
	KillEntry: "kill_entry", StopEntry: "stop_entry", FreezeEntry: "freeze_entry", KillEngine: "kill_engine",
	FreezeEngine: "freeze_engine", KillService: "kill_service", CutUpstream: "cut_upstream", SilenceUpstream: "silence_upstream",
	SilenceUpstreamAnswers: "silence_upstream_answers", ForgetUpstream: "forget_upstream",
	ForgetCallers: "forget_callers", CutDataCentre: "cut_data_centre", SilencePeer: "silence_peer",
	PlatformDown: "platform_down", StaleConfiguration: "stale_configuration", OperatorRace: "operator_race",
}

// String returns the fault's name in snake case.
func (k FaultKind) String() string { return faultNames[k] }

// PlannedFault is one fault of a schedule.
type PlannedFault struct {
	Kind FaultKind
	// From and Until count from the start of the soak.
	From, Until time.Duration
	// Target chooses among the processes that the fault may hit.
	Target int
}

const (
	// faultSpacing is the mean time between the starts of two faults.
	faultSpacing = 1500 * time.Millisecond
	minFault     = 200 * time.Millisecond
	maxFault     = 6 * time.Second
	// quietEnd is the time without faults at the end of a soak, in which what
	// can still end well does.
	quietEnd = 10 * time.Second
)

// Schedule draws the faults of a soak from its seed. The same seed and length
// give the same schedule.
func Schedule(seed uint64, length time.Duration) []PlannedFault {
	random := rand.New(rand.NewPCG(seed, 1))
	var schedule []PlannedFault
	end := length - quietEnd
	for at := time.Second; at < end; at += time.Duration(random.ExpFloat64() * float64(faultSpacing)) {
		lasts := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		schedule = append(schedule, PlannedFault{
			Kind: FaultKind(random.IntN(int(faultKinds))), From: at, Until: min(at+lasts, end), Target: random.IntN(1 << 16),
		})
	}
	slices.SortStableFunc(schedule, func(a, b PlannedFault) int { return int(a.From - b.From) })
	return schedule
}
