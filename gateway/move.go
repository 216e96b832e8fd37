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
	// quickCopyTime is the duration below which an incremental copy shows that
	// the link is free, so that the final copy will not stall the stream.
	quickCopyTime = 60 * time.Millisecond
	// defaultLeaveDelay is how long a draining upstream is expected to keep
	// running if it does not report when it leaves.
	defaultLeaveDelay = 1500 * time.Millisecond
	// finalCopyMargin is how long before the upstream leaves the run must stop
	// there at the latest.
	finalCopyMargin = 350 * time.Millisecond
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// copyRetryDelay is the time before a retry of a copy that can't start yet.
	copyRetryDelay = 50 * time.Millisecond
	// slowTokenTime is the time per token on a heavily loaded engine.
	slowTokenTime = 15 * time.Millisecond
	// maxDestinations bounds the engines that one move tries.
	maxDestinations = 4
	reportTimeout   = 500 * time.Millisecond
	discardTimeout  = 1 * time.Second
)

// mover moves a run's KV cache to another engine before its own engine leaves.
// It makes incremental copies while the run continues. When few new entries are
// left, it stops the run and copies the rest.
type mover struct {
	stream    *stream
	source    dispatch.Placement
	cancel    context.CancelFunc
	group     sync.WaitGroup
	startedAt time.Time

	mu sync.Mutex
	// destination and handle belong to the latest complete copy.
	destination   dispatch.Placement
	handle        KVHandle
	stopSent      bool
	lastCopyQuick bool
}

// startMove starts to move the run unless a move is in progress.
func (s *stream) startMove(ctx context.Context, b upstream.Status) {
	if s.move != nil || b.State == upstream.Gone {
		return
	}
	service := s.table.Services[s.service]
	if service == nil || service.Engine == nil || !service.Engine.SupportsMove {
		return
	}
	if s.finishesBefore(b.LeavesAt) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{stream: s, source: s.placement, cancel: cancel, startedAt: time.Now()}
	s.move = m
	m.group.Go(func() { m.run(ctx, b.LeavesAt) })
}

// finishesBefore reports whether the run should finish at its engine before
// that leaves. If it does not, it can still be resumed or restarted elsewhere.
// Moving such a run would only delay the copies of longer runs, which share the
// link.
func (s *stream) finishesBefore(leavesAt time.Time) bool {
	if !s.route.Resumable || s.delivered == 0 || s.info.MaxOutputTokens == 0 {
		return false
	}
	if leavesAt.IsZero() {
		leavesAt = time.Now().Add(defaultLeaveDelay)
	}
	left := s.info.MaxOutputTokens - s.delivered*s.tokensPerEvent
	return time.Duration(left)*slowTokenTime < time.Until(leavesAt)-finalCopyMargin
}

// hasCopy reports whether the run can be continued from a copy that the move
// made.
func (s *stream) hasCopy() bool {
	if s.move == nil {
		return false
	}
	s.move.mu.Lock()
	defer s.move.mu.Unlock()
	return s.move.handle != (KVHandle{})
}

// stopRequested reports whether the engine was asked to stop the run. The
// stream of a stopped run ends without its last event.
func (s *stream) stopRequested() bool {
	if s.move == nil {
		return false
	}
	s.move.mu.Lock()
	defer s.move.mu.Unlock()
	return s.move.stopSent
}

// finishMove ends a move after the stream broke. If the run can continue from a
// copy, it returns the handle of the copy and sets the placement of the stream
// to the destination.
func (s *stream) finishMove() (KVHandle, bool) {
	m := s.move
	if m == nil {
		return KVHandle{}, false
	}
	m.waitForCopy()
	s.move = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := m.handle != (KVHandle{})
	s.g.Dispatcher.Relocated(s.id, moved)
	outcome := "failed"
	if moved {
		outcome = "moved"
		s.placement, s.stoppedSource = m.destination, dispatch.Placement{}
		if m.stopSent {
			s.stoppedSource = m.source
		}
	}
	s.logMove(m.source.Name, m.destination.Name, outcome, nil, time.Since(m.startedAt))
	return m.handle, moved
}

// waitForCopy waits for the final copy, whose response may arrive after the end
// of the stream. If the final copy has not started, it cancels the move.
func (m *mover) waitForCopy() {
	m.mu.Lock()
	stopSent := m.stopSent
	m.mu.Unlock()
	if !stopSent {
		m.cancel()
	}
	m.group.Wait()
	m.cancel()
}

// cancelMove cancels a move that is no longer needed and discards its copy.
func (s *stream) cancelMove(moved bool) {
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
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	err := s.g.Engines.DiscardCopy(ctx, m.handle)
	s.logMove(m.source.Name, m.destination.Name, "discarded", err, time.Since(m.startedAt))
}

// run makes copies until the run has stopped at its engine or can't be moved.
func (m *mover) run(ctx context.Context, leavesAt time.Time) {
	s := m.stream
	if leavesAt.IsZero() {
		leavesAt = m.fetchLeaveTime(ctx)
	}
	var avoid []string
	for range maxDestinations {
		destination, err := s.g.Dispatcher.Relocate(ctx, s.id, avoid)
		if err != nil {
			s.logMove(m.source.Name, "", "no destination", err, time.Since(m.startedAt))
			return
		}
		if err := m.copyTo(ctx, destination, leavesAt); err == nil || ctx.Err() != nil {
			return
		} else if !errorx.IsOfType(err, ErrNoCapacity) {
			s.logMove(m.source.Name, destination.Name, "failed", err, time.Since(m.startedAt))
			return
		}
		avoid = append(avoid, destination.Name)
	}
}

// fetchLeaveTime asks the engine when it will leave.
func (m *mover) fetchLeaveTime(ctx context.Context) time.Time {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.stream.g.Engines.Report(ctx, m.source.Addr)
	if err != nil || report.LeavesAt.IsZero() {
		return m.startedAt.Add(defaultLeaveDelay)
	}
	m.stream.g.Dispatcher.Leaving(m.source.Name, report.StartUnixMS, report.LeavesAt, upstream.FromReport)
	return report.LeavesAt
}

// copyTo copies to one destination. A nil error means that the run has stopped.
func (m *mover) copyTo(ctx context.Context, destination dispatch.Placement, leavesAt time.Time) error {
	for {
		stop := m.shouldStop(leavesAt)
		if stop {
			m.mu.Lock()
			m.stopSent = true
			m.mu.Unlock()
		}
		startedAt := time.Now()
		c, err := m.copy(ctx, destination, stop)
		switch {
		case err == nil:
			m.recordCopy(destination, c.Handle, time.Since(startedAt))
			if stop {
				return nil
			}
		case stop && c.Handle != (KVHandle{}):
			// The engine stopped the run and keeps its KV cache.
			m.recordCopy(destination, c.Handle, 0)
			return nil
		case stop:
			return err
		case errorx.IsOfType(err, ErrRunNotFound) || errorx.IsOfType(err, ErrCopyInProgress):
			if !pause.Sleep(ctx, copyRetryDelay) {
				return ctx.Err()
			}
		default:
			return err
		}
	}
}

func (m *mover) copy(ctx context.Context, destination dispatch.Placement, stop bool) (KVCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return m.stream.g.Engines.CopyKV(ctx, m.source.Addr, m.stream.info.ID, destination.Addr, stop)
}

// shouldStop reports whether the next copy should stop the run: when the last
// copy was quick, or when no time is left.
func (m *mover) shouldStop(leavesAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handle != (KVHandle{}) && (m.lastCopyQuick || time.Until(leavesAt) < finalCopyMargin)
}

func (m *mover) recordCopy(destination dispatch.Placement, h KVHandle, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.destination, m.handle, m.lastCopyQuick = destination, h, took < quickCopyTime
}
