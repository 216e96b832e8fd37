package relay

import (
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/verdict"
)

const (
	// resumeTimeout is how long the relay tries to reach an engine that may
	// still hold the generation.
	//
	// It is long because links are often cut or silent for some seconds. The
	// tokens are kept at the engine meanwhile and the reader gets heartbeats,
	// whereas giving up loses the whole stream. The relay does not wait if the
	// generation is provably gone: the engine doesn't have it, or the machine
	// refuses connections because the engine's process, which held the
	// generation in memory, has ended.
	resumeTimeout = 10 * time.Second
	// restartTimeout replaces resumeTimeout before the first token if the
	// generation can be restarted elsewhere.
	restartTimeout = 1 * time.Second
	// resumeInterval is the time between two attempts to resume.
	resumeInterval = 100 * time.Millisecond
	// maxRefusals is the number of refused connections in a row after which the
	// engine's process is considered gone.
	maxRefusals = 3
	// maxReportedFailures is how many failures of one outage are reported to
	// OnDisconnect.
	maxReportedFailures = 2
	// aliveAfter is the duration after which a connection must have received
	// heartbeats, since a connection without them is closed sooner.
	aliveAfter = 5 * time.Second
)

var refusedProperty = errorx.RegisterProperty("connection_refused")

// MarkRefused marks an error of an Engine as a refused connection. The machine
// answered, so no process listens there.
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
	giveUpAt time.Time
	failures int
	refusals int
}

// recordFailure counts a failed connection. The first one starts the timeout.
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

// finalError returns the error with which the stream ends, or nil while the
// generation is not given up.
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
