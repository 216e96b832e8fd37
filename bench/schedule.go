package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault that a soak injects.
type FaultKind uint8

const (
	// KillEntry kills an entry instance and restarts it later.
	KillEntry FaultKind = iota
	// StopEntry makes a planned stop of an entry instance and restarts it.
	StopEntry
	// FreezeEntry pauses an entry instance with SIGSTOP and resumes it later.
	FreezeEntry
	// KillEngine kills an engine and later starts a new incarnation in its place.
	KillEngine
	// FreezeEngine pauses an engine with SIGSTOP and resumes it later.
	FreezeEngine
	// KillService kills a service and later starts a new incarnation in its place.
	KillService
	// CutUpstream resets all connections to an engine or service.
	CutUpstream
	// SilenceUpstream delays the data to and from an engine or service until the
	// fault ends.
	SilenceUpstream
	// SilenceUpstreamAnswers delays only the data from an engine or service.
	SilenceUpstreamAnswers
	// BlackholeUpstream makes the open connections to an engine or service silent
	// permanently.
	BlackholeUpstream
	// BlackholeCallers makes callers' open connections to an entry instance silent
	// permanently.
	BlackholeCallers
	// CutDataCentre cuts a data centre off from the others and from the platform.
	CutDataCentre
	// SilencePeer delays the data on peers' connections to an entry instance.
	SilencePeer
	// PlatformDown makes the configuration service and the instance list unreachable.
	PlatformDown
	// StaleConfiguration makes the configuration service serve an old version.
	StaleConfiguration
	// OperatorRace publishes two changes of one configuration value concurrently.
	OperatorRace
	// FreezeRestartedEntry kills and restarts an entry instance, pauses it within
	// restartToFreeze of its restart, and resumes it later.
	FreezeRestartedEntry

	faultKindCount
)

var faultKindNames = [...]string{
	KillEntry: "kill_entry", StopEntry: "stop_entry", FreezeEntry: "freeze_entry", KillEngine: "kill_engine",
	FreezeEngine: "freeze_engine", KillService: "kill_service", CutUpstream: "cut_upstream", SilenceUpstream: "silence_upstream",
	SilenceUpstreamAnswers: "silence_upstream_answers", BlackholeUpstream: "forget_upstream",
	BlackholeCallers: "forget_callers", CutDataCentre: "cut_data_centre", SilencePeer: "silence_peer",
	PlatformDown: "platform_down", StaleConfiguration: "stale_configuration", OperatorRace: "operator_race",
	FreezeRestartedEntry: "freeze_restarted_entry",
}

// String returns the name of the fault kind in snake case.
func (k FaultKind) String() string { return faultKindNames[k] }

// PlannedFault is one fault of a schedule.
type PlannedFault struct {
	Kind FaultKind
	// Start and End are relative to the start of the soak.
	Start, End time.Duration
	// Target, modulo the number of possible targets, is the index of the process.
	Target int
}

const (
	// faultSpacing is the mean time between the starts of two faults.
	faultSpacing     = 1500 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// faultFreeEnd is the period without faults at the end of a soak, in which open
	// requests can complete.
	faultFreeEnd = 10 * time.Second
	// restartToFreeze is the maximum time from a restart to the freeze that follows.
	// In it the instance's peers learn of the new incarnation.
	restartToFreeze = 1500 * time.Millisecond
)

// Schedule returns random faults for a soak of the given length. They depend only
// on the seed and the length.
func Schedule(seed uint64, length time.Duration) []PlannedFault {
	random := rand.New(rand.NewPCG(seed, 1))
	var schedule []PlannedFault
	end := length - faultFreeEnd
	for at := time.Second; at < end; at += time.Duration(random.ExpFloat64() * float64(faultSpacing)) {
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		schedule = append(schedule, PlannedFault{
			Kind: FaultKind(random.IntN(int(faultKindCount))), Start: at, End: min(at+duration, end), Target: random.IntN(1 << 16),
		})
	}
	slices.SortStableFunc(schedule, func(a, b PlannedFault) int { return int(a.Start - b.Start) })
	return schedule
}
