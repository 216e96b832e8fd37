package relay

import (
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/verdict"
)

const (
	// resumePatience is how long an engine that can't be reached may still
	// turn out to hold the generation.
	//
	// A link that is cut or silent for some seconds is common, the tokens
	// wait at the engine, and the reader, who gets heartbeats meanwhile,
	// would lose the whole stream. So this is long. It is not waited for when
	// there is proof that the generation is gone: an engine that doesn't know
	// it, or a machine that refuses connections because no process listens
	// any more; the generation was in that process's memory.
	resumePatience = 10 * time.Second
	// restartPatience is the same before the first token, when the
	// generation can be begun anew elsewhere.
	restartPatience = 1 * time.Second
	// resumePause is the time between two tries.
	resumePause = 100 * time.Millisecond
	// maxRefusals is how many connections in a row are refused by a machine
	// on which the engine's process is gone.
	maxRefusals = 3
	// toldFailures is of how many failures of one outage the caller is told.
	toldFailures = 2
	// aliveAfter is how long a connection lasts only when it brings
	// heartbeats; one without is lost sooner.
	aliveAfter = 5 * time.Second
)

var refusedProperty = errorx.RegisterProperty("connection_refused")

// MarkRefused marks an error of an Engine: the connection was refused by a
// machine that answers, so that no process listens there.
func MarkRefused(err error) error {
	if marked := errorx.Cast(err); marked != nil {
		return marked.WithProperty(refusedProperty, true)
	}
	return err
}

func refused(err error) bool {
	_, marked := errorx.ExtractProperty(err, refusedProperty)
	return marked
}

// outage is the time since the last sign of a generation. Its zero value is
// no outage.
type outage struct {
	giveUpAt time.Time
	failures int
	refusals int
}

// note counts a failed connection.
func (o *outage) note(now time.Time, err error, patience time.Duration) {
	if o.failures == 0 {
		o.giveUpAt = now.Add(patience)
	}
	o.failures++
	if refused(err) {
		o.refusals++
	} else {
		o.refusals = 0
	}
}

// lost returns the final error once the generation is given up.
func (o *outage) lost(now time.Time, err error) error {
	last := verdict.Of(err)
	switch {
	case last.Reason == verdict.GenerationLost:
		return verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "the engine doesn't hold the generation any more: %s", last.Detail)
	case o.refusals >= maxRefusals:
		return verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "the engine's process is gone, and the generation with it: %s", last.Detail)
	case !now.Before(o.giveUpAt):
		return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the engine could not be reached again in time, after %d tries: %s", o.failures, last.Detail)
	}
	return nil
}
