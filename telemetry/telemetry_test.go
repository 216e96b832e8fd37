package telemetry_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/gossip"
	"mangoloft/telemetry"
	"mangoloft/verdict"
)

func TestMetrics(t *testing.T) {
	m := telemetry.New()
	m.CountRequest("unsafe", 503, verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.Overloaded}, 3*time.Millisecond)
	m.ObserveStream(400*time.Millisecond, 60*time.Millisecond)
	m.CountSend("pool")
	m.CountFailedSend("pool", verdict.UpstreamLost)
	m.CountMove("moved")
	m.CountRankRefusal("s", 2)
	m.CountTakeUp("history")
	zero := func() int { return 0 }
	m.RegisterGauges(telemetry.Source{
		OpenRequests: func() int { return 2 }, PeersAlive: zero, FleetSize: zero, StoreCalls: func() uint64 { return 4 }, ControlBacklog: zero, ContainedParts: zero, ContainedRequests: zero, UnevenServices: zero, Evacuated: zero, EvacuatedRequests: zero, UpstreamsAvoided: zero, ColdUpstreams: func() int { return 5 }, TableVersion: func() uint64 { return 7 }, ListRevision: func() uint64 { return 9 },
		LinesDropped: func() uint64 { return 0 }, StoreLost: func() bool { return true }, Ready: func() bool { return false },
		Datagrams: func() map[string]gossip.Traffic {
			return map[string]gossip.Traffic{"notices": {Sent: 1, SentBytes: 20, Received: 3, ReceivedBytes: 60}}
		},
		Upstreams: func() map[string]int { return map[string]int{"ready": 3} },
		RetryBudgets: func() []decide.RetryBudget {
			return []decide.RetryBudget{{Pool: "pool", Available: 1.5, Capacity: 3, MovesLeft: 12}}
		},
		RepeatCounts: func() []decide.RepeatCount {
			return []decide.RepeatCount{{Pool: "pool", Kind: "moved_run", Allowed: 6, Refused: 1}}
		},
		StoreEra: func() uint64 { return 2 }, TableConfirmedAt: func() time.Time { return time.Time{} },
	})
	var out bytes.Buffer
	m.Write(&out)
	for _, line := range []string{
		`mangoloft_requests_total{kind="unsafe",status="503",verdict="not_run",reason="overloaded"} 1`,
		`mangoloft_refusals_total{reason="overloaded"} 1`,
		`mangoloft_sends_total{service="pool"} 1`,
		`mangoloft_cold_upstreams 5`,
		`mangoloft_take_ups_total{source="history"} 1`,
		`mangoloft_retry_budget{service="pool"} 1.5`,
		`mangoloft_retry_budget_capacity{service="pool"} 3`,
		`mangoloft_moves_left{service="pool"} 12`,
		`mangoloft_repeats_total{service="pool",kind="moved_run",outcome="allowed"} 6`,
		`mangoloft_repeats_total{service="pool",kind="moved_run",outcome="refused"} 1`,
		`mangoloft_failed_sends_total{service="pool",reason="upstream_lost"} 1`,
		`mangoloft_run_moves_total{outcome="moved"} 1`,
		`mangoloft_first_event_seconds_count 1`,
		`mangoloft_open_requests 2`,
		`mangoloft_table_version 7`,
		`mangoloft_store_lost 1`,
		`mangoloft_ready 0`,
		`mangoloft_upstreams{state="ready"} 3`,
		`mangoloft_store_calls_total 4`,
		`mangoloft_store_era 2`,
		`mangoloft_table_confirmed_age_seconds 0`,
		`mangoloft_datagrams_total{content="notices",direction="received"} 3`,
		`mangoloft_datagram_bytes_total{content="notices",direction="sent"} 20`,
	} {
		assert.Assert(t, strings.Contains(out.String(), line+"\n"), "%s is missing in\n%s", line, out.String())
	}
	for _, name := range telemetry.Names() {
		assert.Assert(t, strings.Contains(out.String(), name), name)
	}
}

// TestPageNamesEveryMetric checks that docs/METRICS.md names every metric.
func TestPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	for _, name := range telemetry.Names() {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), name)
	}
}
