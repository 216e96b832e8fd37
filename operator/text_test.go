package operator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Date(2027, 1, 31, 9, 30, 10, 0, time.UTC)

// assertLines compares the lines of a text, without trailing spaces, with want.
func assertLines(t *testing.T, text string, want ...string) {
	t.Helper()
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	assert.DeepEqual(t, lines, want)
}

func TestWriteStatus(t *testing.T) {
	for name, c := range map[string]struct {
		content string
		want    []string
	}{
		"ready": {
			`{"instance": "e1", "data_centre": "dc1", "incarnation": "1f", "ready": true, "config_version": 7, "config_digest": "ab",
			"open_requests": 3, "audit": {"sequence": 9, "hash": "cd", "dropped": 1}, "peers": ["e2", "e3"], "reader": true, "peer_states": [
				{"name": "e2", "data_centre": "dc1", "incarnation": "2f", "config_version": 7},
				{"name": "e3", "data_centre": "dc2", "incarnation": "30", "config_version": 6, "config_failed": true},
				{"name": "e4", "data_centre": "dc2", "incarnation": "31", "config_version": 7, "stopping": true}],
			"config_contact_at": "2027-01-31T09:30:09Z", "list_read_at": "2027-01-31T09:30:08.5Z",
			"upstreams": [{"name": "g1", "pool": "drafting", "data_centre": "dc1"}, {"name": "s1", "pool": "shop", "data_centre": "dc2", "leaving": true}]}`,
			[]string{
				"instance       e1 in dc1, incarnation 1f",
				"state          ready",
				"configuration  version 7, digest ab",
				"platform       configuration service contacted 1.0 s ago, instance list read 1.5 s ago, read here for the data centre",
				"open requests  3",
				"audit trail    9 records, 1 dropped, last hash cd",
				"peers alive    3",
				"upstreams      2",
				"",
				"PEER  DATA CENTRE  INCARNATION  CONFIGURATION  STATE",
				"e2    dc1          2f           version 7      alive",
				"e3    dc2          30           version 6      alive, can't reach the configuration service",
				"e4    dc2          31           version 7      stopping",
				"",
				"UPSTREAM  POOL      DATA CENTRE  STATE",
				"g1        drafting  dc1          live",
				"s1        shop      dc2          leaving",
			},
		},
		"not ready": {`{"instance": "e1", "lacks": ["instance_list", "peer_answers"]}`, []string{
			"instance       e1 in , incarnation",
			"state          not ready, lacks instance_list, peer_answers",
			"configuration  none yet",
			"platform       configuration service contacted never, instance list read never",
			"open requests  0",
			"audit trail    0 records, 0 dropped, last hash",
			"peers alive    0",
			"upstreams      0",
		}},
		"stopping": {`{"ready": false, "stopping": true, "config_version": 1, "config_digest": "a"}`, []string{
			"instance        in , incarnation",
			"state          stopping",
			"configuration  version 1, digest a",
			"platform       configuration service contacted never, instance list read never",
			"open requests  0",
			"audit trail    0 records, 0 dropped, last hash",
			"peers alive    0",
			"upstreams      0",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			assert.NilError(t, writeStatus(&text, json.RawMessage(c.content), now))
			assertLines(t, text.String(), c.want...)
		})
	}
}

func TestWriteExplanation(t *testing.T) {
	ended := `{"event": 501, "name": "request_ended", "instance": "e1", "record": {
		"id": "r-1", "team": "reef", "class": "draft", "route": "/v1/completions", "verdict": "ran", "reason": "completed",
		"upstream": "g1", "generation": "r-1.0", "tokens": 20, "first_index": 0, "steps": ["sent to g1: same data centre", "one \"more\""],
		"arrived_at": "2027-01-31T09:30:00Z", "first_token_at": "2027-01-31T09:30:00.25Z", "ended_at": "2027-01-31T09:30:02.125Z"}}`
	resumed := `{"event": 502, "name": "stream_resumed", "instance": "e1", "time": "2027-01-31T09:30:01Z", "record": {"next":3}}`
	for name, c := range map[string]struct {
		content string
		want    []string
	}{
		"a resumed stream": {"[" + resumed + "," + ended + "]", []string{
			"request r-1: ran, completed",
			"  /v1/completions for class draft of team reef, at e1 on 2027-01-31 09:30:00.000 UTC",
			"      +0.000s  arrived",
			"               sent to g1: same data centre",
			"               one \"more\"",
			"      +0.250s  first token, number 0 of generation r-1.0 at g1",
			"      +1.000s  stream_resumed: {\"next\":3}",
			"      +2.125s  ended: ran, completed; 20 tokens delivered",
		}},
		"a refusal": {`[{"event": 501, "instance": "e1", "record": {"id": "r-2", "route": "/v1/calls/:class", "verdict": "not_run",
			"reason": "unknown_team", "detail": "no credential", "arrived_at": "2027-01-31T09:30:00Z", "ended_at": "2027-01-31T09:30:00Z"}}]`, []string{
			"request r-2: not_run, unknown_team",
			"  /v1/calls/:class for class (none) of team (none), at e1 on 2027-01-31 09:30:00.000 UTC",
			"      +0.000s  arrived",
			"      +0.000s  ended: not_run, unknown_team; 0 tokens delivered; no credential",
		}},
		"a request that has not ended": {"[" + resumed + "]", []string{"               stream_resumed: {\"next\":3}"}},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			assert.NilError(t, WriteExplanation(&text, json.RawMessage(c.content)))
			assertLines(t, text.String(), c.want...)
		})
	}
}
