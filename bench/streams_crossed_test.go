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

// crossingTokens is the length of every generation of a crossing engine.
const crossingTokens = 40

// crossingEngine is an engine whose connections bring what they shouldn't: each
// connection but the third one goes wrong after some tokens in its own way.
type crossingEngine struct {
	mu          sync.Mutex
	connections int
	// wrong writes what comes after the right tokens.
	wrong func(w *crossingWriter, generation string, next int)
}

// crossingWriter writes events of an engine's connection.
type crossingWriter struct {
	http.ResponseWriter
	r *http.Request
}

func (w *crossingWriter) token(generation string, index int) {
	fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"text\":%q}\n\n", generation, index, standin.TokenText(generation, index))
	_ = http.NewResponseController(w).Flush() // The instance may have hung up.
}

func (w *crossingWriter) end(generation string, index int) {
	fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"finish\":\"stop\"}\n\n", generation, index)
}

func (e *crossingEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &crossingWriter{rw, r}
	switch {
	case r.URL.Path == "/load":
		fmt.Fprintf(w, `{"incarnation": "1", "taken_unix_ms": %d, "capacity_tokens": 100000, "step_us": 1000}`, time.Now().UnixMilli())
	case r.Method == http.MethodPost:
		var order struct {
			Generation string `json:"generation"`
		}
		if json.NewDecoder(r.Body).Decode(&order) == nil {
			e.stream(w, order.Generation, 0)
		}
	case r.Method == http.MethodGet:
		from, _ := strconv.Atoi(r.URL.Query().Get("from")) // The instance writes a number.
		e.stream(w, r.PathValue("id"), from)
	}
}

// stream brings ten right tokens and goes wrong, but for the third connection,
// which brings all.
func (e *crossingEngine) stream(w *crossingWriter, generation string, from int) {
	e.mu.Lock()
	e.connections++
	right := e.connections == 3
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	last := from + 10
	if right {
		last = crossingTokens
	}
	for index := from; index < last; index++ {
		w.token(generation, index)
	}
	if right {
		w.end(generation, crossingTokens)
		return
	}
	e.wrong(w, generation, last)
}

// A whole stream comes to its reader from an engine that mixes up answers.
func TestCrossedAnswers(t *testing.T) {
	t.Parallel()
	tests := map[string]func(w *crossingWriter, generation string, next int){
		"another generation's tokens": func(w *crossingWriter, _ string, next int) {
			for i := range 5 {
				w.token("other.0", next+i)
			}
		},
		"another generation's end": func(w *crossingWriter, _ string, next int) { w.end("other.0", next) },
		"old tokens again and then silence": func(w *crossingWriter, generation string, _ int) {
			for i := range 5 {
				w.token(generation, i)
			}
			<-w.r.Context().Done()
		},
		"a gap":                 func(w *crossingWriter, generation string, next int) { w.token(generation, next+1) },
		"an end before the end": func(w *crossingWriter, generation string, _ int) { w.end(generation, 2) },
		"an end behind the end": func(w *crossingWriter, generation string, next int) { w.end(generation, next+7) },
		"half an event": func(w *crossingWriter, generation string, next int) {
			fmt.Fprintf(w, "data: {\"generation\":%q,\"index\":%d,\"te", generation, next)
		},
	}
	for name, wrong := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Services: 1})
			routes := http.NewServeMux()
			engine := &crossingEngine{wrong: wrong}
			routes.Handle("/generations/{id}", engine)
			routes.Handle("/", engine)
			server := httptest.NewServer(routes)
			t.Cleanup(server.Close)
			fleet.Engines = append(fleet.Engines, &bench.Process{
				Name: "crossing", DataCentre: fleet.Entries[0].DataCentre,
				Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Incarnation: ident.Incarnation(1),
			})
			assert.NilError(t, fleet.PublishList(ctx))
			var r *bench.Reader
			eventually(t, "the engine is known", func() bool {
				r = newReader()
				return r.ReadAll(ctx, impatientClient(t), fleet.Entries, prompt(crossingTokens)) == nil && !r.Refused()
			})
			assert.NilError(t, r.CheckCompleted(crossingTokens))
		})
	}
}
