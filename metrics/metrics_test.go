package metrics_test

import (
	"expvar"
	"os"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/member"
	"mangoloft/metrics"
	"mangoloft/verdict"
)

func TestMetrics(t *testing.T) {
	snapshot := &control.Snapshot{
		Config: &config.View{Version: 7}, Ready: true, Peers: make([]member.Peer, 2), ListedPeers: make([]member.ListedInstance, 3),
		Partners:  make([]member.ListedInstance, 1),
		Upstreams: []decide.Upstream{{}, {Leaving: true}, {}},
	}
	metrics.Publish(metrics.Source{Snapshot: func() *control.Snapshot { return &control.Snapshot{} }})
	metrics.Publish(metrics.Source{
		Snapshot: func() *control.Snapshot { return snapshot }, OpenRequests: func() int { return 4 }, ControlBacklog: func() int { return 5 },
		AuditRecordsDropped: func() uint64 { return 6 }, LogEventsDropped: func() uint64 { return 8 },
	})
	metrics.CountRequest(verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.Overloaded})
	metrics.TokensRelayed.Add(9)
	want := map[string]string{
		"requests_ended": `{"not_run.overloaded": 1}`, "tokens_relayed": "9", "open_requests": "4", "ready": "true",
		"config_version": "7", "peers_alive": "2", "peers_listed": "3", "heartbeat_partners": "1", "upstreams_live": "2", "upstreams_leaving": "1",
		"control_backlog": "5", "audit_records_dropped": "6", "log_events_dropped": "8",
	}
	assert.Equal(t, len(want), len(metrics.Names()))
	for _, name := range metrics.Names() {
		assert.Assert(t, expvar.Get(name) != nil, name)
		assert.Equal(t, expvar.Get(name).String(), want[name], name)
	}
}

// TestPageMatchesMetrics checks that the table of docs/METRICS.md lists exactly the
// metrics of this package.
func TestPageMatchesMetrics(t *testing.T) {
	content, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllSubmatch(content, -1) {
		listed = append(listed, string(row[1]))
	}
	names := metrics.Names()
	slices.Sort(names)
	slices.Sort(listed)
	assert.DeepEqual(t, listed, names)
}
