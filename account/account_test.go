package account_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/account"
)

const (
	placed = `{"event":505,"request":"r","kind":"streaming","waited_ms":WAITED,"prompt_tokens":100,"max_output_tokens":10}` + "\n"
	stream = `{"event":508,"request":"r","kind":"streaming","status":200,"reason":"REASON","events":EVENTS,"first_event_ms":FIRST,` +
		`"longest_pause_ms":PAUSE,"target_ms":1500,"pause_target_ms":180,"prompt_tokens":100,"max_output_tokens":10,"ms":9000}` + "\n"
	call = `{"event":508,"request":"r","kind":"safe","status":200,"reason":"REASON","target_ms":100,"ms":TOOK}` + "\n"
	move = `{"event":507,"request":"r","outcome":"OUTCOME"}` + "\n"
)

func fill(line string, values ...string) string { return strings.NewReplacer(values...).Replace(line) }

// TestCauses checks the cause that follows from the log lines of one request.
func TestCauses(t *testing.T) {
	complete := []string{"EVENTS", "20", "FIRST", "400", "PAUSE", "60", "REASON", "completed"}
	paused := []string{"EVENTS", "20", "FIRST", "400", "PAUSE", "250", "REASON", "completed"}
	late := []string{"EVENTS", "20", "FIRST", "1600", "PAUSE", "60", "REASON", "completed"}
	lost := []string{"EVENTS", "20", "FIRST", "400", "PAUSE", "60", "REASON", "upstream_lost"}
	tests := map[string]struct {
		logs string
		want account.Cause
	}{
		"complete stream":               {fill(placed, "WAITED", "0") + fill(stream, complete...), account.InTime},
		"call":                          {fill(call, "REASON", "completed", "TOOK", "30"), account.InTime},
		"served by another instance":    {fill(call, "REASON", "completed", "TOOK", "30") + strings.Replace(fill(call, "REASON", "upstream_failed", "TOOK", "20"), `"request"`, `"from_member":true,"request"`, 1), account.InTime},
		"late call":                     {fill(call, "REASON", "completed", "TOOK", "130"), account.Late},
		"waited for a place":            {fill(placed, "WAITED", "1000") + fill(stream, late...), account.WaitedForPlacement},
		"waited at its engine":          {fill(placed, "WAITED", "100") + fill(stream, late...), account.WaitedAtEngine},
		"paused":                        {fill(placed, "WAITED", "0") + fill(stream, paused...), account.Paused},
		"paused in a move":              {fill(placed, "WAITED", "0") + fill(move, "OUTCOME", "moved") + fill(stream, paused...), account.PausedInMove},
		"cut":                           {fill(placed, "WAITED", "0") + fill(stream, lost...), account.Cut},
		"cut after a move":              {fill(placed, "WAITED", "0") + fill(move, "OUTCOME", "moved") + fill(stream, lost...), account.Cut},
		"cut, its move failed":          {fill(placed, "WAITED", "0") + fill(move, "OUTCOME", "failed") + fill(stream, lost...), account.MoveFailed},
		"failed by its upstream":        {fill(call, "REASON", "upstream_failed", "TOOK", "30"), account.UpstreamFailed},
		"refused":                       {fill(call, "REASON", "overloaded", "TOOK", "0"), account.Refused},
		"refused after a wait":          {fill(call, "REASON", "wait_expired", "TOOK", "900"), account.Refused},
		"timed out":                     {fill(placed, "WAITED", "0") + fill(call, "REASON", "wait_expired", "TOOK", "900"), account.TimedOut},
		"no upstream":                   {fill(call, "REASON", "no_upstream", "TOOK", "0"), account.Unreachable},
		"caller cancelled":              {fill(call, "REASON", "caller_gone", "TOOK", "10"), account.CallerDisconnected},
		"cut by its instance's stop":    {fill(placed, "WAITED", "0") + fill(stream, "EVENTS", "20", "FIRST", "400", "PAUSE", "60", "REASON", "stopping"), account.InstanceStopped},
		"refused by a stop":             {fill(call, "REASON", "stopping", "TOOK", "0"), account.Refused},
		"instance killed":               {fill(placed, "WAITED", "0"), account.Unfinished},
		"line with its instance's name": {"  12.5 edge-a-1 " + fill(call, "REASON", "completed", "TOOK", "30"), account.InTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, err := account.Read(strings.NewReader(test.logs))
			assert.NilError(t, err)
			assert.Equal(t, len(a.Rows), 1, "%v", a.Rows)
			assert.Equal(t, a.Rows[0].Cause, test.want)
			assert.Equal(t, a.Rows[0].Requests, 1)
		})
	}
}

// TestSharesAreBySize checks that a request of three times the size gets three
// times the share.
func TestSharesAreBySize(t *testing.T) {
	small := fill(stream, "EVENTS", "20", "FIRST", "400", "PAUSE", "60", "REASON", "completed")
	large := fill(stream, `"r"`, `"other"`, `"prompt_tokens":100`, `"prompt_tokens":500`, "EVENTS", "0", "FIRST", "0", "PAUSE", "0", "REASON", "upstream_lost")
	a, err := account.Read(strings.NewReader("not a log line\n" + small + large))
	assert.NilError(t, err)
	assert.Equal(t, a.Skipped, 1)
	var out bytes.Buffer
	assert.NilError(t, a.Print(&out))
	assert.Equal(t, out.String(), `KIND       CAUSE                REQUESTS  SHARE BY SIZE
streaming  cut by its upstream  1         75.0%
streaming  in time              1         25.0%
`)
}

// TestRejectedRequestsAreLeftOut checks that requests which the routing table
// doesn't allow are not counted.
func TestRejectedRequestsAreLeftOut(t *testing.T) {
	for _, reason := range []string{"not_found", "unknown_team", "bad_request"} {
		a, err := account.Read(strings.NewReader(fill(call, "REASON", reason, "TOOK", "0")))
		assert.NilError(t, err)
		assert.Equal(t, len(a.Rows), 0)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(fill(call, "REASON", "completed", "TOOK", "30")))
	f.Add([]byte(`{"event":508,"request":7}`))
	f.Fuzz(func(t *testing.T, logs []byte) {
		a, err := account.Read(bytes.NewReader(logs))
		if err == nil {
			assert.NilError(t, a.Print(&bytes.Buffer{}))
		}
	})
}
