// Package relay delivers the tokens of one generation to its reader exactly once
// and in order, over as many connections to the engine as necessary. A reader is
// the client that receives a generation's tokens, during one connection.
package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"mangoloft/verdict"
)

// Token is one token, numbered by the engine, or the end of a generation.
type Token struct {
	Generation string
	// Index counts from 0. At the end it is the number of tokens.
	Index int
	Text  string
	// Finish is the reason for which the generation ended; empty for a token.
	Finish string
}

// Spec describes a generation for an engine to start.
type Spec struct {
	Generation string
	// Reader is the name of the first reader.
	Reader    string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
}

// Attachment identifies one reader of one generation. A reader that reconnects,
// to this or another instance, gets a new name.
type Attachment struct {
	Generation string
	Reader     string
}

// Feed is one connection to an engine that delivers the tokens of a generation.
type Feed interface {
	// Read calls handle for each token until handle reports done or returns an
	// error, or until the connection ends or its read deadline passes. It
	// returns the error, or nil if handle reported done without one.
	Read(handle func(Token) (done bool, err error)) error
	Close()
}

// Engine is the client of an engine.
type Engine interface {
	// Start starts a generation. An error with verdict NotRun proves that the
	// engine did not accept it.
	Start(ctx context.Context, addr netip.AddrPort, spec Spec) (Feed, error)
	// Resume reads a generation from the token with index next. An error with
	// reason GenerationLost means that the engine doesn't have the generation. An
	// error marked by MarkRefused means that no process listens at addr.
	Resume(ctx context.Context, addr netip.AddrPort, a Attachment, next int) (Feed, error)
	// Cancel ends a generation unless another reader has attached to it since
	// a's reader. It reports whether the generation has ended; a generation that
	// is already complete counts as ended.
	Cancel(ctx context.Context, addr netip.AddrPort, a Attachment) (ended bool, err error)
}

// Sink receives the tokens for the reader. An error means that the reader
// disconnected.
type Sink interface {
	Deliver(t Token) error
}

// Stream is one generation on one engine, read from the token with index Next.
type Stream struct {
	Engine     Engine
	Addr       netip.AddrPort
	Attachment Attachment
	Next       int
	Sink       Sink
	// Restartable reports whether another generation can replace this one as long
	// as no token was delivered. The relay then tries for a shorter time to reach
	// this one.
	Restartable bool
	// OnDisconnect, if not nil, is called for each connection that failed and for
	// the first failed attempt to reconnect. The argument next is the index of the
	// next token to deliver.
	OnDisconnect func(next int, err error)
}

// ErrReaderDisconnected is returned when a token could not be delivered to the
// reader.
var ErrReaderDisconnected = errors.New("the reader disconnected")

// Run delivers the tokens from feed, and from further connections after a failure,
// until the generation ends. If feed is nil, Run opens a connection first. The
// error contains the outcome.
func (s *Stream) Run(ctx context.Context, feed Feed) (finish string, err error) {
	var o outage
	for {
		if feed == nil {
			feed, err = s.resume(ctx, o)
		}
		if err == nil {
			firstIndex, openedAt := s.Next, time.Now()
			finish, err = s.readFeed(feed)
			feed.Close()
			if err == nil || errors.Is(err, ErrReaderDisconnected) {
				return finish, err
			}
			if s.Next > firstIndex || time.Since(openedAt) > aliveAfter {
				// The connection worked, so its failure starts another outage.
				o = outage{}
			}
		}
		feed = nil
		if ctx.Err() != nil {
			return "", verdict.Fail(verdict.MayHaveRun, verdict.CallerDisconnected, "the request was cancelled")
		}
		o.recordFailure(time.Now(), err, s.timeout())
		if s.OnDisconnect != nil && o.failures <= maxReportedFailures {
			s.OnDisconnect(s.Next, err)
		}
		if finalError := o.finalError(time.Now(), err); finalError != nil {
			return "", finalError
		}
		if o.failures > 1 {
			sleep(ctx, resumeInterval)
		}
	}
}

// resume opens a connection that continues at the token with index Next. During an
// outage it gives up at the end of the outage's timeout.
func (s *Stream) resume(ctx context.Context, o outage) (Feed, error) {
	if o.failures == 0 {
		return s.Engine.Resume(ctx, s.Addr, s.Attachment, s.Next)
	}
	// The feed uses the context, so the context must outlive this call.
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(o.giveUpAt), cancel)
	feed, err := s.Engine.Resume(ctx, s.Addr, s.Attachment, s.Next)
	if err != nil || !timer.Stop() {
		cancel()
	}
	return feed, err
}

func (s *Stream) timeout() time.Duration {
	if s.Restartable && s.Next == 0 {
		return restartTimeout
	}
	return resumeTimeout
}

// readFeed delivers the tokens of one connection.
func (s *Stream) readFeed(feed Feed) (finish string, err error) {
	err = feed.Read(func(token Token) (done bool, err error) {
		finish = token.Finish
		return finish != "", s.handleToken(token)
	})
	return finish, err
}

// handleToken delivers the next token in order and skips tokens that were
// already delivered. A token of another generation or with a gap before it ends
// the connection.
func (s *Stream) handleToken(token Token) error {
	switch {
	case token.Generation != s.Attachment.Generation:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "received a token of generation %q", token.Generation)
	case token.Index > s.Next || token.Finish != "" && token.Index < s.Next:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "received token index %d instead of %d", token.Index, s.Next)
	case token.Index < s.Next || token.Finish != "":
		return nil
	case s.Sink.Deliver(token) != nil:
		return ErrReaderDisconnected
	}
	s.Next++
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
