package relay

import (
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/verdict"
)

const (
	// resumeTimeout is the maximum time for which the relay tries to reach an
	// engine that may still have the generation.
	//
	// It is long because links often fail or are silent for some seconds. In the
	// meantime the engine keeps the tokens and the reader gets heartbeats,
	// whereas giving up loses the whole stream. The relay does not wait if the
	// generation is provably lost: the engine doesn't have it, or the machine
	// refuses connections because the engine's process, which had the
	// generation in memory, has ended.
	resumeTimeout = 10 * time.Second
	// restartTimeout replaces resumeTimeout before the first token if the
	// generation can be restarted elsewhere.
	restartTimeout = 1 * time.Second
	// resumeInterval is the time between two attempts to resume.
	resumeInterval = 100 * time.Millisecond
	// maxRefusals is the number of refused connections in a row after which the
	// engine's process is considered ended.
	maxRefusals = 3
	// maxReportedFailures is the maximum number of failures of one outage that
	// are reported to OnDisconnect.
	maxReportedFailures = 2
	// aliveAfter is the age from which a connection proves that the generation is
	// alive: it must have received heartbeats, since a connection without them
	// is closed sooner.
	aliveAfter = 5 * time.Second
)

var refusedProperty = errorx.RegisterProperty("connection_refused")

// MarkRefused marks an error of an Engine as a refused connection. The machine
// responded, which proves that no process listens at the address.
func MarkRefused(err error) error {
	if marked := errorx.Cast(err); marked != nil {
		return marked.WithProperty(refusedProperty, true)
	}
	return err
}

func isRefused(err error) bool {
	_, marked := errorx.ExtractProperty(err, refusedProperty)
	return marked
}

// outage counts the failures since the last sign of life of a generation. Its
// zero value means no outage.
type outage struct {
	// giveUpAt is the end of the timeout.
	giveUpAt time.Time
	failures int
	// refusals counts the refused connections since the last other failure.
	refusals int
}

// recordFailure counts a failed connection. The first failure starts the
// timeout.
func (o *outage) recordFailure(now time.Time, err error, timeout time.Duration) {
	if o.failures == 0 {
		o.giveUpAt = now.Add(timeout)
	}
	o.failures++
	if isRefused(err) {
		o.refusals++
	} else {
		o.refusals = 0
	}
}

// finalError returns the error with which the stream ends, or nil if the relay
// continues to reconnect.
func (o *outage) finalError(now time.Time, err error) error {
	last := verdict.OutcomeOf(err)
	switch {
	case last.Reason == verdict.GenerationLost:
		return verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "the engine no longer has the generation: %s", last.Detail)
	case o.refusals >= maxRefusals:
		return verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "the engine's process has ended and the generation is lost: %s", last.Detail)
	case !now.Before(o.giveUpAt):
		return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the engine could not be reached in time after %d attempts: %s", o.failures, last.Detail)
	}
	return nil
}
