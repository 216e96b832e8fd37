package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/evacuation"
	"mangoloft/gateway"
	"mangoloft/history"
	"mangoloft/upstream"
)

// dataCentreOf returns the data centre of the nth backend in tests of evacuations.
func dataCentreOf(n int) string { return string(rune('a' + n)) }

// spread gives each backend a data centre of its own.
func (g *testGateway) spread(backends ...*backend) {
	var items []upstream.Item
	for n, b := range backends {
		moved := item(b, uint64(50+n), false)
		// The data centre of an incarnation doesn't change.
		moved.Entry.DataCentre, moved.Entry.StartUnixMS = dataCentreOf(n), 2
		items = append(items, moved)
	}
	g.control.UpdateList(items, history.Position{Revision: 60}, false, upstream.FromList)
	g.control.Upstreams()
}

// evacuate evacuates data centres, and returns when the order applies.
func (g *testGateway) evacuate(revision uint64, dataCentres ...string) {
	orders := evacuation.Orders{At: history.Position{Revision: revision}, DataCentres: map[string]uint64{}}
	for _, dataCentre := range dataCentres {
		orders.DataCentres[dataCentre] = revision
	}
	g.control.UpdateOrders(orders, "test")
	g.control.Upstreams()
}

// drain makes a backend leave.
func (g *testGateway) drain(n int, b *backend) {
	leaving := item(b, 70, true)
	leaving.Entry.DataCentre, leaving.Entry.StartUnixMS = dataCentreOf(n), 2
	g.control.UpdateList([]upstream.Item{leaving}, history.Position{Revision: 70}, false, upstream.FromList)
}

// countingBackend counts the requests that arrive, also those that it refuses.
func countingBackend(t *testing.T, name string, arrivals *atomic.Int64, respond behaviour) *backend {
	t.Helper()
	return startBackend(t, name, func(b *backend, w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		respond(b, w, r)
	})
}

// TestRunDoesNotContinueInEvacuatedDataCentre guards against a run that goes on at the engine that
// stopped it for a move, after the data centre of that engine was evacuated.
func TestRunDoesNotContinueInEvacuatedDataCentre(t *testing.T) {
	stopped := make(chan struct{})
	var g *testGateway
	var arrivals [2]atomic.Int64
	source := atomic.Int64{}
	source.Store(-1)
	respond := func(n int) behaviour {
		return func(b *backend, w http.ResponseWriter, r *http.Request) {
			if !source.CompareAndSwap(-1, int64(n)) {
				g.evacuate(1, dataCentreOf(int(source.Load())))
				respondNotRun(b, w, r)
				return
			}
			b.recordRun(r)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Signed", b.name)
			fmt.Fprint(w, "id: 0\ndata: a1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-stopped
			panic(http.ErrAbortHandler)
		}
	}
	b := []*backend{countingBackend(t, "b0", &arrivals[0], respond(0)), countingBackend(t, "b1", &arrivals[1], respond(1))}
	g = startGateway(t, &fakeEngines{stop: func(string) { close(stopped) }}, b...)
	g.spread(b...)
	response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	g.drain(int(source.Load()), b[source.Load()])
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "the stream must not look complete")
	assert.Equal(t, arrivals[source.Load()].Load(), int64(1))
	assert.Equal(t, arrivals[1-source.Load()].Load(), int64(1))
}

// observedEngines reports each copy before it is made.
type observedEngines struct {
	*fakeEngines
	copying func(to netip.AddrPort)
}

func (e observedEngines) CopyKV(ctx context.Context, from netip.AddrPort, run string, to netip.AddrPort, stop bool) (gateway.KVCopy, error) {
	e.copying(to)
	return e.fakeEngines.CopyKV(ctx, from, run, to, stop)
}

// TestMoveAvoidsDataCentreThatIsEvacuatedDuringCopy guards against a run that continues at a
// destination whose data centre was evacuated after it was chosen.
func TestMoveAvoidsDataCentreThatIsEvacuatedDuringCopy(t *testing.T) {
	stopped := make(chan struct{})
	var arrivals [3]atomic.Int64
	respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-From") != "" {
			streamEvents(5, true)(b, w, r)
			return
		}
		b.recordRun(r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signed", b.name)
		fmt.Fprint(w, "id: 0\ndata: a1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-stopped
		panic(http.ErrAbortHandler)
	}
	var b []*backend
	for n := range arrivals {
		b = append(b, countingBackend(t, fmt.Sprint("b", n), &arrivals[n], respond))
	}
	var g *testGateway
	var once sync.Once
	evacuated := -1
	e := observedEngines{&fakeEngines{stop: func(string) { close(stopped) }}, func(to netip.AddrPort) {
		once.Do(func() {
			for n := range b {
				if b[n].addr == to {
					evacuated = n
				}
			}
			g.evacuate(1, dataCentreOf(evacuated))
		})
	}}
	g = startGateway(t, e, b...)
	g.spread(b...)
	response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	for n := range b {
		if b[n].runCount() > 0 {
			g.drain(n, b[n])
		}
	}
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(content), "id: "), 6, string(content))
	assert.Assert(t, evacuated >= 0)
	assert.Equal(t, arrivals[evacuated].Load(), int64(0))
	// The run continues at the third one, and doesn't stop before that is known.
	for n := range b {
		assert.Assert(t, n == evacuated || arrivals[n].Load() == 1, "%d requests at %s", arrivals[n].Load(), b[n].name)
	}
}

// evacuatingDispatcher evacuates the data centre of the first placement before it returns it.
type evacuatingDispatcher struct {
	gateway.Dispatcher
	g    *testGateway
	once sync.Once
	name atomic.Value
}

func (d *evacuatingDispatcher) Place(ctx context.Context, r decide.Request) (dispatch.Placement, error) {
	placement, err := d.Dispatcher.Place(ctx, r)
	d.once.Do(func() {
		d.name.Store(placement.Name)
		d.g.evacuate(1, placement.DataCentre)
	})
	return placement, err
}

// TestPlacedRequestIsNotSentToDataCentreThatWasEvacuatedSince guards against requests that were
// placed before an order, and are sent after it, and against counting them as attempts.
func TestPlacedRequestIsNotSentToDataCentreThatWasEvacuatedSince(t *testing.T) {
	for path, respond := range map[string]behaviour{"/unsafe/x": respondOK, "/safe/x": respondOK, "/long/x": streamEvents(2, true)} {
		t.Run(path, func(t *testing.T) {
			var arrivals [2]atomic.Int64
			b := []*backend{countingBackend(t, "b0", &arrivals[0], respond), countingBackend(t, "b1", &arrivals[1], respond)}
			g := startGateway(t, &fakeEngines{}, b...)
			g.spread(b...)
			d := &evacuatingDispatcher{Dispatcher: g.control, g: g}
			g.gateway.Dispatcher = d
			startedAt := time.Now()
			response, content, err := g.send(t, "POST", path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK, content)
			assert.Assert(t, time.Since(startedAt) < 400*time.Millisecond)
			for n := range b {
				assert.Equal(t, arrivals[n].Load() == 0, b[n].name == d.name.Load())
			}
		})
	}
}
