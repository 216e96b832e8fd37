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
	// maxStarts bounds how often a generation is begun before its first token.
	maxStarts = 3
	// progressTokens is after how many tokens the scheduler is told again.
	progressTokens = 32
	// bytesPerToken estimates a prompt's tokens; the tokenizer is the engine's.
	bytesPerToken = 4
	// deliveryBacklog is how many tokens may wait for a slow reader. More wait
	// in the connection to the engine, which is not read meanwhile.
	deliveryBacklog = 64
	// heartbeatInterval is half the longest silence towards a reader.
	heartbeatInterval = 500 * time.Millisecond
)

// generation is one completion on its way to its reader. One goroutine reads
// the engine, and begins anew elsewhere if need be; the other, which is the
// handler's own, writes to the reader, and sends heartbeats while the engine
// brings nothing.
type generation struct {
	*server
	x      *exchange
	ctx    context.Context
	cancel context.CancelFunc
	// deliveries go from the engine's side to the reader's. The engine's side
	// closes them.
	deliveries chan delivery
	// delivered counts the tokens handed to the reader's side. From the first
	// on, no other generation may take this one's place.
	delivered int
	// mayHaveRun says that an engine may have begun a generation.
	mayHaveRun bool
	steps      []string
}

// delivery is a beginning, a token, or the regular end.
type delivery struct {
	beginning *beginning
	token     relay.Token
}

func newGeneration(s *server, x *exchange) *generation {
	ctx, cancel := context.WithCancel(x.Request().Context())
	return &generation{server: s, x: x, ctx: ctx, cancel: cancel, deliveries: make(chan delivery, deliveryBacklog)}
}

// deliver runs the engine's side and writes what it brings.
func (g *generation) deliver(out output, engineSide func() error) error {
	var (
		group sync.WaitGroup
		err   error
	)
	group.Go(func() {
		defer close(g.deliveries)
		err = engineSide()
	})
	writeErr := g.write(out)
	g.cancel()
	group.Wait()
	g.x.record.Steps = append(g.x.record.Steps, g.steps...)
	if writeErr != nil && err == nil {
		// The generation ended by itself before its reader was missed.
		return verdict.Fail(verdict.Ran, verdict.CallerGone, "the reader left after %d tokens", g.x.record.Tokens)
	}
	if err != nil && writeErr == nil {
		out.fail(verdict.Of(err))
	}
	return err
}

// write passes deliveries on until there are no more. What waits is written
// together, but nothing is held back to wait for more.
func (g *generation) write(out output) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	quiet := false
	for {
		select {
		case d, more := <-g.deliveries:
			for more {
				if err := g.take(out, d); err != nil {
					return err
				}
				select {
				case d, more = <-g.deliveries:
					continue
				default:
				}
				break
			}
			if err := out.flush(); err != nil || !more {
				return err
			}
			quiet = false
		case <-ticker.C:
			if quiet {
				if err := out.heartbeat(); err != nil {
					return err
				}
			}
			quiet = true
		}
	}
}

func (g *generation) take(out output, d delivery) error {
	switch {
	case d.beginning != nil:
		return out.begin(*d.beginning)
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

// hand gives a delivery to the reader's side, and waits while that is busy
// with a slow reader.
func (g *generation) hand(d delivery) error {
	select {
	case g.deliveries <- d:
		return nil
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

// Deliver implements relay.Reader.
func (g *generation) Deliver(t relay.Token) error {
	// It counts from here on, since the reader may have got it whatever
	// becomes of the connection.
	g.delivered++
	if g.delivered%progressTokens == 0 {
		g.rt.Send(control.SchedulerEvent{Event: decide.Progressed{ID: g.x.id, Tokens: g.delivered}})
	}
	return g.hand(delivery{token: t})
}

// start begins the generation, on another engine if need be, and relays it.
func (g *generation) start(class config.Class, wire completionWire) error {
	asked := decide.Request{ID: g.x.id, Team: g.x.team, Class: class, PromptTokens: len(wire.Prompt)/bytesPerToken + 1}
	if class.WaitTarget > 0 {
		asked.StartBy = g.x.record.ArrivedAt.Add(class.WaitTarget)
	}
	var err error
	for attempt := range maxStarts {
		var place decide.Place
		place, err = g.rt.Place(g.ctx, asked)
		if err != nil {
			return g.outcome(err)
		}
		g.note("sent to %s: %s", place.Upstream.Name, place.Why)
		err = g.try(place, attempt, class, wire)
		outcome := verdict.Of(err)
		g.mayHaveRun = g.mayHaveRun || outcome.Verdict != verdict.NotRun
		g.rt.Send(control.SchedulerEvent{Event: decide.Ended{ID: g.x.id, Tokens: g.delivered, Outcome: outcome}})
		if err == nil || g.ctx.Err() != nil {
			break
		}
		g.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: place.Upstream.Name, Reason: outcome.Reason}})
		if g.delivered > 0 {
			break
		}
		// No token was delivered, so another generation can't be noticed.
		g.note("%s failed before the first token: %s", place.Upstream.Name, outcome.Detail)
		asked.Avoid = append(asked.Avoid, place.Upstream.Name)
	}
	return g.outcome(err)
}

// try begins one generation at the chosen engine and relays it.
func (g *generation) try(place decide.Place, attempt int, class config.Class, wire completionWire) error {
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
		if verdict.Of(err).Verdict != verdict.NotRun {
			g.abandon(stream, time.Now())
		}
		return err
	}
	return g.relay(feed, stream, 0, wire.Stream)
}

// goOn relays a generation that was begun for an earlier request.
func (g *generation) goOn(stream ticket.Stream, next int) error {
	g.mayHaveRun = true
	err := g.relay(nil, stream, next, true)
	if err != nil && g.ctx.Err() == nil {
		g.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: stream.Upstream, Reason: verdict.Of(err).Reason}})
	}
	return g.outcome(err)
}

// relay passes the tokens from index next on until the generation ends.
// A reader that knows the stream's reference may come back after a hang-up.
func (g *generation) relay(feed relay.Feed, stream ticket.Stream, next int, resumable bool) error {
	r := &relay.Stream{
		Engine: g.engine, Addr: stream.Addr, Next: next, Reader: g, Restartable: feed != nil,
		Attachment: relay.Attachment{Generation: stream.Generation, Reader: g.x.record.ID},
		OnBreak: func(next int, err error) {
			g.note("the connection to %s broke at token %d: %s", stream.Upstream, next, verdict.Of(err).Detail)
		},
	}
	if err := g.hand(delivery{beginning: &beginning{g.rt.Keyring.NewReferenceSigner(stream), next}}); err != nil {
		if feed != nil {
			feed.Close()
		}
		g.abandon(stream, time.Now())
		return err
	}
	finish, err := r.Run(g.ctx, feed)
	if err == nil {
		return g.hand(delivery{token: relay.Token{Generation: stream.Generation, Index: r.Next, Finish: finish}})
	}
	// A reader that hung up may come back with the reference it has.
	cancelAt := time.Now()
	if g.ctx.Err() != nil && resumable {
		cancelAt = cancelAt.Add(resumeGrace)
	}
	if verdict.Of(err).Reason != verdict.GenerationLost || errors.Is(err, relay.ErrReaderGone) {
		g.abandon(stream, cancelAt)
	}
	return err
}

// outcome makes the error of a completion from that of its last try.
func (g *generation) outcome(err error) error {
	last := verdict.Of(err)
	switch {
	case err == nil:
		return nil
	case g.ctx.Err() != nil:
		return verdict.Fail(g.progress(), verdict.CallerGone, "the reader left after %d tokens", g.delivered)
	case g.delivered > 0:
		return verdict.Fail(verdict.Ran, last.Reason, "%s", last.Detail)
	case g.mayHaveRun && last.Verdict == verdict.NotRun:
		// The last engine didn't run it, but an earlier one may have.
		return verdict.Fail(verdict.MayHaveRun, last.Reason, "%s", last.Detail)
	}
	return err
}

// progress is the verdict on a completion that has not ended.
func (g *generation) progress() verdict.Verdict {
	switch {
	case g.delivered > 0:
		return verdict.Ran
	case g.mayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// maxSteps bounds the steps that a record holds.
const maxSteps = 32

func (g *generation) note(format string, args ...any) {
	if len(g.steps) == maxSteps {
		return
	}
	g.steps = append(g.steps, fmt.Sprintf(format, args...))
}

// abandon has the generation cancelled at the engine, from cancelAt on, unless
// its reader has come back elsewhere by then.
func (g *generation) abandon(stream ticket.Stream, cancelAt time.Time) {
	g.cancels.add(cancelOrder{
		request: stream.Request, addr: stream.Addr, cancelAt: cancelAt, giveUpAt: cancelAt.Add(cancelPatience),
		attachment: relay.Attachment{Generation: stream.Generation, Reader: g.x.record.ID},
	})
}
