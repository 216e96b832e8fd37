package decide_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

const callPool = "desk"

// callBench sends calls with one fingerprint, each to an upstream of its own.
type callBench struct {
	*decide.Scheduler
	now      time.Time
	sequence uint64
}

func newCallBench() *callBench { return &callBench{Scheduler: decide.New("a"), now: epoch} }

// send reports whether the call was placed.
func (b *callBench) send() (decide.Place, bool) {
	b.sequence++
	b.now = b.now.Add(time.Second)
	b.Step(b.now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{{Name: fmt.Sprint("u", b.sequence), Pool: callPool, DataCentre: "a", Incarnation: 1, Slots: 4}}})
	places, _ := split(b.Step(b.now, decide.Arrived{Request: decide.Request{
		ID: ident.Request{Sequence: b.sequence}, Class: config.Class{Name: callPool, Pool: callPool, Kind: config.Read}, Fingerprint: 7,
	}}))
	if len(places) == 0 {
		return decide.Place{}, false
	}
	return places[0], true
}

func (b *callBench) end(p decide.Place, o verdict.Outcome) {
	b.now = b.now.Add(50 * time.Millisecond)
	b.Step(b.now, decide.Ended{ID: p.ID, Outcome: o})
}

func (b *callBench) crash(p decide.Place, unsent ident.Request) {
	b.Step(b.now, decide.UpstreamEnded{Upstream: p.Upstream.Name, Incarnation: 1, At: b.now, Unsent: unsent})
}

var lost = verdict.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}

func TestRequestAtTwoCrashedUpstreamsIsRefused(t *testing.T) {
	b := newCallBench()
	for range 2 {
		p, ok := b.send()
		assert.Assert(t, ok)
		b.end(p, lost)
		b.crash(p, ident.Request{})
	}
	_, ok := b.send()
	assert.Assert(t, !ok)
	assert.Equal(t, len(b.Contained()), 1)
}

func TestRefusedConnectionDoesNotAccuseItsRequest(t *testing.T) {
	b := newCallBench()
	for range 10 {
		p, ok := b.send()
		assert.Assert(t, ok)
		b.crash(p, p.ID)
		b.end(p, verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamUnreachable})
	}
}

func TestCompleteAnswerClearsARequestAndAServerErrorDoesNot(t *testing.T) {
	tests := map[string]struct {
		outcome   verdict.Outcome
		contained bool
	}{
		"complete answer": {verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}, false},
		"server error":    {verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.UpstreamFailed}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newCallBench()
			for range 2 {
				p, ok := b.send()
				assert.Assert(t, ok)
				b.end(p, lost)
				b.crash(p, ident.Request{})
				if p, ok := b.send(); ok {
					b.end(p, test.outcome)
				}
			}
			assert.Equal(t, len(b.Contained()) > 0, test.contained)
		})
	}
}
