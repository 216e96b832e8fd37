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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/gateway"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/telemetry"
	"mangoloft/upstream"
)

// protocol uses headers of its own, so that the gateway is tested without any
// platform's names.
type protocol struct{}

func (protocol) Ask(h http.Header, received time.Time) (gateway.Ask, error) {
	ask := gateway.Ask{ID: h.Get("X-Id"), Credential: h.Get("X-Key"), PromptTokens: 10, MaxOutputTokens: 100, LastEvent: h.Get("X-Last")}
	if most, err := strconv.Atoi(h.Get("X-Most")); err == nil {
		ask.MaxOutputTokens = most
	}
	if d, err := time.ParseDuration(h.Get("X-Wait")); err == nil {
		ask.Deadline = received.Add(d)
	}
	return ask, nil
}

func (protocol) UpstreamHeader(caller http.Header, o gateway.Order, _ time.Time) http.Header {
	h := http.Header{"X-Id": caller["X-Id"], "X-Instance": {o.Instance}, "X-Team": {o.Team}, "X-Last": {o.LastEvent}}
	if o.From != (gateway.Handle{}) {
		h.Set("X-From", o.From.Name)
	}
	return h
}

func (protocol) Answer(status int, h http.Header) gateway.Answer {
	a := gateway.Answer{ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	if h.Get("X-Load") != "" {
		a.Load = &gateway.Load{Running: 3, Slots: 8}
	}
	return a
}

func (protocol) CallerHeader(h http.Header) http.Header {
	return http.Header{"X-Signed": h["X-Signed"], "Content-Type": h["Content-Type"]}
}

type announcer struct{}

func (announcer) Notice(decide.Notice)                {}
func (announcer) Leaving(string, int64, time.Time)    {}
func (announcer) ListChanged([]upstream.Item, uint64) {}
func (announcer) TableChanged()                       {}

// engines copies runs as the test says.
type engines struct {
	mu     sync.Mutex
	copies []string
	// stop is called when a run is to stop at its engine.
	stop func(run string)
}

func (e *engines) Report(context.Context, netip.AddrPort) (upstream.Report, error) {
	return upstream.Report{Draining: true, LeavesAt: time.Now().Add(time.Minute)}, nil
}

func (e *engines) Copy(_ context.Context, from netip.AddrPort, run string, _ netip.AddrPort, stop bool) (gateway.Copy, error) {
	e.mu.Lock()
	e.copies = append(e.copies, fmt.Sprint(run, " ", stop))
	e.mu.Unlock()
	if stop {
		e.stop(run)
	}
	return gateway.Copy{Handle: gateway.Handle{Addr: from, Name: "h1"}}, nil
}

func (e *engines) Discard(context.Context, gateway.Handle) error { return nil }

// backend is an upstream stand-in: a handler that counts what runs.
type backend struct {
	name string
	addr netip.AddrPort

	mu   sync.Mutex
	runs []string
}

func (b *backend) ran() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

type behaviour func(b *backend, w http.ResponseWriter, r *http.Request)

func startBackend(t *testing.T, name string, do behaviour) *backend {
	t.Helper()
	b := &backend{name: name}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		do(b, w, r)
	}))
	t.Cleanup(server.Close)
	b.addr = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return b
}

func (b *backend) run(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r.Header.Get("X-Id"))
}

// The behaviours of a backend.
func answers(b *backend, w http.ResponseWriter, r *http.Request) {
	b.run(r)
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Signed", b.name)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func fails(b *backend, w http.ResponseWriter, r *http.Request) {
	b.run(r)
	w.Header().Set("X-Signed", b.name)
	w.WriteHeader(http.StatusInternalServerError)
}

func sheds(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func isAnother(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func unsigned(b *backend, _ http.ResponseWriter, r *http.Request) { b.run(r) }

func crossed(b *backend, w http.ResponseWriter, r *http.Request) {
	b.run(r)
	w.Header().Set("X-Signed", b.name)
	w.Header().Set("X-Id", "another")
}

// raw writes bytes to the connection and closes it.
func raw(text string) behaviour {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.run(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get("X-Id"))))
		conn.Close()
	}
}

func hangs(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.run(r)
	<-r.Context().Done()
}

// streams sends events from the one after X-Last up to last, and then ends the
// stream, or breaks it off.
func streams(last int, whole bool) behaviour {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.run(r)
		from := -1
		_, _ = fmt.Sscan(r.Header.Get("X-Last"), &from)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signed", b.name)
		for id := from + 1; id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.Header.Get("X-Id"))
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			fmt.Fprint(w, "id: 9")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// front is a gateway with its backends.
type front struct {
	url     string
	control *dispatch.Controller
	reports *reports
}

const key = "key-1"

func routes() *routing.Table {
	share := []routing.Share{{Service: "pool", Weight: 1}}
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Shares: share, MaxAttempts: attempts, Resumable: resumable,
			Timeout: 500 * time.Millisecond, Target: 200 * time.Millisecond,
		}
	}
	desk := route("desk", routing.Unsafe, 1, false)
	desk.Shares = []routing.Share{{Service: "desk", Weight: 1}}
	long := route("long", routing.Streaming, 1, false)
	long.Timeout = time.Minute
	return routing.New(routing.Table{
		Version: 1, RequiresCredential: true, Limits: routing.Limits{BodyBytes: 64},
		Routes: []routing.Route{
			route("safe", routing.Safe, 2, false), route("unsafe", routing.Unsafe, 1, false),
			route("resumable", routing.Streaming, 2, true), long, desk,
		},
		Services: map[string]*routing.Service{"desk": {Name: "desk"}, "pool": {Name: "pool", Engine: &routing.Engine{Slots: 8, KVCacheTokens: 10000, EventTokens: 1, SupportsMove: true}}},
	}, []routing.Team{{Name: "reef"}}, map[string][]string{"reef": {key}})
}

// serviceOf returns the pool, but for a backend that is named for a service.
func serviceOf(b *backend) string {
	if b.name == "desk" {
		return b.name
	}
	return "pool"
}

func item(b *backend, revision uint64, draining bool) upstream.Item {
	return upstream.Item{ID: b.name, Revision: revision, Raw: []byte("x"), Entry: &upstream.Entry{
		ID: b.name, Service: serviceOf(b), Addr: b.addr, DataCentre: "a", Slots: 8, StartUnixMS: 1, Draining: draining,
	}}
}

func startFront(t *testing.T, e gateway.Engines, backends ...*backend) *front {
	t.Helper()
	log := event.NewLog(&bytes.Buffer{}, "front", time.Now)
	control := dispatch.New("a", log)
	control.SetAnnouncer(announcer{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = control.Run(ctx) })
	control.TableRead(routing.Document{Table: routes()}, "test")
	var items []upstream.Item
	for i, b := range backends {
		items = append(items, item(b, uint64(i+1), false))
	}
	control.ListRead(items, uint64(len(items)), true, upstream.FromList)
	home := ident.Home{Peer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	told := &reports{Dispatcher: control}
	server := httptest.NewServer(gateway.New(gateway.Options{
		Home: home, Dispatcher: told, Protocol: protocol{}, Engines: e, Log: log, Metrics: telemetry.New(), MaxBodies: 1 << 20,
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		group.Wait()
		log.Close(time.Now().Add(time.Second))
	})
	f := &front{url: server.URL, control: control, reports: told}
	for control.Snapshot().ListRevision == 0 && len(backends) > 0 {
		time.Sleep(time.Millisecond)
	}
	return f
}

func (f *front) request(t *testing.T, method, path, body string, header map[string]string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("X-Id", "a1")
	r.Header.Set("X-Key", key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

func (f *front) do(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	response, err := http.DefaultClient.Do(f.request(t, method, path, body, header))
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func TestPlain(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		behaviours         []behaviour
		status             int
		want               string
		// runs is how many backends may have run the request.
		runs int
	}{
		"an answer":                       {method: "POST", path: "/unsafe/x?q=%20a", body: "hi", behaviours: []behaviour{answers}, status: 200, want: "POST /unsafe/x?q=%20a hi", runs: 1},
		"a path kept as it is":            {method: "GET", path: "/safe/%41/..%2f;x", behaviours: []behaviour{answers}, status: 200, want: "GET /safe/%41/..%2f;x ", runs: 1},
		"an unsafe failure is passed on":  {method: "POST", path: "/unsafe/x", behaviours: []behaviour{fails, fails}, status: 500, runs: 1},
		"a safe failure is tried again":   {method: "GET", path: "/safe/x", behaviours: []behaviour{fails, fails}, status: 500, runs: 2},
		"an unsafe one that was shed":     {method: "POST", path: "/unsafe/x", behaviours: []behaviour{sheds, sheds}, status: 503},
		"an unsafe one shed elsewhere":    {method: "POST", path: "/unsafe/x", behaviours: []behaviour{isAnother, isAnother}, status: 503},
		"an unsafe one without signature": {method: "POST", path: "/unsafe/x", behaviours: []behaviour{unsigned, unsigned}, status: 502, runs: 1},
		"an unsafe one, another's answer": {method: "POST", path: "/unsafe/x", behaviours: []behaviour{crossed, crossed}, status: 502, runs: 1},
		"an unsafe one, cut short":        {method: "POST", path: "/unsafe/x", behaviours: []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 9\r\n\r\nab")}, status: 502, runs: 1},
		"an unsafe one, closed":           {method: "POST", path: "/unsafe/x", behaviours: []behaviour{raw(""), raw("")}, status: 502, runs: 1},
		"no answer in the protocol":       {method: "POST", path: "/unsafe/x", behaviours: []behaviour{raw("garbage\r\n\r\n")}, status: 502, runs: 1},
		"an answer and another":           {method: "POST", path: "/unsafe/x", behaviours: []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\n")}, status: 200, want: "ab", runs: 1},
		"an answer that ends by closing":  {method: "POST", path: "/unsafe/x", behaviours: []behaviour{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\n\r\nab")}, status: 200, want: "ab", runs: 1},
		"an unsafe one that hangs":        {method: "POST", path: "/unsafe/x", behaviours: []behaviour{hangs, hangs}, status: 504, runs: 1},
		"a shorter wait than the route's": {method: "POST", path: "/unsafe/x", header: map[string]string{"X-Wait": "100ms"}, behaviours: []behaviour{hangs}, status: 504, runs: 1},
		"no route":                        {method: "GET", path: "/odd/x", behaviours: []behaviour{answers}, status: 404},
		"an unknown key":                  {method: "GET", path: "/safe/x", header: map[string]string{"X-Key": "key-9"}, behaviours: []behaviour{answers}, status: 401},
		"a body over the limit":           {method: "POST", path: "/unsafe/x", body: strings.Repeat("x", 65), behaviours: []behaviour{answers}, status: 413},
		"no upstream":                     {method: "POST", path: "/unsafe/x", status: 503},
		"no id":                           {method: "POST", path: "/unsafe/x", header: map[string]string{"X-Id": ""}, behaviours: []behaviour{answers}, status: 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for i, do := range test.behaviours {
				backends = append(backends, startBackend(t, fmt.Sprint("b", i), do))
			}
			f := startFront(t, &engines{}, backends...)
			response, content, err := f.do(t, test.method, test.path, test.body, test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, content)
			runs := 0
			for _, b := range backends {
				runs += b.ran()
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

// TestRefusedConnection holds that an unsafe request goes elsewhere when
// nothing of it was sent.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := &backend{name: "dead", addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	listener.Close()
	live := startBackend(t, "live", answers)
	f := startFront(t, &engines{}, dead, live)
	for n := range 5 {
		response, _, err := f.do(t, "POST", "/unsafe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200, "request %d", n)
	}
	assert.Equal(t, live.ran(), 5)
}

// TestSlowRouteBlamesNobody holds that an upstream is not left out for being
// slower than a route's time-out, or for callers that hang up: the others would
// have to carry its work.
func TestSlowRouteBlamesNobody(t *testing.T) {
	slow := startBackend(t, "slow", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unsafe/slow" {
			hangs(b, w, r)
			return
		}
		answers(b, w, r)
	})
	other := startBackend(t, "other", answers)
	f := startFront(t, &engines{}, slow, other)
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			r := f.request(t, "POST", "/unsafe/slow", "", nil)
			if response, err := http.DefaultClient.Do(r); err == nil {
				response.Body.Close()
			}
		})
	}
	group.Wait()
	before := slow.ran()
	for range 20 {
		_, _, err := f.do(t, "POST", "/unsafe/x", "", nil)
		assert.NilError(t, err)
	}
	assert.Assert(t, slow.ran() > before, "it gets no work any more")
}

// reports counts the loads that the scheduler is told.
type reports struct {
	gateway.Dispatcher
	mu    sync.Mutex
	names []string
}

func (r *reports) Reported(name string, _ decide.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, name)
}

// TestLoadsOfEnginesAreNotTaken holds that an engine's count of requests is not
// taken for its load: it says nothing of memory.
func TestLoadsOfEnginesAreNotTaken(t *testing.T) {
	loaded := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "3")
		answers(b, w, r)
	}
	tests := map[string]struct {
		path string
		want int
	}{"an engine": {"/unsafe/x", 0}, "a plain service": {"/desk/x", 1}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, &engines{}, startBackend(t, "b0", loaded), startBackend(t, "desk", loaded))
			_, _, err := f.do(t, "POST", test.path, "", nil)
			assert.NilError(t, err)
			f.reports.mu.Lock()
			defer f.reports.mu.Unlock()
			assert.Equal(t, len(f.reports.names), test.want)
		})
	}
}

func TestNoTableYet(t *testing.T) {
	control := dispatch.New("a", event.NewLog(io.Discard, "x", time.Now))
	g := gateway.New(gateway.Options{Dispatcher: control, Protocol: protocol{}, Log: event.NewLog(io.Discard, "x", time.Now), Metrics: telemetry.New(), MaxBodies: 1 << 20})
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest("GET", "/safe/x", nil))
	assert.Equal(t, w.Code, 503)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

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
		broken     bool
		runs       int
	}{
		"whole":                           {path: "/long/x", behaviours: []behaviour{streams(4, true)}, want: events(0, 4), status: 200, runs: 1},
		"from the caller's last event":    {path: "/resumable/x", header: map[string]string{"X-Last": "2"}, behaviours: []behaviour{streams(4, true)}, want: events(3, 4), status: 200, runs: 1},
		"broken, not resumable":           {path: "/long/x", behaviours: []behaviour{streams(2, false), streams(2, false)}, want: events(0, 2), status: 200, broken: true, runs: 1},
		"broken twice, resumable":         {path: "/resumable/x", behaviours: []behaviour{streams(2, false), streams(2, false)}, want: events(0, 2), status: 200, broken: true, runs: 2},
		"closed before the first event":   {path: "/long/x", behaviours: []behaviour{raw(""), raw("")}, status: 502, runs: 1},
		"shed":                            {path: "/long/x", behaviours: []behaviour{sheds, sheds}, status: 503},
		"a failure instead of the stream": {path: "/long/x", behaviours: []behaviour{fails, fails}, status: 500, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for i, do := range test.behaviours {
				backends = append(backends, startBackend(t, fmt.Sprint("b", i), do))
			}
			f := startFront(t, &engines{}, backends...)
			response, content, err := f.do(t, "POST", test.path, "", test.header)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, err != nil, test.broken, "%v", err)
			if test.want != "" {
				assert.Equal(t, content, test.want)
			}
			runs := 0
			for _, b := range backends {
				runs += b.ran()
			}
			assert.Equal(t, runs, test.runs)
		})
	}
}

// TestResumedElsewhere holds that a broken resumable stream goes on at another
// upstream, each event once.
func TestResumedElsewhere(t *testing.T) {
	var once sync.Once
	first := func(b *backend, w http.ResponseWriter, r *http.Request) {
		last := 5
		whole := true
		once.Do(func() { last, whole = 2, false })
		streams(last, whole)(b, w, r)
	}
	f := startFront(t, &engines{}, startBackend(t, "b0", first), startBackend(t, "b1", first))
	response, content, err := f.do(t, "POST", "/resumable/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, strings.Count(content, "id: "), 6)
	for id := range 6 {
		assert.Equal(t, strings.Count(content, fmt.Sprintf("id: %d\n", id)), 1, content)
	}
}

// TestRunMovesFromLeavingUpstream holds that a run which may not be repeated
// goes on at another upstream from a copy of its memory.
func TestRunMovesFromLeavingUpstream(t *testing.T) {
	stopped := make(chan struct{})
	var mu sync.Mutex
	var from []string
	do := func(b *backend, w http.ResponseWriter, r *http.Request) {
		if handle := r.Header.Get("X-From"); handle != "" {
			mu.Lock()
			from = append(from, handle+" after "+r.Header.Get("X-Last"))
			mu.Unlock()
			streams(5, true)(b, w, r)
			return
		}
		b.run(r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signed", b.name)
		for id := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: a1\n\n", id)
			_ = http.NewResponseController(w).Flush()
		}
		<-stopped
		panic(http.ErrAbortHandler)
	}
	e := &engines{stop: func(string) { close(stopped) }}
	b0, b1 := startBackend(t, "b0", do), startBackend(t, "b1", do)
	f := startFront(t, e, b0, b1)
	response, err := http.DefaultClient.Do(f.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	leaving := b0
	if b1.ran() > 0 {
		leaving = b1
	}
	f.control.ListRead([]upstream.Item{item(leaving, 10, true)}, 10, false, upstream.FromList)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	content := line + string(rest)
	for id := range 6 {
		assert.Equal(t, strings.Count(content, fmt.Sprintf("id: %d\n", id)), 1, content)
	}
	assert.DeepEqual(t, from, []string{"h1 after 2"})
	assert.DeepEqual(t, e.copies, []string{"a1 false", "a1 true"})
}

// TestShortRunsAreNotMoved holds that a resumable stream which should end before
// its engine is gone takes no part in the copies of those that should not.
func TestShortRunsAreNotMoved(t *testing.T) {
	for name, test := range map[string]struct {
		most   string
		copies int
	}{
		"little left": {"20", 0},
		"much left":   {"2000", 1},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			do := func(b *backend, w http.ResponseWriter, r *http.Request) {
				b.run(r)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Signed", b.name)
				fmt.Fprint(w, "id: 0\ndata: a1\n\n")
				_ = http.NewResponseController(w).Flush()
				<-release
				fmt.Fprint(w, "id: 1\ndata: a1\n\n")
			}
			e := &engines{stop: func(string) {}}
			b0, b1 := startBackend(t, "b0", do), startBackend(t, "b1", do)
			f := startFront(t, e, b0, b1)
			response, err := http.DefaultClient.Do(f.request(t, "POST", "/resumable/x", "", map[string]string{"X-Most": test.most}))
			assert.NilError(t, err)
			defer response.Body.Close()
			leaving := b0
			if b1.ran() > 0 {
				leaving = b1
			}
			f.control.ListRead([]upstream.Item{item(leaving, 10, true)}, 10, false, upstream.FromList)
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

// TestRefusedDestination holds that a run whose destination refuses it goes on
// at the engine that stopped it, which keeps its memory.
func TestRefusedDestination(t *testing.T) {
	stopped := make(chan struct{})
	var mu sync.Mutex
	began := ""
	do := func(b *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		first := began == ""
		if first {
			began = b.name
		}
		source := began == b.name
		mu.Unlock()
		switch {
		case first:
			b.run(r)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Signed", b.name)
			fmt.Fprint(w, "id: 0\ndata: a1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-stopped
			panic(http.ErrAbortHandler)
		case source:
			streams(3, true)(b, w, r)
		default:
			sheds(b, w, r)
		}
	}
	b0, b1 := startBackend(t, "b0", do), startBackend(t, "b1", do)
	f := startFront(t, &engines{stop: func(string) { close(stopped) }}, b0, b1)
	response, err := http.DefaultClient.Do(f.request(t, "POST", "/long/x", "", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	leaving := b0
	if b1.ran() > 0 {
		leaving = b1
	}
	f.control.ListRead([]upstream.Item{item(leaving, 10, true)}, 10, false, upstream.FromList)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(content), "id: "), 4, string(content))
}

// TestCallerHangsUp holds that the upstream is let go of.
func TestCallerHangsUp(t *testing.T) {
	ended := make(chan struct{})
	b := startBackend(t, "b0", func(b *backend, _ http.ResponseWriter, r *http.Request) {
		b.run(r)
		<-r.Context().Done()
		close(ended)
	})
	f := startFront(t, &engines{}, b)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for b.ran() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	_, err := http.DefaultClient.Do(f.request(t, "POST", "/long/x", "", nil).WithContext(ctx))
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream still works")
	}
}
