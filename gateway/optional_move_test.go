package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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
			stopped := make(chan struct{})
			var mu sync.Mutex
			var from []string
			respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
				if handle := r.Header.Get("X-From"); handle != "" {
					mu.Lock()
					from = append(from, handle+" after "+r.Header.Get("X-Last"))
					mu.Unlock()
					streamEvents(5, true)(b, w, r)
					return
				}
				b.recordRun(r)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Signed", b.name)
				for id := range 3 {
					fmt.Fprintf(w, "id: %d\ndata: a1\n\n", id)
					_ = http.NewResponseController(w).Flush()
				}
				<-stopped
				panic(http.ErrAbortHandler)
			}
			e := &fakeEngines{stop: func(string) { close(stopped) }, fullUntil: time.Now().Add(test.fullFor)}
			b0, b1 := startBackend(t, "b0", respond), startBackend(t, "b1", respond)
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
			assert.DeepEqual(t, from, []string{"h1 after 2"})
			assert.DeepEqual(t, e.copies, test.copies)
		})
	}
}
