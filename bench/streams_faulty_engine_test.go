package bench_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/ident"
	"mangoloft/standin"
)

// faultyEngineTokens is the length of every generation of a faulty engine.
const faultyEngineTokens = 40

// faultyEngine is an engine that sends wrong data after some correct tokens on all
// connections but the third, so that both the first stream and one resumed stream
// are faulty.
type faultyEngine struct {
	mu          sync.Mutex
	connections int
	// misbehave writes the wrong data after the correct tokens.
	misbehave func(w *faultyWriter, generation string, next int)
}

// faultyWriter writes the events of one connection of an engine.
type faultyWriter struct {
	http.ResponseWriter
	r *http.Request
}

func (w *faultyWriter) token(generation string, index int) {
	fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"text\":%q}\n\n", generation, index, standin.TokenText(generation, index))
	_ = http.NewResponseController(w).Flush() // The entry instance may have closed the connection.
}

func (w *faultyWriter) end(generation string, index int) {
	fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"finish\":\"stop\"}\n\n", generation, index)
}

func (e *faultyEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &faultyWriter{rw, r}
	switch {
	case r.URL.Path == "/load":
		fmt.Fprintf(w, `{"incarnation": "1", "taken_unix_ms": %d, "capacity_tokens": 100000, "step_us": 1000}`, time.Now().UnixMilli())
	case r.Method == http.MethodPost:
		var request struct {
			Generation string `json:"generation"`
		}
		if json.NewDecoder(r.Body).Decode(&request) == nil {
			e.stream(w, request.Generation, 0)
		}
	case r.Method == http.MethodGet:
		from, _ := strconv.Atoi(r.URL.Query().Get("from")) // The entry instance always sends a number.
		e.stream(w, r.PathValue("id"), from)
	}
}

// stream sends ten correct tokens and then wrong data. On the third connection it
// sends all tokens correctly.
func (e *faultyEngine) stream(w *faultyWriter, generation string, from int) {
	e.mu.Lock()
	e.connections++
	correct := e.connections == 3
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	limit := from + 10
	if correct {
		limit = faultyEngineTokens
	}
	for index := from; index < limit; index++ {
		w.token(generation, index)
	}
	if correct {
		w.end(generation, faultyEngineTokens)
		return
	}
	e.misbehave(w, generation, limit)
}

// TestStreamFromFaultyEngine checks that the client gets a complete, correct stream
// after reconnections, although the engine sends wrong data.
func TestStreamFromFaultyEngine(t *testing.T) {
	t.Parallel()
	tests := map[string]func(w *faultyWriter, generation string, next int){
		"another generation's tokens": func(w *faultyWriter, _ string, next int) {
			for i := range 5 {
				w.token("other.0", next+i)
			}
		},
		"another generation's end": func(w *faultyWriter, _ string, next int) { w.end("other.0", next) },
		"repeated tokens and then silence": func(w *faultyWriter, generation string, _ int) {
			for i := range 5 {
				w.token(generation, i)
			}
			<-w.r.Context().Done()
		},
		"a gap": func(w *faultyWriter, generation string, next int) { w.token(generation, next+1) },
		"an end index lower than the number of tokens sent":  func(w *faultyWriter, generation string, _ int) { w.end(generation, 2) },
		"an end index higher than the number of tokens sent": func(w *faultyWriter, generation string, next int) { w.end(generation, next+7) },
		"half an event": func(w *faultyWriter, generation string, next int) {
			fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"te", generation, next)
		},
	}
	for name, misbehave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Services: 1})
			routes := http.NewServeMux()
			engine := &faultyEngine{misbehave: misbehave}
			routes.Handle("/generations/{id}", engine)
			routes.Handle("/", engine)
			server := httptest.NewServer(routes)
			t.Cleanup(server.Close)
			fleet.Engines = append(fleet.Engines, &bench.Process{
				Name: "faulty", DataCentre: fleet.Entries[0].DataCentre,
				Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Incarnation: ident.Incarnation(1),
			})
			assert.NilError(t, fleet.PublishList(ctx))
			var r *bench.Reader
			eventually(t, "the entry instance streams from the engine", func() bool {
				r = newReader()
				return r.ReadAll(ctx, idleTimeoutClient(t), fleet.Entries, prompt(faultyEngineTokens)) == nil && !r.Refused()
			})
			assert.NilError(t, r.CheckCompleted(faultyEngineTokens))
		})
	}
}
