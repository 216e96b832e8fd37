package reports_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/event"
	"mangoloft/reports"
	"mangoloft/upstream"
)

// engines holds the report of each engine by its address, and counts the polls.
type engines struct {
	mu      sync.Mutex
	reports map[netip.AddrPort]upstream.Report
	polled  map[netip.AddrPort]int
	silent  netip.AddrPort
}

func (e *engines) Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error) {
	e.mu.Lock()
	e.polled[engine]++
	report, ok := e.reports[engine]
	e.mu.Unlock()
	if engine == e.silent {
		<-ctx.Done()
		return upstream.Report{}, ctx.Err()
	}
	if !ok {
		return upstream.Report{}, errors.New("refused")
	}
	return report, nil
}

// announcement is a call of Sink.ReportLeaving.
type announcement struct {
	id          string
	startUnixMS int64
	leavesAt    time.Time
}

type sink struct {
	mu            sync.Mutex
	announcements []announcement
}

func (s *sink) ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if source == upstream.FromReport {
		s.announcements = append(s.announcements, announcement{id, startUnixMS, leavesAt})
	}
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

func status(id string, n byte, state upstream.State) upstream.Status {
	return upstream.Status{Entry: upstream.Entry{ID: id, Addr: address(n), StartUnixMS: int64(n)}, State: state}
}

// TestReclaimedEngineIsReportedWithoutList checks that the poller announces an
// engine which is reclaimed while the list does not show it, so that its report
// is the only announcement.
func TestReclaimedEngineIsReportedWithoutList(t *testing.T) {
	leavesAt := time.Now().Add(2 * time.Second)
	e := &engines{
		polled: map[netip.AddrPort]int{}, silent: address(3),
		reports: map[netip.AddrPort]upstream.Report{
			address(1): {StartUnixMS: 1}, address(2): {StartUnixMS: 2, Draining: true, LeavesAt: leavesAt}, address(4): {StartUnixMS: 4, Draining: true},
		},
	}
	var rereads atomic.Int32
	for name, test := range map[string]struct {
		polls bool
		want  []announcement
	}{
		"the data centre's poller": {polls: true, want: []announcement{{"reclaimed", 2, leavesAt}}},
		"another instance":         {polls: false},
	} {
		t.Run(name, func(t *testing.T) {
			s, log := &sink{}, event.NewLog(io.Discard, "i", time.Now)
			defer log.Close(time.Now())
			p := &reports.Poller{
				Engines: e, Sink: s, Log: log, IsPoller: func() bool { return test.polls }, ListUnavailable: func() bool { return false },
				Reread: func() { rereads.Add(1) },
				Candidates: func() []upstream.Status {
					return []upstream.Status{
						status("healthy", 1, upstream.Ready), status("reclaimed", 2, upstream.Lapsed), status("silent", 3, upstream.Ready),
						status("already leaving", 4, upstream.Draining), status("refuses", 5, upstream.Ready),
					}
				},
			}
			ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
			defer cancel()
			assert.NilError(t, p.Run(ctx))
			assert.Assert(t, slices.Equal(s.announcements, test.want), "%v", s.announcements)
		})
	}
	assert.Equal(t, rereads.Load(), int32(1), "the list must be reread exactly once")
	assert.Equal(t, e.polled[address(4)], 0, "an engine that is already leaving must not be polled")
}
