package gateway

import (
	"context"
	"time"

	"mangoloft/dispatch"
)

const (
	// minMovedTokens is the output limit up to which streams are not worth an optional move.
	minMovedTokens = 200
	// maxOptionalCopies is the number of incremental copies after which an optional move is
	// given up if none was quick: the links are busy, and the final copy would stall the
	// stream.
	maxOptionalCopies = 4
)

// startOptionalMove starts to move the run to an engine where prompts delay it less, if there
// is one.
func (s *stream) startOptionalMove(ctx context.Context) {
	if s.move != nil || !s.canMove() || s.info.MaxOutputTokens > 0 && s.info.MaxOutputTokens <= minMovedTokens {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{stream: s, source: s.placement, cancel: cancel, startedAt: time.Now(), optional: true, ended: make(chan struct{})}
	s.move = m
	m.group.Go(func() { m.runOptional(ctx) })
}

// optionalMoveEnded returns a channel that is closed when an optional move has been given up;
// nil if there is none.
func (s *stream) optionalMoveEnded() <-chan struct{} {
	if s.move == nil {
		return nil
	}
	return s.move.ended
}

// endOptionalMove ends an optional move that has been given up. If the upstream began to leave
// in the meantime, the run has to move.
func (s *stream) endOptionalMove(ctx context.Context) {
	m := s.move
	m.cancel()
	m.group.Wait()
	s.move = nil
	if s.leaving != nil {
		status := *s.leaving
		s.leaving = nil
		s.startMove(ctx, status)
	}
}

// runOptional makes copies until the run has stopped on its engine, or gives the move up.
func (m *mover) runOptional(ctx context.Context) {
	s := m.stream
	destination, err := s.g.Dispatcher.StartOptionalMove(ctx, s.id)
	if err != nil {
		close(m.ended)
		return
	}
	err = m.copyOptional(ctx, destination)
	if err == nil || ctx.Err() != nil {
		return
	}
	if m.stopRequested() {
		// The engine may have stopped the run, which then continues from the copy before.
		s.logMove(m.source, destination, "failed", err, time.Since(m.startedAt))
		return
	}
	m.mu.Lock()
	handle := m.handle
	m.handle, m.destination = KVHandle{}, dispatch.Placement{}
	m.mu.Unlock()
	s.g.Dispatcher.EndMove(s.id, false)
	if handle != (KVHandle{}) {
		discardCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
		err = s.g.Engines.DiscardCopy(discardCtx, handle)
		cancel()
	}
	s.logMove(m.source, destination, "given up", err, time.Since(m.startedAt))
	close(m.ended)
}

// copyOptional is like copyTo for a run whose engine doesn't leave.
func (m *mover) copyOptional(ctx context.Context, destination dispatch.Placement) error {
	for range maxOptionalCopies {
		if leavesAt := m.sourceLeaves(); m.hasQuickCopy() || !leavesAt.IsZero() {
			return m.copyTo(ctx, destination, leavesAt)
		}
		startedAt := time.Now()
		c, err := m.copyKV(ctx, destination, false)
		if err != nil {
			return err
		}
		m.recordCopy(destination, c.Handle, time.Since(startedAt))
	}
	return ErrNoCapacity.New("no copy was quick enough")
}

func (m *mover) sourceLeaves() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavesAt
}

func (m *mover) hasQuickCopy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handle != (KVHandle{}) && m.lastCopyQuick
}
