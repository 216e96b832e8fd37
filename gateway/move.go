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
	// quickCopyThreshold is the duration below which an incremental copy shows
	// that the link is free, so that the final copy will not stall the stream.
	quickCopyThreshold = 60 * time.Millisecond
	// defaultLeaveDelay is the expected time until a draining upstream leaves if
	// it does not report that time.
	defaultLeaveDelay = 1500 * time.Millisecond
	// finalCopyMargin is the time before the upstream leaves at which the run is
	// stopped at the latest, so that the final copy can complete.
	finalCopyMargin = 350 * time.Millisecond
	// copyTimeout is the timeout for one copy.
	copyTimeout = 3 * time.Second
	// copyRetryDelay is the time before a retry of a copy that can't start yet.
	copyRetryDelay = 50 * time.Millisecond
	// loadedTokenTime is the time per token on a heavily loaded engine.
	loadedTokenTime = 15 * time.Millisecond
	// maxDestinations is the maximum number of engines that one move tries before it
	// waits for roomRetryDelay.
	maxDestinations = 4
	// roomRetryDelay is the time after which a move whose destinations all had no
	// room tries them again. Runs end there all the time.
	roomRetryDelay = 150 * time.Millisecond
	// reportTimeout is the timeout for reading an engine's report.
	reportTimeout = 500 * time.Millisecond
	// discardTimeout is the timeout for discarding a copy.
	discardTimeout = 1 * time.Second
)

// mover moves a run's KV cache to another engine before the run's engine leaves.
// It makes incremental copies while the run continues. Once a copy was quick, or
// the engine is about to leave, it stops the run and copies the rest.
type mover struct {
	stream    *stream
	source    dispatch.Placement
	cancel    context.CancelFunc
	group     sync.WaitGroup
	startedAt time.Time
	// optional moves can be given up. ended is closed after an optional move has been.
	optional bool
	ended    chan struct{}

	mu sync.Mutex
	// destination and handle belong to the latest complete copy.
	destination dispatch.Placement
	handle      KVHandle
	// leavesAt is the time at which the source of an optional move leaves; zero if it
	// doesn't.
	leavesAt time.Time
	// stopSent reports whether the final copy, which stops the run, was
	// requested.
	stopSent      bool
	lastCopyQuick bool
}

// startMove starts to move the run off a leaving engine, unless a move is in
// progress or the run can't or need not be moved.
func (s *stream) startMove(ctx context.Context, status upstream.Status) {
	if s.move != nil && s.move.optional {
		s.leaving = &status
		s.move.mu.Lock()
		s.move.leavesAt = leaveTime(status)
		s.move.mu.Unlock()
		return
	}
	if s.move != nil || status.State == upstream.Removed || !s.canMove() {
		return
	}
	if s.finishesBefore(leaveTime(status)) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{stream: s, source: s.placement, cancel: cancel, startedAt: time.Now()}
	s.move = m
	m.group.Go(func() { m.run(ctx, status.LeavesAt) })
}

// canMove reports whether the service's engines can copy a run's KV cache.
func (s *stream) canMove() bool {
	service := s.table.Services[s.service]
	return service != nil && service.Engine != nil && service.Engine.SupportsMove
}

// leaveTime returns the time at which the upstream leaves, or an estimate if it isn't known.
func leaveTime(status upstream.Status) time.Time {
	if status.LeavesAt.IsZero() {
		return time.Now().Add(defaultLeaveDelay)
	}
	return status.LeavesAt
}

// finishesBefore reports whether the run is expected to finish before its engine
// leaves. Moving such a run would only delay the copies of longer runs, which
// share the link. Only resumable streams count, because they can still continue
// elsewhere if the estimate is wrong.
func (s *stream) finishesBefore(leavesAt time.Time) bool {
	if !s.route.Resumable || s.delivered == 0 || s.info.MaxOutputTokens == 0 {
		return false
	}
	remaining := s.info.MaxOutputTokens - s.delivered*s.tokensPerEvent
	return time.Duration(remaining)*loadedTokenTime < time.Until(leavesAt)-finalCopyMargin
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

// stopRequested reports whether the engine was requested to stop the run. The
// stream of a stopped run ends without its last event.
func (s *stream) stopRequested() bool {
	return s.move != nil && s.move.stopRequested()
}

func (m *mover) stopRequested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopSent
}

// finishMove ends a move after the stream from the source has ended. If the run
// can continue from a copy, finishMove returns the copy's handle and sets the
// placement of the stream to the destination.
func (s *stream) finishMove() (KVHandle, bool) {
	m := s.move
	if m == nil {
		return KVHandle{}, false
	}
	m.waitForCopy()
	s.leaving = nil
	s.move = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := m.handle != (KVHandle{})
	s.g.Dispatcher.EndMove(s.id, moved)
	outcome := "failed"
	if moved {
		outcome = "moved"
		s.placement, s.fallback = m.destination, dispatch.Placement{}
		if m.stopSent {
			s.fallback = m.source
		}
	}
	s.logMove(m.source, m.destination, outcome, nil, time.Since(m.startedAt))
	return m.handle, moved
}

// waitForCopy waits for the final copy, whose response can arrive after the end
// of the stream. If no final copy was requested, waitForCopy cancels the move.
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

// cancelMove cancels a move that is no longer needed, if there is one, and
// discards its copy.
func (s *stream) cancelMove(moved bool) {
	m := s.move
	if m == nil {
		return
	}
	s.move = nil
	m.cancel()
	m.group.Wait()
	s.g.Dispatcher.EndMove(s.id, moved)
	if m.handle == (KVHandle{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	err := s.g.Engines.DiscardCopy(ctx, m.handle)
	s.logMove(m.source, m.destination, "discarded", err, time.Since(m.startedAt))
}

// run makes copies until the run has stopped on its engine or can't be moved.
func (m *mover) run(ctx context.Context, leavesAt time.Time) {
	s := m.stream
	if leavesAt.IsZero() {
		leavesAt = m.fetchLeaveTime(ctx)
	}
	var excluded []string
	for {
		destination, err := dispatch.Placement{}, error(ErrNoCapacity.New("%d destinations have no room", len(excluded)))
		if len(excluded) < maxDestinations {
			destination, err = s.g.Dispatcher.StartMove(ctx, s.id, excluded)
		}
		if err != nil {
			if !m.waitForRoom(ctx, leavesAt) {
				s.logMove(m.source, dispatch.Placement{}, "no destination", err, time.Since(m.startedAt))
				return
			}
			excluded = nil
			continue
		}
		if err := m.copyTo(ctx, destination, leavesAt); err == nil || ctx.Err() != nil {
			return
		} else if !errorx.IsOfType(err, ErrNoCapacity) {
			s.logMove(m.source, destination, "failed", err, time.Since(m.startedAt))
			return
		}
		excluded = append(excluded, destination.Name)
	}
}

// waitForRoom waits until the destinations can be tried again. It returns false if too
// little time is left for a copy.
func (m *mover) waitForRoom(ctx context.Context, leavesAt time.Time) bool {
	return time.Until(leavesAt) > roomRetryDelay+finalCopyMargin && pause.Sleep(ctx, roomRetryDelay)
}

// fetchLeaveTime returns the time at which the engine will leave, according to
// its report, or an estimate if the report does not contain it.
func (m *mover) fetchLeaveTime(ctx context.Context) time.Time {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.stream.g.Engines.Report(ctx, m.source.Addr)
	if err != nil || report.LeavesAt.IsZero() {
		return m.startedAt.Add(defaultLeaveDelay)
	}
	m.stream.g.Dispatcher.ReportLeaving(m.source.Name, report.StartUnixMS, report.LeavesAt, upstream.FromReport)
	return report.LeavesAt
}

// copyTo makes copies of the run's KV cache at one destination: incremental copies
// until shouldStop returns true, and then the final copy, which stops the run. A
// nil error means that the run has stopped and can continue from a copy.
func (m *mover) copyTo(ctx context.Context, destination dispatch.Placement, leavesAt time.Time) error {
	for {
		if m.stream.g.isEvacuated(destination) {
			m.discardDestination()
			return ErrNoCapacity.New("data centre %s was evacuated", destination.DataCentre)
		}
		stop := m.shouldStop(leavesAt)
		if stop {
			m.mu.Lock()
			m.stopSent = true
			m.mu.Unlock()
		}
		startedAt := time.Now()
		c, err := m.copyKV(ctx, destination, stop)
		switch {
		case err == nil:
			m.recordCopy(destination, c.Handle, time.Since(startedAt))
			if stop {
				return nil
			}
		case stop && c.Handle != (KVHandle{}):
			// The copy failed after the engine had stopped the run. The engine keeps
			// the run's KV cache under the handle.
			m.recordCopy(destination, c.Handle, 0)
			return nil
		case stop:
			return err
		case errorx.IsOfType(err, ErrRunNotFound) || errorx.IsOfType(err, ErrCopyInProgress):
			// The engine can't copy the run yet.
			if !pause.Sleep(ctx, copyRetryDelay) {
				return ctx.Err()
			}
		default:
			return err
		}
	}
}

// copyKV makes one copy.
func (m *mover) copyKV(ctx context.Context, destination dispatch.Placement, stop bool) (KVCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return m.stream.g.Engines.CopyKV(ctx, m.source.Addr, m.stream.info.ID, destination.Addr, stop)
}

// shouldStop reports whether the next copy should stop the run: if the last copy
// was quick, or if no time is left for another incremental copy.
func (m *mover) shouldStop(leavesAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handle != (KVHandle{}) && (m.lastCopyQuick || time.Until(leavesAt) < finalCopyMargin)
}

// discardDestination forgets the copies at a destination to which nothing may be sent any
// more, so that the run isn't continued there. The engine drops them after their lifetime.
func (m *mover) discardDestination() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.destination, m.handle, m.lastCopyQuick = dispatch.Placement{}, KVHandle{}, false
}

func (m *mover) recordCopy(destination dispatch.Placement, h KVHandle, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.destination, m.handle, m.lastCopyQuick = destination, h, duration < quickCopyThreshold
}
