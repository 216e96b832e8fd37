package caller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/metrics"
	"mangoloft/relay"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

const (
	// maxAttempts is the maximum number of times that a completion is started on
	// an engine until one of the attempts delivers a token.
	maxAttempts = 3
	// progressReportTokens is the number of tokens between two progress reports
	// to the scheduler.
	progressReportTokens = 32
	// bytesPerToken is used to estimate the number of tokens in a prompt, as only
	// the engine has the tokenizer.
	bytesPerToken = 4
	// deliveryBacklog is the capacity of the queue of tokens for a slow reader.
	// While the queue is full, the connection to the engine is not read.
	deliveryBacklog = 64
	// heartbeatInterval is half the longest time without output to a reader.
	heartbeatInterval = 500 * time.Millisecond
)

// generation is one completion that is relayed to its reader by two goroutines. The
// engine goroutine reads tokens from the engine, and starts the generation on
// another engine if necessary. The writer goroutine, which is the handler's own,
// writes the tokens to the reader, and heartbeats while no tokens arrive.
type generation struct {
	*server
	x *exchange
	// ctx ends when the reader disconnects or can't be written to.
	ctx    context.Context
	cancel context.CancelFunc
	// deliveries passes deliveries from the engine goroutine to the writer
	// goroutine. The engine goroutine closes it.
	deliveries chan delivery
	// delivered counts the tokens passed to the writer goroutine. After the first
	// token, the generation can't be restarted on another engine.
	delivered int
	// mayHaveRun reports whether an engine may have started a generation.
	mayHaveRun bool
	// auditSteps contains one line for each decision and failure, for the audit
	// record.
	auditSteps []string
}

// delivery is the start of the stream, a token, or the regular end, which is a
// token with a finish reason.
type delivery struct {
	start *streamPosition
	token relay.Token
}

func newGeneration(s *server, x *exchange) *generation {
	ctx, cancel := context.WithCancel(x.Request().Context())
	return &generation{server: s, x: x, ctx: ctx, cancel: cancel, deliveries: make(chan delivery, deliveryBacklog)}
}

// deliver runs produce in the engine goroutine and writes its deliveries to out.
// It returns the error of the completion.
func (g *generation) deliver(out output, produce func() error) error {
	var (
		group sync.WaitGroup
		err   error
	)
	group.Go(func() {
		defer close(g.deliveries)
		err = produce()
	})
	writeErr := g.write(out)
	g.cancel()
	group.Wait()
	g.x.record.Steps = append(g.x.record.Steps, g.auditSteps...)
	if writeErr != nil && err == nil {
		// The generation was complete before the reader's disconnect was detected.
		return verdict.Fail(verdict.Ran, verdict.CallerDisconnected, "the reader disconnected after %d tokens", g.x.record.Tokens)
	}
	if err != nil && writeErr == nil {
		out.fail(verdict.OutcomeOf(err))
	}
	return err
}

// write writes deliveries to out until the channel is closed, and a heartbeat when
// an interval has passed without output. Queued deliveries are flushed together,
// but none is delayed to wait for more.
func (g *generation) write(out output) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	// idle reports whether nothing was written since the last tick.
	idle := false
	for {
		select {
		case d, ok := <-g.deliveries:
			for ok {
				if err := g.writeDelivery(out, d); err != nil {
					return err
				}
				select {
				case d, ok = <-g.deliveries:
					continue
				default:
				}
				break
			}
			if err := out.flush(); err != nil || !ok {
				return err
			}
			idle = false
		case <-ticker.C:
			if idle {
				if err := out.heartbeat(); err != nil {
					return err
				}
			}
			idle = true
		}
	}
}

func (g *generation) writeDelivery(out output, d delivery) error {
	switch {
	case d.start != nil:
		return out.begin(*d.start)
	case d.token.Finish != "":
		return out.finish(d.token.Finish)
	}
	if err := out.token(d.token); err != nil {
		return err
	}
	if g.x.record.FirstAt.IsZero() {
		g.x.record.FirstAt = time.Now()
	}
	g.x.record.Tokens++
	metrics.TokensRelayed.Add(1)
	return nil
}

// enqueue passes a delivery to the writer goroutine. It blocks while the queue is
// full.
func (g *generation) enqueue(d delivery) error {
	select {
	case g.deliveries <- d:
		return nil
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

// Deliver implements relay.Sink.
func (g *generation) Deliver(t relay.Token) error {
	// The token counts as delivered before it is written, because the reader may
	// receive it even if the connection then fails.
	g.delivered++
	if g.delivered%progressReportTokens == 0 {
		g.rt.Send(control.SchedulerEvent{Event: decide.Progressed{ID: g.x.id, Tokens: g.delivered}})
	}
	return g.enqueue(delivery{token: t})
}

// start starts the generation, on another engine if the first one fails, and
// relays it.
func (g *generation) start(class config.Class, wire completionWire) error {
	placeRequest := decide.Request{ID: g.x.id, Team: g.x.team, Class: class, PromptTokens: len(wire.Prompt)/bytesPerToken + 1}
	if class.WaitTarget > 0 {
		placeRequest.StartBy = g.x.record.ArrivedAt.Add(class.WaitTarget)
	}
	var err error
	for attempt := range maxAttempts {
		var place decide.Place
		place, err = g.rt.Place(g.ctx, placeRequest)
		if err != nil {
			return g.finalError(err)
		}
		g.addAuditStep("sent to %s: %s", place.Upstream.Name, place.Explanation)
		err = g.runAttempt(place, attempt, class, wire)
		outcome := verdict.OutcomeOf(err)
		g.mayHaveRun = g.mayHaveRun || outcome.Verdict != verdict.NotRun
		g.rt.Send(control.SchedulerEvent{Event: decide.Ended{ID: g.x.id, Tokens: g.delivered, Outcome: outcome}})
		if err == nil || g.ctx.Err() != nil {
			break
		}
		g.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: place.Upstream.Name, Reason: outcome.Reason}})
		if g.delivered > 0 {
			break
		}
		// No token was delivered, so the reader can't observe a restart.
		g.addAuditStep("%s failed before the first token: %s", place.Upstream.Name, outcome.Detail)
		placeRequest.Excluded = append(placeRequest.Excluded, place.Upstream.Name)
	}
	return g.finalError(err)
}

// runAttempt starts one generation on the chosen engine and relays it.
func (g *generation) runAttempt(place decide.Place, attempt int, class config.Class, wire completionWire) error {
	stream := ticket.Stream{
		Request: g.x.id, Generation: fmt.Sprintf("%s.%d", g.x.record.ID, attempt),
		Upstream: place.Upstream.Name, Addr: place.Upstream.Addr, Team: g.x.team, Class: class.Name,
	}
	g.x.record.Upstream, g.x.record.Generation = stream.Upstream, stream.Generation
	feed, err := g.engine.Start(g.ctx, stream.Addr, relay.Spec{
		Generation: stream.Generation, Reader: g.x.record.ID, Model: class.Model,
		Prompt: wire.Prompt, MaxTokens: wire.MaxTokens, Priority: place.Priority,
	})
	if err != nil {
		if verdict.OutcomeOf(err).Verdict != verdict.NotRun {
			g.scheduleCancel(stream, time.Now())
		}
		return err
	}
	return g.relay(feed, stream, 0, wire.Stream)
}

// resumeFrom relays a generation that an earlier request started, from the token
// with index next.
func (g *generation) resumeFrom(stream ticket.Stream, next int) error {
	g.mayHaveRun = true
	err := g.relay(nil, stream, next, true)
	if err != nil && g.ctx.Err() == nil {
		g.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: stream.Upstream, Reason: verdict.OutcomeOf(err).Reason}})
	}
	return g.finalError(err)
}

// relay delivers the tokens, starting at index next, until the generation ends. If
// the reader of a resumable stream disconnects, the generation is cancelled only
// after resumeGrace. A nil feed means that the generation was started by an earlier
// request.
func (g *generation) relay(feed relay.Feed, stream ticket.Stream, next int, resumable bool) error {
	r := &relay.Stream{
		Engine: g.engine, Addr: stream.Addr, Next: next, Sink: g, Restartable: feed != nil,
		Attachment: relay.Attachment{Generation: stream.Generation, Reader: g.x.record.ID},
		OnDisconnect: func(next int, err error) {
			g.addAuditStep("the connection to %s failed at token %d: %s", stream.Upstream, next, verdict.OutcomeOf(err).Detail)
		},
	}
	if err := g.enqueue(delivery{start: &streamPosition{g.rt.Keyring.NewReferenceSigner(stream), next}}); err != nil {
		if feed != nil {
			feed.Close()
		}
		g.scheduleCancel(stream, time.Now())
		return err
	}
	finish, err := r.Run(g.ctx, feed)
	if err == nil {
		return g.enqueue(delivery{token: relay.Token{Generation: stream.Generation, Index: r.Next, Finish: finish}})
	}
	// A reader that was disconnected can resume with the last reference it received.
	cancelAt := time.Now()
	if g.ctx.Err() != nil && resumable {
		cancelAt = cancelAt.Add(resumeGrace)
	}
	// A lost generation needs no cancel.
	if verdict.OutcomeOf(err).Reason != verdict.GenerationLost || errors.Is(err, relay.ErrReaderDisconnected) {
		g.scheduleCancel(stream, cancelAt)
	}
	return err
}

// finalError returns the error of the completion, given the error of its last
// attempt. The returned error's verdict covers all attempts.
func (g *generation) finalError(err error) error {
	last := verdict.OutcomeOf(err)
	switch {
	case err == nil:
		return nil
	case g.ctx.Err() != nil:
		return verdict.Fail(g.verdictSoFar(), verdict.CallerDisconnected, "the reader disconnected after %d tokens", g.delivered)
	case g.delivered > 0:
		return verdict.Fail(verdict.Ran, last.Reason, "%s", last.Detail)
	case g.mayHaveRun && last.Verdict == verdict.NotRun:
		// The last engine didn't run the completion, but an earlier one may have.
		return verdict.Fail(verdict.MayHaveRun, last.Reason, "%s", last.Detail)
	}
	return err
}

// verdictSoFar returns the verdict on a completion that was aborted.
func (g *generation) verdictSoFar() verdict.Verdict {
	switch {
	case g.delivered > 0:
		return verdict.Ran
	case g.mayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// maxAuditSteps is the maximum number of steps in one audit record.
const maxAuditSteps = 32

// addAuditStep adds a line to the audit record unless the record is full.
func (g *generation) addAuditStep(format string, args ...any) {
	if len(g.auditSteps) == maxAuditSteps {
		return
	}
	g.auditSteps = append(g.auditSteps, fmt.Sprintf(format, args...))
}

// scheduleCancel schedules a cancel of the generation on its engine for cancelAt.
// The engine ignores the cancel if another reader has attached before that to
// resume the stream.
func (g *generation) scheduleCancel(stream ticket.Stream, cancelAt time.Time) {
	g.cancels.add(cancelOrder{
		request: stream.Request, addr: stream.Addr, cancelAt: cancelAt, giveUpAt: cancelAt.Add(cancelRetryWindow),
		attachment: relay.Attachment{Generation: stream.Generation, Reader: g.x.record.ID},
	})
}
