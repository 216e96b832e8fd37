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

// engines report by address.
type engines struct {
	mu      sync.Mutex
	reports map[netip.AddrPort]upstream.Report
	asked   map[netip.AddrPort]int
	silent  netip.AddrPort
}

func (e *engines) Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error) {
	e.mu.Lock()
	e.asked[engine]++
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

// left is an engine that was told to leave.
type left struct {
	id       string
	born     int64
	leavesAt time.Time
}

type sink struct {
	mu   sync.Mutex
	told []left
}

func (s *sink) Leaving(id string, born int64, leavesAt time.Time, source upstream.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if source == upstream.FromReport {
		s.told = append(s.told, left{id, born, leavesAt})
	}
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

func belief(id string, n byte, state upstream.State) upstream.Status {
	return upstream.Status{Entry: upstream.Entry{ID: id, Addr: address(n), StartUnixMS: int64(n)}, State: state}
}

// The load: an engine is reclaimed while the store is silent, so that only its
// own report tells.
func TestReclaimedEngineIsKnownWithoutTheList(t *testing.T) {
	leavesAt := time.Now().Add(2 * time.Second)
	e := &engines{
		asked: map[netip.AddrPort]int{}, silent: address(3),
		reports: map[netip.AddrPort]upstream.Report{
			address(1): {StartUnixMS: 1}, address(2): {StartUnixMS: 2, Draining: true, LeavesAt: leavesAt}, address(4): {StartUnixMS: 4, Draining: true},
		},
	}
	var doubts atomic.Int32
	for name, test := range map[string]struct {
		polls bool
		want  []left
	}{
		"the data centre's poller": {polls: true, want: []left{{"reclaimed", 2, leavesAt}}},
		"another instance":         {polls: false},
	} {
		t.Run(name, func(t *testing.T) {
			s, log := &sink{}, event.NewLog(io.Discard, "i", time.Now)
			defer log.Close(time.Now())
			p := &reports.Poller{
				Engines: e, Sink: s, Log: log, IsPoller: func() bool { return test.polls }, ListUnavailable: func() bool { return false },
				Reread: func() { doubts.Add(1) },
				Candidates: func() []upstream.Status {
					return []upstream.Status{
						belief("sound", 1, upstream.Ready), belief("reclaimed", 2, upstream.Lapsed), belief("silent", 3, upstream.Ready),
						belief("known to leave", 4, upstream.Draining), belief("refuses", 5, upstream.Ready),
					}
				},
			}
			ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
			defer cancel()
			assert.NilError(t, p.Run(ctx))
			assert.Assert(t, slices.Equal(s.told, test.want), "%v", s.told)
		})
	}
	assert.Equal(t, doubts.Load(), int32(1), "the list was doubted")
	assert.Equal(t, e.asked[address(4)], 0, "an engine known to leave was asked")
}
