// Package relay passes the tokens of one generation to its reader exactly once
// and in order, over as many connections to the engine as that takes.
package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"mangoloft/verdict"
)

// Token is one token as the engine numbers it, or the end of a generation.
type Token struct {
	Generation string
	// Index counts from 0. For the end it is the number of tokens.
	Index int
	Text  string
	// Finish says why the generation ended; empty for a token.
	Finish string
}

// Spec is the order to an engine to begin a generation.
type Spec struct {
	Generation string
	// Reader names the first reader.
	Reader    string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
}

// Attachment names one reader of one generation. A reader that comes back,
// here or at another instance, has a new name.
type Attachment struct {
	Generation string
	Reader     string
}

// Feed is one connection that brings the tokens of a generation.
type Feed interface {
	// Read passes tokens to take until take says that it has enough, the
	// connection ends, or it has been silent past its deadline. The first of
	// these that is an error is returned.
	Read(take func(Token) (enough bool, err error)) error
	Close()
}

// Engine is what the relay needs of an engine.
type Engine interface {
	// Start begins a generation. An error with verdict NotRun proves that the
	// engine didn't take it.
	Start(ctx context.Context, addr netip.AddrPort, spec Spec) (Feed, error)
	// Resume reads a generation from the token with index next. An error with
	// reason GenerationLost says that the engine doesn't hold it; MarkRefused
	// marks one that says that no process listens there.
	Resume(ctx context.Context, addr netip.AddrPort, a Attachment, next int) (Feed, error)
	// Cancel ends a generation unless another reader has attached to it since
	// a did, which it reports by ended. A generation that is over has ended.
	Cancel(ctx context.Context, addr netip.AddrPort, a Attachment) (ended bool, err error)
}

// Reader takes the tokens. An error means that the reader is gone.
type Reader interface {
	Deliver(t Token) error
}

// Stream is one generation at one engine, read from the token with index Next.
type Stream struct {
	Engine     Engine
	Addr       netip.AddrPort
	Attachment Attachment
	Next       int
	Reader     Reader
	// Restartable says that another generation may take this one's place as
	// long as no token was delivered, so that waiting for it is worth little.
	Restartable bool
	// OnBreak, when set, is told of each connection that broke, and of the
	// first try in vain to make it anew.
	OnBreak func(next int, err error)
}

// ErrReaderGone is returned when the reader did not take a token.
var ErrReaderGone = errors.New("the reader is gone")

// Run passes tokens from feed, and from further connections when it breaks,
// until the generation ends. A nil feed is opened first. The error carries the
// outcome.
func (s *Stream) Run(ctx context.Context, feed Feed) (finish string, err error) {
	var o outage
	for {
		if feed == nil {
			feed, err = s.resume(ctx, o)
		}
		if err == nil {
			before, opened := s.Next, time.Now()
			finish, err = s.drain(feed)
			feed.Close()
			if err == nil || errors.Is(err, ErrReaderGone) {
				return finish, err
			}
			if s.Next > before || time.Since(opened) > aliveAfter {
				o = outage{}
			}
		}
		feed = nil
		if ctx.Err() != nil {
			return "", verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the request was given up")
		}
		o.note(time.Now(), err, s.patience())
		if s.OnBreak != nil && o.failures <= toldFailures {
			s.OnBreak(s.Next, err)
		}
		if lost := o.lost(time.Now(), err); lost != nil {
			return "", lost
		}
		if o.failures > 1 {
			pause(ctx, resumePause)
		}
	}
}

// resume opens a connection, unless that takes until the outage is given up.
func (s *Stream) resume(ctx context.Context, o outage) (Feed, error) {
	if o.failures == 0 {
		return s.Engine.Resume(ctx, s.Addr, s.Attachment, s.Next)
	}
	// The context outlives the opening, since the feed lives in it.
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(o.giveUpAt), cancel)
	feed, err := s.Engine.Resume(ctx, s.Addr, s.Attachment, s.Next)
	if err != nil || !timer.Stop() {
		cancel()
	}
	return feed, err
}

func (s *Stream) patience() time.Duration {
	if s.Restartable && s.Next == 0 {
		return restartPatience
	}
	return resumePatience
}

// drain passes on the tokens of one connection.
func (s *Stream) drain(feed Feed) (finish string, err error) {
	err = feed.Read(func(token Token) (enough bool, err error) {
		finish = token.Finish
		return finish != "", s.pass(token)
	})
	return finish, err
}

// pass lets only the token through that is due next: whatever a late connection
// brings again falls here, and a connection that brings what it shouldn't is
// given up.
func (s *Stream) pass(token Token) error {
	switch {
	case token.Generation != s.Attachment.Generation:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "a token of generation %q came", token.Generation)
	case token.Index > s.Next || token.Finish != "" && token.Index < s.Next:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "index %d came where %d was due", token.Index, s.Next)
	case token.Index < s.Next || token.Finish != "":
		return nil
	case s.Reader.Deliver(token) != nil:
		return ErrReaderGone
	}
	s.Next++
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
