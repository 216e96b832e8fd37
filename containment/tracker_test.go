package containment_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/containment"
	"mangoloft/ident"
)

// bench drives one tracker.
type bench struct {
	*containment.Tracker
	now      time.Time
	sequence uint64
}

func newBench() *bench {
	return &bench{Tracker: containment.New(containment.PromptParts), now: time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)}
}

// pass lets time pass, with ticks.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.Tick(b.now)
	}
}

// begin sends a request to an engine of its own, and lets its answer begin.
func (b *bench) begin(parts ...containment.Trait) (ident.Request, containment.Upstream) {
	b.sequence++
	id, engine := ident.Request{Sequence: b.sequence}, containment.Upstream{Name: fmt.Sprint("e", b.sequence), Incarnation: 1}
	b.Sent(b.now, id, engine, parts)
	b.Answered(id)
	b.Began(b.now, id)
	return id, engine
}

// crash sends a request on which its engine crashes.
func (b *bench) crash(parts ...containment.Trait) {
	id, engine := b.begin(parts...)
	b.pass(60 * time.Millisecond)
	b.Ended(b.now, engine, b.now)
	b.Closed(b.now, id, false, false)
}

// survive sends a request that is answered completely.
func (b *bench) survive(parts ...containment.Trait) {
	id, _ := b.begin(parts...)
	b.pass(60 * time.Millisecond)
	b.Closed(b.now, id, true, false)
}

func (b *bench) isBlocked(parts ...containment.Trait) bool {
	_, blocked := b.Blocked(b.now, parts)
	return blocked
}

// contain crashes engines until the guilty part is contained.
func (b *bench) contain(t *testing.T) {
	t.Helper()
	for range 4 {
		assert.Assert(t, !b.isBlocked(guilty))
		b.survive(shared)
		b.crash(shared, guilty)
	}
	b.pass(200 * time.Millisecond)
	assert.Assert(t, b.isBlocked(shared, guilty))
	assert.Assert(t, !b.isBlocked(shared))
}

func TestProbeReleasesHarmlessPart(t *testing.T) {
	b := newBench()
	b.contain(t)
	b.pass(29 * time.Second)
	assert.Assert(t, b.isBlocked(guilty))
	b.pass(time.Second)
	assert.Assert(t, !b.isBlocked(guilty))
	id, _ := b.begin(guilty)
	assert.Assert(t, b.isBlocked(guilty), "only one probe at a time")
	b.Closed(b.now.Add(60*time.Millisecond), id, true, false)
	assert.Assert(t, !b.isBlocked(guilty))
	assert.Equal(t, len(b.Take().Released), 1)
}

func TestFailedProbeDoublesTheDelay(t *testing.T) {
	b := newBench()
	b.contain(t)
	b.pass(30 * time.Second)
	b.crash(guilty)
	b.pass(59 * time.Second)
	assert.Assert(t, b.isBlocked(guilty))
	b.pass(2 * time.Second)
	assert.Assert(t, !b.isBlocked(guilty))
}

func TestFrozenInstanceClearsNothing(t *testing.T) {
	b := newBench()
	for range 3 {
		b.crash(guilty)
	}
	b.pass(300 * time.Millisecond)
	id, engine := b.begin(guilty)
	b.now = b.now.Add(5 * time.Second)
	b.Tick(b.now)
	b.Ended(b.now, engine, b.now)
	b.Closed(b.now, id, false, false)
	for _, f := range b.Take().Findings {
		assert.Assert(t, f.SurvivedAt.IsZero())
	}
}

func TestLostAnswersAndRejectionsClearNothingAndAccuseNobody(t *testing.T) {
	b := newBench()
	for range 10 {
		id, _ := b.begin(guilty)
		b.Closed(b.now, id, false, false)
		id, engine := b.begin(guilty)
		b.Closed(b.now, id, false, true)
		b.Ended(b.now, engine, b.now)
		b.pass(100 * time.Millisecond)
	}
	out := b.Take()
	assert.Equal(t, len(out.Crashes)+len(out.Contained)+len(out.Findings), 0)
}

func TestLongRunningExecutionsAreNotSuspected(t *testing.T) {
	b := newBench()
	for range 10 {
		id, engine := b.begin(shared, 7)
		b.pass(time.Second)
		b.Ended(b.now, engine, b.now)
		b.Closed(b.now, id, false, false)
	}
	assert.Equal(t, len(b.Take().Crashes), 0)
}

func TestOtherInstancesContainmentIsAdopted(t *testing.T) {
	b := newBench()
	f := containment.Finding{Trait: guilty, ContainedAt: b.now, CrashedAt: b.now.Add(-100 * time.Millisecond), ProbeAt: b.now.Add(30 * time.Second)}
	b.HandleFinding(b.now, f)
	assert.Assert(t, b.isBlocked(guilty))
	f.ProbeAt = f.ProbeAt.Add(time.Minute)
	b.HandleFinding(b.now, f)
	b.pass(31 * time.Second)
	assert.Assert(t, b.isBlocked(guilty), "another instance has sent the probe")
	b.HandleFinding(b.now, containment.Finding{Trait: guilty, SurvivedAt: b.now})
	assert.Assert(t, !b.isBlocked(guilty))
}

func TestContainmentOfSurvivingPartIsRefuted(t *testing.T) {
	b := newBench()
	b.survive(shared)
	b.Take()
	b.HandleFinding(b.now, containment.Finding{Trait: shared, ContainedAt: b.now, CrashedAt: b.now.Add(-time.Second), ProbeAt: b.now.Add(30 * time.Second)})
	assert.Assert(t, !b.isBlocked(shared))
	assert.Equal(t, len(b.Take().Findings), 1)
}

func TestContainedPartIsForgottenByAllInstances(t *testing.T) {
	b, other := newBench(), newBench()
	b.contain(t)
	for _, f := range b.Contained() {
		other.HandleFinding(b.now, f)
	}
	b.pass(11 * time.Minute)
	assert.Equal(t, len(b.Contained()), 0)
	for _, f := range other.Contained() {
		b.HandleFinding(b.now, f)
	}
	assert.Equal(t, len(b.Contained()), 0)
}

func TestHostilePartsAreBounded(t *testing.T) {
	b := newBench()
	for i := range 20_000 {
		b.survive(containment.Trait(i), containment.Trait(1_000_000+i))
		if i%10 == 0 {
			b.crash(containment.Trait(2_000_000 + i))
		}
	}
	b.contain(t)
	for i := range containment.Trait(2 * containment.MaxContained) {
		b.HandleFinding(b.now, containment.Finding{Trait: 3_000_000 + i, ContainedAt: b.now.Add(time.Duration(i)), CrashedAt: b.now, ProbeAt: b.now.Add(time.Minute)})
	}
	assert.Equal(t, len(b.Contained()), containment.MaxContained)
}
