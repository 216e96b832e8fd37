package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/history"
	"mangoloft/upstream"
)

// TestOptionalMove checks that a stream that may move, and one whose engine leaves meanwhile or
// after the move was given up, delivers each event once and from one run.
func TestOptionalMove(t *testing.T) {
	tests := map[string]struct {
		// fullFor is the time for which the other engine has no room, and leavesAfter the time
		// after which the engine begins to leave; 0 if it doesn't.
		fullFor, leavesAfter time.Duration
		copies               []string
	}{
		"room":                              {copies: []string{"a1 false", "a1 true"}},
		"given up, then the engine leaves":  {fullFor: 100 * time.Millisecond, leavesAfter: 50 * time.Millisecond, copies: []string{"a1 false", "a1 true"}},
		"the engine leaves while it's full": {fullFor: 300 * time.Millisecond, leavesAfter: 10 * time.Millisecond, copies: []string{"a1 false", "a1 true"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := &movingRun{stopped: make(chan struct{})}
			e := &fakeEngines{stop: func(string) { close(run.stopped) }, fullUntil: time.Now().Add(test.fullFor)}
			b0, b1 := startBackend(t, "b0", run.respond), startBackend(t, "b1", run.respond)
			g := startGateway(t, e, b0, b1)
			g.loadRecorder.optionalMoves.Store(true)
			response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", map[string]string{"X-Max-Output": "2000"}))
			assert.NilError(t, err)
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			line, err := reader.ReadString('\n')
			assert.NilError(t, err)
			if test.leavesAfter > 0 {
				time.Sleep(test.leavesAfter)
				leaving := b0
				if b1.runCount() > 0 {
					leaving = b1
				}
				g.control.UpdateList([]upstream.Item{item(leaving, 10, true)}, history.Position{Revision: 10}, false, upstream.FromList)
			}
			rest, err := io.ReadAll(reader)
			assert.NilError(t, err)
			content := line + string(rest)
			for id := range 6 {
				assert.Equal(t, strings.Count(content, fmt.Sprintf("id: %d\n", id)), 1, content)
			}
			assert.DeepEqual(t, run.from, []string{"h1 after 2"})
			assert.DeepEqual(t, e.copies, test.copies)
		})
	}
}
