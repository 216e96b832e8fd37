package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/dispatch"
	"mangoloft/pause"
	"mangoloft/upstream"
)

const (
	// quickCopy is the time under which a copy of what is new shows that the
	// link is free, so that the last copy will not hold up the stream.
	quickCopy = 60 * time.Millisecond
	// assumedLeave is when an upstream is expected to be gone that doesn't say.
	assumedLeave = 1500 * time.Millisecond
	// lastCopyMargin is how long before the upstream is gone the run must stop
	// there at the latest.
	lastCopyMargin = 350 * time.Millisecond
	// copyLimit bounds one copy.
	copyLimit = 3 * time.Second
	// copyPause is the time before a copy is tried again that can't begin yet.
	copyPause = 50 * time.Millisecond
	// slowToken is the time of one token on a crowded engine.
	slowToken = 15 * time.Millisecond
	// maxDestinations bounds the engines that one move tries.
	maxDestinations = 4
	reportLimit     = 500 * time.Millisecond
	discardLimit    = 1 * time.Second
)

// mover brings a run's memory to another engine before its own is gone. It
// copies while the run goes on, until little is new, and then stops the run
// and copies the rest.
type mover struct {
	stream *stream
	source dispatch.Placement
	cancel context.CancelFunc
	group  sync.WaitGroup
	began  time.Time

	mu sync.Mutex
	// to and handle are the latest whole copy.
	to      dispatch.Placement
	handle  KVHandle
	stopped bool
	over    bool
}

// startMove begins to move the run, unless that is under way.
func (s *stream) startMove(ctx context.Context, b upstream.Belief) {
	if s.move != nil || b.State == upstream.Gone {
		return
	}
	service := s.table.Services[s.service]
	if service == nil || service.Engine == nil || !service.Engine.Moves {
		return
	}
	if s.endsBefore(b.LeavesAt) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{stream: s, source: s.place, cancel: cancel, began: time.Now()}
	s.move = m
	m.group.Go(func() { m.run(ctx, b.LeavesAt) })
}

// endsBefore reports whether the run should end at its engine before that is
// gone, and may be begun anew or gone on with if it doesn't. Its copy would only
// hold up those of longer runs, which go over the same link.
func (s *stream) endsBefore(leavesAt time.Time) bool {
	if !s.route.Resumable || s.delivered == 0 || s.ask.MaxOutputTokens == 0 {
		return false
	}
	if leavesAt.IsZero() {
		leavesAt = time.Now().Add(assumedLeave)
	}
	left := s.ask.MaxOutputTokens - s.delivered*s.tokens
	return time.Duration(left)*slowToken < time.Until(leavesAt)-lastCopyMargin
}

// moving reports whether the run is stopped at its engine for a move.
func (s *stream) moving() bool {
	if s.move == nil {
		return false
	}
	s.move.mu.Lock()
	defer s.move.mu.Unlock()
	return s.move.handle != (KVHandle{})
}

// stopping reports whether the engine was told to stop the run, whose stream
// then ends without its last event.
func (s *stream) stopping() bool {
	if s.move == nil {
		return false
	}
	s.move.mu.Lock()
	defer s.move.mu.Unlock()
	return s.move.stopped
}

// takeMove ends a move after the stream broke. It reports whether the run can
// go on from a copy, whose place the stream then has.
func (s *stream) takeMove() (KVHandle, bool) {
	m := s.move
	if m == nil {
		return KVHandle{}, false
	}
	m.settle()
	s.move = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := m.handle != (KVHandle{})
	s.g.Dispatcher.Relocated(s.id, moved)
	outcome := "failed"
	if moved {
		outcome = "moved"
		s.place, s.stopped = m.to, dispatch.Placement{}
		if m.stopped {
			s.stopped = m.source
		}
	}
	s.logMove(m.source.Name, m.to.Name, outcome, nil, time.Since(m.began))
	return m.handle, moved
}

// settle lets the last copy end, whose answer may come after the stream's end,
// and gives up one that has not begun.
func (m *mover) settle() {
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !stopped {
		m.cancel()
	}
	m.group.Wait()
	m.cancel()
}

// endMove gives up a move that is not needed any more and frees its copy.
func (s *stream) endMove(moved bool) {
	m := s.move
	if m == nil {
		return
	}
	s.move = nil
	m.cancel()
	m.group.Wait()
	s.g.Dispatcher.Relocated(s.id, moved)
	if m.handle == (KVHandle{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discardLimit)
	defer cancel()
	err := s.g.Engines.DiscardCopy(ctx, m.handle)
	s.logMove(m.source.Name, m.to.Name, "discarded", err, time.Since(m.began))
}

// run copies until the run has stopped at its engine or can't be moved.
func (m *mover) run(ctx context.Context, leavesAt time.Time) {
	s := m.stream
	if leavesAt.IsZero() {
		leavesAt = m.leavesAt(ctx)
	}
	var avoid []string
	for range maxDestinations {
		to, err := s.g.Dispatcher.Relocate(ctx, s.id, avoid)
		if err != nil {
			s.logMove(m.source.Name, "", "no destination", err, time.Since(m.began))
			return
		}
		if err := m.copyTo(ctx, to, leavesAt); err == nil || ctx.Err() != nil {
			return
		} else if !errorx.IsOfType(err, ErrNoCapacity) {
			s.logMove(m.source.Name, to.Name, "failed", err, time.Since(m.began))
			return
		}
		avoid = append(avoid, to.Name)
	}
}

// leavesAt asks the engine when it will be gone.
func (m *mover) leavesAt(ctx context.Context) time.Time {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	report, err := m.stream.g.Engines.Report(ctx, m.source.Addr)
	if err != nil || report.LeavesAt.IsZero() {
		return m.began.Add(assumedLeave)
	}
	m.stream.g.Dispatcher.Leaving(m.source.Name, report.Born, report.LeavesAt, upstream.FromReport)
	return report.LeavesAt
}

// copyTo copies to one destination. Without an error the run has stopped.
func (m *mover) copyTo(ctx context.Context, to dispatch.Placement, leavesAt time.Time) error {
	for {
		stop := m.ready(leavesAt)
		if stop {
			m.mu.Lock()
			m.stopped = true
			m.mu.Unlock()
		}
		began := time.Now()
		c, err := m.copy(ctx, to, stop)
		switch {
		case err == nil:
			m.keep(to, c.Handle, time.Since(began))
			if stop {
				return nil
			}
		case stop && c.Handle != (KVHandle{}):
			// The engine stopped the run and keeps its memory.
			m.keep(to, c.Handle, 0)
			return nil
		case stop:
			return err
		case errorx.IsOfType(err, ErrRunNotFound) || errorx.IsOfType(err, ErrCopyInProgress):
			if !pause.For(ctx, copyPause) {
				return ctx.Err()
			}
		default:
			return err
		}
	}
}

func (m *mover) copy(ctx context.Context, to dispatch.Placement, stop bool) (KVCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	return m.stream.g.Engines.CopyKV(ctx, m.source.Addr, m.stream.ask.ID, to.Addr, stop)
}

// ready reports whether the run should stop with the next copy: when the last
// one was quick, or no time is left.
func (m *mover) ready(leavesAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handle != (KVHandle{}) && (m.over || time.Until(leavesAt) < lastCopyMargin)
}

func (m *mover) keep(to dispatch.Placement, h KVHandle, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.to, m.handle, m.over = to, h, took < quickCopy
}
