package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/bench"
	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/gateway"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/telemetry"
	"mangoloft/upstream"
)

// testProtocol has its own header names, so that the gateway is tested
// independently of any platform.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header, received time.Time) (gateway.RequestInfo, error) {
	info := gateway.RequestInfo{ID: h.Get("X-Id"), Credential: h.Get("X-Key"), PromptTokens: 10, MaxOutputTokens: 100, LastEventID: h.Get("X-Last")}
	if maxOutput, err := strconv.Atoi(h.Get("X-Max-Output")); err == nil {
		info.MaxOutputTokens = maxOutput
	}
	if d, err := time.ParseDuration(h.Get("X-Wait")); err == nil {
		info.Deadline = received.Add(d)
	}
	return info, nil
}

func (testProtocol) UpstreamHeader(caller http.Header, attempt gateway.AttemptInfo, _ time.Time) http.Header {
	h := http.Header{"X-Id": caller["X-Id"], "X-Instance": {attempt.Upstream}, "X-Team": {attempt.Team}, "X-Last": {attempt.LastEventID}}
	if attempt.HasPriority {
		h.Set("X-Priority", strconv.Itoa(attempt.Priority))
	}
	if attempt.ResumeFrom != (gateway.KVHandle{}) {
		h.Set("X-From", attempt.ResumeFrom.Name)
	}
	return h
}

func (testProtocol) MemberHeader(caller http.Header, _ gateway.AttemptInfo, _ time.Time) http.Header {
	return caller.Clone()
}

func (testProtocol) ParseResponse(status int, h http.Header, _ time.Time) gateway.ResponseInfo {
	info := gateway.ResponseInfo{ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	if h.Get("X-Load") != "" {
		info.Load = &gateway.Load{Running: 3, Slots: 8}
	}
	return info
}

func (testProtocol) CallerHeader(h http.Header) http.Header {
	return http.Header{"X-Id": h["X-Id"], "X-Signed": h["X-Signed"], "Content-Type": h["Content-Type"]}
}

type noopAnnouncer struct{}

func (noopAnnouncer) SendNotice(decide.Notice)                                        {}
func (noopAnnouncer) SendLeaving(string, int64, time.Time)                            {}
func (noopAnnouncer) SendLimit(decide.LimitNotice)                                    {}
func (noopAnnouncer) SendBrittle(decide.BrittleNotice)                                {}
func (noopAnnouncer) SendCrash(containment.Crash)                                     {}
func (noopAnnouncer) PoolReachChanged()                                               {}
func (noopAnnouncer) Reaching(string) int                                             { return 0 }
func (noopAnnouncer) SendFinding(containment.Finding)                                 {}
func (noopAnnouncer) ListChanged([]upstream.Item, history.Position, history.Position) {}
func (noopAnnouncer) OrdersChanged(evacuation.Orders)                                 {}
func (noopAnnouncer) RequestOrders()                                                  {}
func (noopAnnouncer) TableChanged()                                                   {}

// StartOptionalMove implements gateway.Dispatcher.
func (r *loadRecorder) StartOptionalMove(ctx context.Context, id ident.Request) (dispatch.Placement, error) {
	if r.optionalMoves.Load() {
		return r.StartMove(ctx, id, nil)
	}
	return r.Dispatcher.StartOptionalMove(ctx, id)
}

// fakeEngines records the requested copies; every copy succeeds.
type fakeEngines struct {
	mu     sync.Mutex
	copies []string
	// fullUntil is the time until which no destination has room.
	fullUntil time.Time
	// stop is called for a copy that stops the run.
	stop func(run string)
}

func (e *fakeEngines) Report(context.Context, netip.AddrPort) (upstream.Report, error) {
	return upstream.Report{Draining: true, LeavesAt: time.Now().Add(time.Minute)}, nil
}

func (e *fakeEngines) CopyKV(_ context.Context, from netip.AddrPort, run string, _ netip.AddrPort, stop bool) (gateway.KVCopy, error) {
	e.mu.Lock()
	full := time.Now().Before(e.fullUntil)
	if !full {
		e.copies = append(e.copies, fmt.Sprint(run, " ", stop))
	}
	e.mu.Unlock()
	if full {
		return gateway.KVCopy{}, gateway.ErrNoCapacity.New("full")
	}
	if stop {
		e.stop(run)
	}
	return gateway.KVCopy{Handle: gateway.KVHandle{Addr: from, Name: "h1"}}, nil
}

func (e *fakeEngines) DiscardCopy(context.Context, gateway.KVHandle) error { return nil }

// backend is a test upstream that records which requests it ran.
type backend struct {
	name string
	addr netip.AddrPort

	mu   sync.Mutex
	runs []string
}

func (b *backend) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

// behaviour is the way in which a backend responds to a request.
type behaviour func(b *backend, w http.ResponseWriter, r *http.Request)

// startBackend starts a backend that responds to each request with respond.
func startBackend(t *testing.T, name string, respond behaviour) *backend {
	t.Helper()
	b := &backend{name: name}
	server := httptest.NewServer(b.handler(respond))
	t.Cleanup(server.Close)
	b.addr = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return b
}

func (b *backend) handler(respond behaviour) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		respond(b, w, r)
	})
}

func (b *backend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r.Header.Get("X-Id"))
}

// The functions below are behaviours of a backend.

func respondOK(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Signed", b.name)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func respond500(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	w.Header().Set("X-Signed", b.name)
	w.WriteHeader(http.StatusInternalServerError)
}

func respondNotRun(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondMisdirected(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func respondUnsigned(b *backend, _ http.ResponseWriter, r *http.Request) { b.recordRun(r) }

func respondOtherID(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	w.Header().Set("X-Signed", b.name)
	w.Header().Set("X-Id", "another")
}

// respondRaw writes bytes to the connection and closes it.
func respondRaw(text string) behaviour {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get("X-Id"))))
		conn.Close()
	}
}

// respondRefusal runs the request, but writes a refusal with the header fields before the
// response, as a faulty upstream writes an earlier one again.
func respondRefusal(status, fields string) behaviour {
	return respondRaw("HTTP/1.1 " + status + "\r\n" + fields + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nab")
}

func hang(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	<-r.Context().Done()
}

// streamEvents sends the events after X-Last up to last. Then it ends the stream
// or, if complete is false, aborts it in the middle of an event.
func streamEvents(last int, complete bool) behaviour {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		from := -1
		_, _ = fmt.Sscan(r.Header.Get("X-Last"), &from)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signed", b.name)
		for id := from + 1; id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.Header.Get("X-Id"))
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			fmt.Fprint(w, "id: 9")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// testGateway is a gateway with its backends.
type testGateway struct {
	url          string
	gateway      *gateway.Gateway
	server       *httptest.Server
	logs         *logBuffer
	control      *dispatch.Controller
	loadRecorder *loadRecorder
}

// logBuffer contains the lines of a log.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.content.String(), text)
}

func (b *logBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.content.String(), text)
}

const key = "key-1"

// backendSlots is the number of streams that a backend runs at the same time.
const backendSlots = 8

func routes() *routing.Table {
	share := []routing.Share{{Service: "pool", Weight: 1}}
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Shares: share, MaxAttempts: attempts, Resumable: resumable,
			Timeout: 500 * time.Millisecond, Target: 200 * time.Millisecond,
		}
	}
	plain := route("plain", routing.Unsafe, 1, false)
	plain.Shares = []routing.Share{{Service: "plain", Weight: 1}}
	// The service "plain" has routes of different ranks.
	urgentPlain := plain
	urgentPlain.Name, urgentPlain.Prefix = "urgent-plain", "/urgent-plain/"
	plain.Priority = 2
	long := route("long", routing.Streaming, 1, false)
	long.Timeout = time.Minute
	longResumable := route("long-resumable", routing.Streaming, 2, true)
	longResumable.Timeout = time.Minute
	// patient returns the same route with ten times as much time.
	patient := func(r routing.Route) routing.Route {
		r.Name, r.Prefix = "patient-"+r.Name, "/patient-"+r.Name+"/"
		r.Timeout, r.Target = 10*r.Timeout, 10*r.Target
		return r
	}
	hurried := route("hurried-resumable", routing.Streaming, 2, true)
	hurried.Timeout = hurried.Target
	paced := longResumable
	paced.Name, paced.Prefix = "paced-resumable", "/paced-resumable/"
	paced.Target, paced.PauseTarget = 500*time.Millisecond, 20*time.Millisecond
	safe, unsafe, resumable := route("safe", routing.Safe, 2, false), route("unsafe", routing.Unsafe, 1, false), route("resumable", routing.Streaming, 2, true)
	return routing.New(routing.Table{
		Version: 1, RequiresCredential: true, Limits: routing.Limits{BodyBytes: 64},
		Routes: []routing.Route{
			safe, unsafe, resumable, patient(safe), patient(unsafe), patient(resumable), hurried, long, longResumable, paced, plain, urgentPlain,
		},
		Services: map[string]*routing.Service{"plain": {Name: "plain"}, "pool": {Name: "pool", Engine: &routing.Engine{Slots: backendSlots, KVCacheTokens: 10000, EventTokens: 1, SupportsMove: true}}},
	}, []routing.Team{{Name: "reef"}}, map[string][]string{"reef": {key}})
}

// serviceOf returns the service of a backend.
func serviceOf(b *backend) string {
	if b.name == "plain" {
		return b.name
	}
	return "pool"
}

// item returns the backend's item in the list.
func item(b *backend, revision uint64, draining bool) upstream.Item {
	return upstream.Item{ID: b.name, Revision: revision, Raw: []byte("x"), Entry: &upstream.Entry{
		ID: b.name, Service: serviceOf(b), Addr: b.addr, DataCentre: "a", Slots: backendSlots, StartUnixMS: 1, Draining: draining,
	}}
}

// startGateway starts a gateway whose list contains the backends.
func startGateway(t *testing.T, e gateway.EngineClient, backends ...*backend) *testGateway {
	t.Helper()
	return startMember(t, e, nil, backends...)
}

// startMember starts a gateway that also serves the requests of others, and knows these.
func startMember(t *testing.T, e gateway.EngineClient, members gateway.Members, backends ...*backend) *testGateway {
	t.Helper()
	logs := &logBuffer{}
	log := event.NewLog(logs, "front", time.Now)
	control := dispatch.New("a", log)
	control.SetAnnouncer(noopAnnouncer{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = control.Run(ctx) })
	control.UpdateTable(routing.Document{Table: routes()}, "test")
	var items []upstream.Item
	for i, b := range backends {
		items = append(items, item(b, uint64(i+1), false))
	}
	control.UpdateList(items, history.Position{Revision: uint64(len(items))}, true, upstream.FromList)
	home := ident.Home{Peer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	recorder := &loadRecorder{Dispatcher: control}
	handler := gateway.New(gateway.Options{
		Home: home, Dispatcher: recorder, Protocol: testProtocol{}, Engines: e, Origins: noOrigins{}, Past: emptyPast{control}, Members: members, Log: log, Metrics: telemetry.New(), MaxBodyBytes: 1 << 20,
	})
	server := httptest.NewServer(handler.DetourHandler(handler))
	t.Cleanup(func() {
		server.Close()
		cancel()
		group.Wait()
		log.Close(time.Now().Add(time.Second))
	})
	g := &testGateway{url: server.URL, gateway: handler, server: server, logs: logs, control: control, loadRecorder: recorder}
	for control.Snapshot().ListPosition.IsZero() && len(backends) > 0 {
		time.Sleep(time.Millisecond)
	}
	return g
}

// noOrigins are other instances that know no streams.
type noOrigins struct{}

func (noOrigins) FindOrigin(context.Context, origin.Key) (string, bool) { return "", false }

// emptyPast is a history without changes.
type emptyPast struct{ control *dispatch.Controller }

func (p emptyPast) Extend(ctx context.Context) bool {
	return p.control.ExtendPast(ctx, nil, time.Now().Add(-time.Minute))
}

func (emptyPast) ReadList(context.Context, time.Time) bool { return true }

func (emptyPast) FindRun(context.Context, string, string) (string, bool) { return "", false }

// request returns a request for the gateway. The entries of header are added to the
// default headers or replace them.
func (g *testGateway) request(t *testing.T, method, path, body string, header map[string]string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("X-Id", "a1")
	r.Header.Set("X-Key", key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

// send sends a request to the gateway. The error is the error of reading the
// response's body.
func (g *testGateway) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	response, err := http.DefaultClient.Do(g.request(t, method, path, body, header))
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// TestRankOfRequest checks that a request's rank follows from its route where the routes of
// the service differ, and that it reaches the upstream and the log.
func TestRankOfRequest(t *testing.T) {
	respondPriority := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", b.name)
		fmt.Fprint(w, r.Header["X-Priority"])
	}
	g := startGateway(t, &fakeEngines{}, startBackend(t, "plain", respondPriority), startBackend(t, "b0", respondPriority))
	for path, want := range map[string]string{"/plain/x": "[2]", "/urgent-plain/x": "[0]", "/unsafe/x": "[]"} {
		_, content, err := g.send(t, "POST", path, "", map[string]string{"X-Priority": "7"})
		assert.NilError(t, err)
		assert.Equal(t, content, want, path)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.logs.contains(`"rank":2`) {
			return poll.Success()
		}
		return poll.Continue("no log line has the rank")
	})
}

// TestPlain checks, for plain routes, the response to the caller and the number of
// backends that run the request.
func TestPlain(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		behaviours         []behaviour
		status             int
		want               string
		// runs is the required number of backends that run the request.
		runs int
	}{
		"success":                              {method: "POST", path: "/unsafe/x?q=%20a", body: "hi", behaviours: []behaviour{respondOK}, status: 200, want: "POST /unsafe/x?q=%20a hi", runs: 1},
		"path is not normalised":               {method: "GET", path: "/safe/%41/..%2f;x", behaviours: []behaviour{respondOK}, status: 200, want: "GET /safe/%41/..%2f;x ", runs: 1},
		"unsafe, status 500 is returned":       {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respond500, respond500}, status: 500, runs: 1},
		"safe, status 500 is retried":          {method: "GET", path: "/safe/x", behaviours: []behaviour{respond500, respond500}, status: 500, runs: 2},
		"unsafe, not run":                      {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondNotRun, respondNotRun}, status: 503},
		"unsafe, misdirected":                  {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondMisdirected, respondMisdirected}, status: 503},
		"unsafe, no signature":                 {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondUnsigned, respondUnsigned}, status: 502, runs: 1},
		"unsafe, response to another request":  {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondOtherID, respondOtherID}, status: 502, runs: 1},
		"unsafe, refusal of another request":   {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1"), respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1")}, status: 502, runs: 1},
		"unsafe, refusal without an id":        {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRefusal("503 Full", "X-Not-Run: 1"), respondRefusal("503 Full", "X-Not-Run: 1")}, status: 502, runs: 1},
		"unsafe, 421 to another request":       {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRefusal("421 Misdirected", "X-Id: another"), respondRefusal("421 Misdirected", "X-Id: another")}, status: 502, runs: 1},
		"safe, refusal of another request":     {method: "GET", path: "/safe/x", behaviours: []behaviour{respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1"), respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1")}, status: 502, runs: 2},
		"unsafe, truncated body":               {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 9\r\n\r\nab")}, status: 502, runs: 1},
		"unsafe, connection closed":            {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRaw(""), respondRaw("")}, status: 502, runs: 1},
		"not an HTTP response":                 {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRaw("garbage\r\n\r\n")}, status: 502, runs: 1},
		"bytes after the response":             {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\n")}, status: 200, want: "ab", runs: 1},
		"body ends with the connection":        {method: "POST", path: "/unsafe/x", behaviours: []behaviour{respondRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\n\r\nab")}, status: 200, want: "ab", runs: 1},
		"unsafe, upstream hangs":               {method: "POST", path: "/unsafe/x", behaviours: []behaviour{hang, hang}, status: 504, runs: 1},
		"caller's deadline before the route's": {method: "POST", path: "/unsafe/x", header: map[string]string{"X-Wait": "100ms"}, behaviours: []behaviour{hang}, status: 504, runs: 1},
		"no route":                             {method: "GET", path: "/unknown/x", behaviours: []behaviour{respondOK}, status: 404},
		"unknown key":                          {method: "GET", path: "/safe/x", header: map[string]string{"X-Key": "key-9"}, behaviours: []behaviour{respondOK}, status: 401},
		"body over the limit":                  {method: "POST", path: "/unsafe/x", body: strings.Repeat("x", 65), behaviours: []behaviour{respondOK}, status: 413},
		"no upstream":                          {method: "POST", path: "/unsafe/x", status: 503},
		"no id":                                {method: "POST", path: "/unsafe/x", header: map[string]string{"X-Id": ""}, behaviours: []behaviour{respondOK}, status: 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for i, respond := range test.behaviours {
				backends = append(backends, startBackend(t, fmt.Sprint("b", i), respond))
			}
			g := startGateway(t, &fakeEngines{}, backends...)
			response, content, err := g.send(t, test.method, test.path, test.body, test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, content)
			runs := 0
			for _, b := range backends {
				runs += b.runCount()
			}
			assert.Equal(t, runs, test.runs)
			if test.want != "" {
				assert.Equal(t, content, test.want)
			}
			if response.StatusCode == http.StatusServiceUnavailable {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
				assert.Assert(t, strings.Contains(content, `"verdict":"not_run"`), content)
			}
		})
	}
}

// TestConnectionRefused checks that an unsafe request is sent to another upstream
// if a connection was refused, because nothing was sent.
func TestConnectionRefused(t *testing.T) {
	dead := &backend{name: "dead", addr: bench.UnusedAddr()}
	live := startBackend(t, "live", respondOK)
	g := startGateway(t, &fakeEngines{}, dead, live)
	for n := range 5 {
		response, _, err := g.send(t, "POST", "/unsafe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200, "request %d", n)
	}
	assert.Equal(t, live.runCount(), 5)
}

// TestBodiesOfResponsesAreBoundedTogether checks that concurrent responses that are still
// being read don't use more memory than all bodies may, and release it.
func TestBodiesOfResponsesAreBoundedTogether(t *testing.T) {
	const (
		concurrent = 6
		size       = 400 << 10
		// maxServed is the number of such bodies for which there is room.
		maxServed = 2
	)
	complete := make(chan struct{})
	large := startBackend(t, "large", func(_ *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "s")
		_, _ = w.Write(make([]byte, size))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-complete:
		case <-r.Context().Done():
		}
	})
	g := startGateway(t, &fakeEngines{}, large)
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for range concurrent {
		group.Go(func() {
			response, content, err := g.send(t, "POST", "/unsafe/x", "", nil)
			switch {
			case !assert.Check(t, err):
			case response.StatusCode == http.StatusOK:
				served.Add(1)
				assert.Check(t, len(content) == size)
			case response.StatusCode == http.StatusBadGateway:
				failed.Add(1)
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := failed.Load(); n < concurrent-maxServed {
			return poll.Continue("%d requests failed", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	close(complete)
	group.Wait()
	assert.Assert(t, served.Load() <= maxServed, "served %d", served.Load())
	response, _, err := g.send(t, "POST", "/unsafe/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestUnreachableUpstreamsAreTriedAgain checks that a request is served if the only
// upstreams of its service accept connections again after some of its time.
func TestUnreachableUpstreamsAreTriedAgain(t *testing.T) {
	for path, method := range map[string]string{"/patient-unsafe/x": "POST", "/patient-safe/x": "GET", "/patient-resumable/x": "POST"} {
		t.Run(path, func(t *testing.T) {
			respond := respondOK
			if path == "/patient-resumable/x" {
				respond = streamEvents(3, true)
			}
			backends, start := []*backend{}, []func(){}
			for i := range 2 {
				b, startListening := restartingBackend(t, fmt.Sprint("b", i), respond)
				backends, start = append(backends, b), append(start, startListening)
			}
			g := startGateway(t, &fakeEngines{}, backends...)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				time.Sleep(700 * time.Millisecond)
				for _, startListening := range start {
					startListening()
				}
			})
			response, content, err := g.send(t, method, path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200, content)
			assert.Equal(t, backends[0].runCount()+backends[1].runCount(), 1)
		})
	}
}

// TestUnreachableUpstreamsAreGivenUp checks that a request whose upstreams can't be
// reached is refused while its caller has time to come back.
func TestUnreachableUpstreamsAreGivenUp(t *testing.T) {
	dead, _ := restartingBackend(t, "dead", respondOK)
	g := startGateway(t, &fakeEngines{}, dead)
	startedAt := time.Now()
	response, content, err := g.send(t, "POST", "/unsafe/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503, content)
	assert.Assert(t, strings.Contains(content, `"verdict":"not_run"`), content)
	assert.Assert(t, time.Since(startedAt) < 300*time.Millisecond, "refused after %v", time.Since(startedAt))
}

// restartingBackend returns a backend that refuses connections until
// startListening is called.
func restartingBackend(t *testing.T, name string, respond behaviour) (b *backend, startListening func()) {
	t.Helper()
	b = &backend{name: name, addr: bench.UnusedAddr()}
	server := httptest.NewUnstartedServer(b.handler(respond))
	t.Cleanup(server.Close)
	return b, func() {
		listener, err := net.Listen("tcp4", b.addr.String())
		if err != nil {
			t.Errorf("listen again: %v", err)
			return
		}
		server.Listener.Close()
		server.Listener = listener
		server.Start()
	}
}

// TestFailingEngineIsEjected checks that an engine which answers every stream with a
// server error soon gets no more streams.
func TestFailingEngineIsEjected(t *testing.T) {
	bad, good := startBackend(t, "bad", respond500), startBackend(t, "good", streamEvents(3, true))
	g := startGateway(t, &fakeEngines{}, bad, good)
	const streams, maxFailed = 40, 3
	for range streams {
		_, _, err := g.send(t, "POST", "/long/x", "", nil)
		assert.NilError(t, err)
	}
	assert.Assert(t, bad.runCount() <= maxFailed, "%d of %d streams failed", bad.runCount(), streams)
	assert.Assert(t, good.runCount() >= streams-maxFailed)
}

// TestStopCutsRequest checks that the log distinguishes a request that the instance
// cut off at the end of its planned stop from one whose caller disconnected.
func TestStopCutsRequest(t *testing.T) {
	for reason, abort := range map[string]bool{"stopping": true, "caller_gone": false} {
		t.Run(reason, func(t *testing.T) {
			b := startBackend(t, "b", hang)
			g := startGateway(t, &fakeEngines{}, b)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				if response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil)); err == nil {
					response.Body.Close()
				}
			})
			for b.runCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			if abort {
				g.gateway.Abort()
			}
			g.server.CloseClientConnections()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if g.logs.contains(`"reason":"` + reason + `"`) {
					return poll.Success()
				}
				return poll.Continue("no request_closed with reason %s", reason)
			}, poll.WithTimeout(10*time.Second))
		})
	}
}

// TestTimeoutDoesNotCountAgainstUpstream checks that an upstream is not ejected
// for exceeding a route's timeout or for callers that disconnect. Otherwise the
// other upstreams would have to carry its load.
func TestTimeoutDoesNotCountAgainstUpstream(t *testing.T) {
	slow := startBackend(t, "slow", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unsafe/slow" {
			hang(b, w, r)
			return
		}
		respondOK(b, w, r)
	})
	other := startBackend(t, "other", respondOK)
	g := startGateway(t, &fakeEngines{}, slow, other)
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			r := g.request(t, "POST", "/unsafe/slow", "", nil)
			if response, err := http.DefaultClient.Do(r); err == nil {
				response.Body.Close()
			}
		})
	}
	group.Wait()
	before := slow.runCount()
	for range 20 {
		_, _, err := g.send(t, "POST", "/unsafe/x", "", nil)
		assert.NilError(t, err)
	}
	assert.Assert(t, slow.runCount() > before, "the slow upstream must still receive requests")
}

// loadRecorder records for which upstreams the gateway reports a load, and how often it
// reports progress.
type loadRecorder struct {
	gateway.Dispatcher
	mu       sync.Mutex
	names    []string
	progress int
	// optionalMoves lets each run move that asks for a better engine.
	optionalMoves atomic.Bool
}

func (r *loadRecorder) HandleReport(name string, _ decide.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, name)
}

func (r *loadRecorder) Progress(id ident.Request, tokens int, pace decide.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress++
	r.Dispatcher.Progress(id, tokens, pace)
}

// TestProgressIsReportedAtTheBeginningOfEachAttempt checks that the scheduler learns that an
// engine has begun to answer also if another one had sent events before.
func TestProgressIsReportedAtTheBeginningOfEachAttempt(t *testing.T) {
	twoMore := func(b *backend, w http.ResponseWriter, r *http.Request) {
		from := -1
		_, _ = fmt.Sscan(r.Header.Get("X-Last"), &from)
		streamEvents(from+2, false)(b, w, r)
	}
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", twoMore), startBackend(t, "b1", twoMore))
	_, content, err := g.send(t, "POST", "/resumable/x", "", nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, strings.Contains(content, "id: 3"), content)
	g.loadRecorder.mu.Lock()
	defer g.loadRecorder.mu.Unlock()
	assert.Equal(t, g.loadRecorder.progress, 2)
}

// TestLoadOfEnginesIsIgnored checks that an engine's request count is not used as
// its load, because it does not include KV cache use.
func TestLoadOfEnginesIsIgnored(t *testing.T) {
	loaded := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "3")
		respondOK(b, w, r)
	}
	tests := map[string]struct {
		path string
		want int
	}{"engine": {"/unsafe/x", 0}, "plain service": {"/plain/x", 1}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", loaded), startBackend(t, "plain", loaded))
			_, _, err := g.send(t, "POST", test.path, "", nil)
			assert.NilError(t, err)
			g.loadRecorder.mu.Lock()
			defer g.loadRecorder.mu.Unlock()
			assert.Equal(t, len(g.loadRecorder.names), test.want)
		})
	}
}

// TestNoRoutingTable checks that a gateway without a routing table refuses requests
// temporarily.
func TestNoRoutingTable(t *testing.T) {
	control := dispatch.New("a", event.NewLog(io.Discard, "x", time.Now))
	g := gateway.New(gateway.Options{Dispatcher: control, Protocol: testProtocol{}, Log: event.NewLog(io.Discard, "x", time.Now), Metrics: telemetry.New(), MaxBodyBytes: 1 << 20})
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest("GET", "/safe/x", nil))
	assert.Equal(t, w.Code, 503)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// TestStreams checks, for streaming routes, the events that the caller receives and
// the number of backends that run the request.
func TestStreams(t *testing.T) {
	events := func(from, to int) string {
		var text strings.Builder
		for id := from; id <= to; id++ {
			fmt.Fprintf(&text, "id: %d\ndata: a1\n\n", id)
		}
		return text.String()
	}
	tests := map[string]struct {
		path       string
		header     map[string]string
		behaviours []behaviour
		want       string
		status     int
		aborted    bool
		runs       int
	}{
		"complete":                       {path: "/long/x", behaviours: []behaviour{streamEvents(4, true)}, want: events(0, 4), status: 200, runs: 1},
		"from the caller's last event":   {path: "/resumable/x", header: map[string]string{"X-Last": "2"}, behaviours: []behaviour{streamEvents(4, true)}, want: events(3, 4), status: 200, runs: 1},
		"failed, not resumable":          {path: "/long/x", behaviours: []behaviour{streamEvents(2, false), streamEvents(2, false)}, want: events(0, 2), status: 200, aborted: true, runs: 1},
		"failed twice, resumable":        {path: "/resumable/x", behaviours: []behaviour{streamEvents(2, false), streamEvents(2, false)}, want: events(0, 2), status: 200, aborted: true, runs: 2},
		"closed before the first event":  {path: "/long/x", behaviours: []behaviour{respondRaw(""), respondRaw("")}, status: 502, runs: 1},
		"not run":                        {path: "/long/x", behaviours: []behaviour{respondNotRun, respondNotRun}, status: 503},
		"refusal of another request":     {path: "/long/x", behaviours: []behaviour{respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1"), respondRefusal("503 Full", "X-Id: another\r\nX-Not-Run: 1")}, status: 502, runs: 1},
		"status 500 instead of a stream": {path: "/long/x", behaviours: []behaviour{respond500, respond500}, status: 500, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for i, respond := range test.behaviours {
				backends = append(backends, startBackend(t, fmt.Sprint("b", i), respond))
			}
			g := startGateway(t, &fakeEngines{}, backends...)
			response, content, err := g.send(t, "POST", test.path, "", test.header)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, err != nil, test.aborted, "%v", err)
			if test.want != "" {
				assert.Equal(t, content, test.want)
			}
			runs := 0
			for _, b := range backends {
				runs += b.runCount()
			}
			assert.Equal(t, runs, test.runs)
		})
	}
}

// TestStreamsWhoseTimeEndsInTheQueue guards against an empty 200 for a stream whose deadline
// passes before an engine has room for it.
func TestStreamsWhoseTimeEndsInTheQueue(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		header map[string]string
	}{
		"caller's deadline":     {"/resumable/x", map[string]string{"X-Wait": "100ms"}},
		"timeout of the route":  {"/hurried-resumable/x", nil},
		"must not be repeated":  {"/long/x", map[string]string{"X-Wait": "100ms"}},
		"less than a tick left": {"/resumable/x", map[string]string{"X-Wait": "5ms"}},
	} {
		t.Run(name, func(t *testing.T) {
			full := startBackend(t, "full", hang)
			g := startGateway(t, &fakeEngines{}, full)
			var group sync.WaitGroup
			defer group.Wait()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range backendSlots {
				group.Go(func() {
					if response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil).WithContext(ctx)); err == nil {
						response.Body.Close()
					}
				})
			}
			for full.runCount() < backendSlots {
				time.Sleep(time.Millisecond)
			}
			response, content, err := g.send(t, "POST", test.path, "", test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, content)
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Assert(t, strings.Contains(content, `"verdict":"not_run"`), content)
			assert.Equal(t, full.runCount(), backendSlots)
		})
	}
}

// TestBodiesThatArriveTooLate guards against a 400 for a proper request whose body is still on
// its way at the deadline: callers don't try again after it.
func TestBodiesThatArriveTooLate(t *testing.T) {
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", respondOK))
	body, writer := io.Pipe()
	defer writer.Close()
	r := g.request(t, "POST", "/unsafe/x", "", map[string]string{"X-Wait": "100ms"})
	r.Body, r.ContentLength = body, 10
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
}

// TestHalfClosedConnections guards against an empty 200 for a caller that closes its half of the
// connection while its request runs: it looks like one that has disconnected.
func TestHalfClosedConnections(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/long/x"} {
		t.Run(path, func(t *testing.T) {
			b := startBackend(t, "b0", hang)
			g := startGateway(t, &fakeEngines{}, b)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(g.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: a1\r\nX-Key: %s\r\nContent-Length: 0\r\n\r\n", path, key)
			assert.NilError(t, err)
			for b.runCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			content, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(content), "")
		})
	}
}

// TestStreamsWithAGapEndAtOnce guards against a stream that hangs until its deadline, because an
// event with a gap before it ends the attempt while many more wait to be read.
func TestStreamsWithAGapEndAtOnce(t *testing.T) {
	gap := func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signed", b.name)
		for _, id := range append([]int{0}, slices.Repeat([]int{5}, 100)...) {
			fmt.Fprintf(w, "id: %d\ndata: a1\n\n", id)
		}
	}
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", gap))
	startedAt := time.Now()
	_, content, err := g.send(t, "POST", "/long/x", "", map[string]string{"X-Wait": "10s"})
	assert.Assert(t, err != nil)
	assert.Equal(t, content, "id: 0\ndata: a1\n\n")
	assert.Assert(t, time.Since(startedAt) < 5*time.Second, "ended after %v", time.Since(startedAt))
}

// TestStreamsWithoutEventsKeepTheirHeader guards against an empty 200 of the gateway's own in
// place of a complete stream that has no event for the caller.
func TestStreamsWithoutEventsKeepTheirHeader(t *testing.T) {
	repeatEvents := func(b *backend, w http.ResponseWriter, r *http.Request) {
		r.Header.Set("X-Last", "-1")
		streamEvents(4, true)(b, w, r)
	}
	breakOff := respondRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n\r\nid: 5")
	tests := map[string]struct {
		path    string
		header  map[string]string
		respond behaviour
		runs    int
	}{
		"taken up after the last event":          {path: "/resumable/x", header: map[string]string{"X-Last": "4"}, respond: streamEvents(4, true), runs: 1},
		"only events that the caller has":        {path: "/resumable/x", header: map[string]string{"X-Last": "4"}, respond: repeatEvents, runs: 1},
		"no events at all":                       {path: "/long/x", respond: streamEvents(-1, true), runs: 1},
		"broken off before, at another upstream": {path: "/resumable/x", header: map[string]string{"X-Last": "4"}, respond: firstThen(breakOff, streamEvents(4, true)), runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for i := range test.runs {
				backends = append(backends, startBackend(t, fmt.Sprint("b", i), test.respond))
			}
			g := startGateway(t, &fakeEngines{}, backends...)
			response, content, err := g.send(t, "POST", test.path, "", test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, content, "")
			assert.Assert(t, response.Header.Get("X-Signed") != "", "%v", response.Header)
			assert.Equal(t, response.Header.Get("Content-Type"), "text/event-stream")
			runs := 0
			for _, b := range backends {
				runs += b.runCount()
			}
			assert.Equal(t, runs, test.runs)
		})
	}
}

// firstThen responds to the first request with first, and to all others with others.
func firstThen(first, others behaviour) behaviour {
	var once sync.Once
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		respond := others
		once.Do(func() { respond = first })
		respond(b, w, r)
	}
}

// TestStreamResumedAtAnotherUpstream checks that a failed resumable stream
// continues on another upstream and delivers each event once.
func TestStreamResumedAtAnotherUpstream(t *testing.T) {
	var once sync.Once
	respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
		last := 5
		complete := true
		once.Do(func() { last, complete = 2, false })
		streamEvents(last, complete)(b, w, r)
	}
	g := startGateway(t, &fakeEngines{}, startBackend(t, "b0", respond), startBackend(t, "b1", respond))
	response, content, err := g.send(t, "POST", "/resumable/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, strings.Count(content, "id: "), 6)
	for id := range 6 {
		assert.Equal(t, strings.Count(content, fmt.Sprintf("id: %d\n", id)), 1, content)
	}
}

// TestRunMovesFromDrainingUpstream checks that a run that must not be repeated
// continues on another upstream from a copy of its KV cache.
func TestRunMovesFromDrainingUpstream(t *testing.T) {
	tests := map[string]struct {
		// fullFor is the time for which the other upstream has no room.
		fullFor time.Duration
	}{
		"room at once":    {0},
		"room after 0.4s": {400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { testMove(t, test.fullFor) })
	}
}

// movingRun is a run of six events that stops after three of them until it is moved.
type movingRun struct {
	// stopped is closed when the engine stops the run.
	stopped chan struct{}
	mu      sync.Mutex
	// from contains from which copy and after which event the run was continued.
	from []string
}

func (m *movingRun) respond(b *backend, w http.ResponseWriter, r *http.Request) {
	if handle := r.Header.Get("X-From"); handle != "" {
		m.mu.Lock()
		m.from = append(m.from, handle+" after "+r.Header.Get("X-Last"))
		m.mu.Unlock()
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
	<-m.stopped
	panic(http.ErrAbortHandler)
}

func testMove(t *testing.T, fullFor time.Duration) {
	t.Helper()
	run := &movingRun{stopped: make(chan struct{})}
	e := &fakeEngines{stop: func(string) { close(run.stopped) }}
	b0, b1 := startBackend(t, "b0", run.respond), startBackend(t, "b1", run.respond)
	g := startGateway(t, e, b0, b1)
	response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	leaving := b0
	if b1.runCount() > 0 {
		leaving = b1
	}
	e.mu.Lock()
	e.fullUntil = time.Now().Add(fullFor)
	e.mu.Unlock()
	g.control.UpdateList([]upstream.Item{item(leaving, 10, true)}, history.Position{Revision: 10}, false, upstream.FromList)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	content := line + string(rest)
	for id := range 6 {
		assert.Equal(t, strings.Count(content, fmt.Sprintf("id: %d\n", id)), 1, content)
	}
	assert.DeepEqual(t, run.from, []string{"h1 after 2"})
	assert.DeepEqual(t, e.copies, []string{"a1 false", "a1 true"})
}

// TestShortRunsAreNotMoved checks that a resumable stream that should finish
// before its engine leaves is not copied, because it would delay the copies of
// longer runs.
func TestShortRunsAreNotMoved(t *testing.T) {
	for name, test := range map[string]struct {
		maxOutput string
		copies    int
	}{
		"few tokens left":  {"20", 0},
		"many tokens left": {"2000", 1},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
				b.recordRun(r)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Signed", b.name)
				fmt.Fprint(w, "id: 0\ndata: a1\n\n")
				_ = http.NewResponseController(w).Flush()
				<-release
				fmt.Fprint(w, "id: 1\ndata: a1\n\n")
			}
			e := &fakeEngines{stop: func(string) {}}
			b0, b1 := startBackend(t, "b0", respond), startBackend(t, "b1", respond)
			g := startGateway(t, e, b0, b1)
			response, err := http.DefaultClient.Do(g.request(t, "POST", "/resumable/x", "", map[string]string{"X-Max-Output": test.maxOutput}))
			assert.NilError(t, err)
			defer response.Body.Close()
			leaving := b0
			if b1.runCount() > 0 {
				leaving = b1
			}
			g.control.UpdateList([]upstream.Item{item(leaving, 10, true)}, history.Position{Revision: 10}, false, upstream.FromList)
			time.Sleep(200 * time.Millisecond)
			close(release)
			content, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(content), "id: "), 2, string(content))
			e.mu.Lock()
			defer e.mu.Unlock()
			assert.Assert(t, len(e.copies) >= test.copies && (test.copies > 0 || len(e.copies) == 0), "%v", e.copies)
		})
	}
}

// TestDestinationRefusesRun checks that a run whose destination refuses it
// continues on the engine that stopped it, which keeps its KV cache.
func TestDestinationRefusesRun(t *testing.T) {
	stopped := make(chan struct{})
	var mu sync.Mutex
	sourceName := ""
	respond := func(b *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		first := sourceName == ""
		if first {
			sourceName = b.name
		}
		source := sourceName == b.name
		mu.Unlock()
		switch {
		case first:
			b.recordRun(r)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Signed", b.name)
			fmt.Fprint(w, "id: 0\ndata: a1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-stopped
			panic(http.ErrAbortHandler)
		case source:
			streamEvents(3, true)(b, w, r)
		default:
			respondNotRun(b, w, r)
		}
	}
	b0, b1 := startBackend(t, "b0", respond), startBackend(t, "b1", respond)
	g := startGateway(t, &fakeEngines{stop: func(string) { close(stopped) }}, b0, b1)
	response, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	leaving := b0
	if b1.runCount() > 0 {
		leaving = b1
	}
	g.control.UpdateList([]upstream.Item{item(leaving, 10, true)}, history.Position{Revision: 10}, false, upstream.FromList)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(content), "id: "), 4, string(content))
}

// TestCallerDisconnects checks that the request to the upstream is cancelled when
// the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	b := startBackend(t, "b0", func(b *backend, _ http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		<-r.Context().Done()
		close(ended)
	})
	g := startGateway(t, &fakeEngines{}, b)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for b.runCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	_, err := http.DefaultClient.Do(g.request(t, "POST", "/long/x", "", nil).WithContext(ctx))
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the request to the upstream must be cancelled")
	}
}
