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
	Model      string
	Prompt     string
	MaxTokens  int
	Priority   int
}

// Feed is one connection that brings the tokens of a generation.
type Feed interface {
	// Next blocks until a token comes, the connection ends, or it has been
	// silent past its deadline.
	Next() (Token, error)
	Close()
}

// Engine is what the relay needs of an engine.
type Engine interface {
	// Start begins a generation. An error with verdict NotRun proves that the
	// engine didn't take it.
	Start(ctx context.Context, addr netip.AddrPort, spec Spec) (Feed, error)
	// Resume reads a generation from the token with index next. An error with
	// reason GenerationLost says that the engine doesn't hold it.
	Resume(ctx context.Context, addr netip.AddrPort, generation string, next int) (Feed, error)
	// Cancel ends a generation. Cancelling one that is over is no error.
	Cancel(ctx context.Context, addr netip.AddrPort, generation string) error
}

// Reader takes the tokens. An error means that the reader is gone.
type Reader interface {
	Token(t Token) error
}

// Stream is one generation at one engine, read from the token with index Next.
type Stream struct {
	Engine     Engine
	Addr       netip.AddrPort
	Generation string
	Next       int
	Reader     Reader
}

const (
	// resumeFor is how long a broken connection is made anew before the
	// generation is given up.
	resumeFor = 10 * time.Second
	// resumePause is the time between two tries.
	resumePause = 100 * time.Millisecond
)

// ErrReaderGone is returned when the reader did not take a token.
var ErrReaderGone = errors.New("the reader is gone")

// Run passes tokens from feed, and from further connections when it breaks,
// until the generation ends. A nil feed is opened first. It returns the number
// of the last token and an error that carries the outcome.
func (s *Stream) Run(ctx context.Context, feed Feed) (finish string, err error) {
	giveUpAt := time.Now().Add(resumeFor)
	for {
		if feed != nil {
			before := s.Next
			finish, err = s.drain(feed)
			feed.Close()
			if err == nil || errors.Is(err, ErrReaderGone) {
				return finish, err
			}
			if s.Next > before {
				giveUpAt = time.Now().Add(resumeFor)
			}
		}
		if feed, err = s.Engine.Resume(ctx, s.Addr, s.Generation, s.Next); err == nil {
			continue
		}
		outcome := verdict.Of(err)
		if ctx.Err() != nil {
			return "", verdict.Fail(verdict.Ran, verdict.CallerGone, "the request was given up")
		}
		if outcome.Reason == verdict.GenerationLost || time.Now().After(giveUpAt) {
			return "", verdict.Fail(verdict.Ran, verdict.GenerationLost, "the engine lost the generation: %s", outcome.Detail)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumePause):
		}
	}
}

// drain passes on the tokens of one connection. Only the token that is due
// next goes through: whatever a late or crossed connection brings falls here.
func (s *Stream) drain(feed Feed) (finish string, err error) {
	for {
		token, err := feed.Next()
		if err != nil {
			return "", err
		}
		if token.Generation != s.Generation || token.Index < s.Next {
			continue
		}
		if token.Index > s.Next {
			return "", verdict.Fail(verdict.Ran, verdict.AnswerMismatch, "token %d came where %d was due", token.Index, s.Next)
		}
		if token.Finish != "" {
			return token.Finish, nil
		}
		if s.Reader.Token(token) != nil {
			return "", ErrReaderGone
		}
		s.Next++
	}
}
