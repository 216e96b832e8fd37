package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/catalog"
	"mangoloft/gateway"
	"mangoloft/routing"
	"mangoloft/upstream"
)

var compareAddrs = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// world is a store and an upstream for an instance under test.
type world struct {
	mu      sync.Mutex
	version uint64
	items   []upstream.Item
	changed chan struct{}
	broken  bool
}

func (w *world) publish(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
	close(w.changed)
	w.changed = make(chan struct{})
}

var errBroken = fmt.Errorf("the store is down")

func (w *world) Table(context.Context) ([]byte, uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.broken:
		return nil, 0, errBroken
	case w.version == 0:
		return nil, 0, catalog.ErrNoTable.New("none")
	}
	return fmt.Append(nil, w.version), w.version, nil
}

func (w *world) List(context.Context) ([]upstream.Item, uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.items, 1, nil
}

func (w *world) WatchTable(ctx context.Context, after uint64, until time.Time) ([]byte, uint64, error) {
	w.mu.Lock()
	changed, newer := w.changed, w.version > after
	w.mu.Unlock()
	if newer {
		return w.Table(ctx)
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return w.Table(ctx)
}

func (w *world) WatchList(ctx context.Context, after uint64, until time.Time) ([]upstream.Item, uint64, error) {
	select {
	case <-time.After(time.Until(until)):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// documents reads tables that are their version in digits.
type documents struct{}

func (documents) Table(raw []byte) (*routing.Table, error) {
	var version uint64
	if _, err := fmt.Sscan(string(raw), &version); err != nil {
		return nil, err
	}
	route := routing.Route{Name: "r", Host: "h.example", Prefix: fmt.Sprintf("/v%d/", version), Kind: routing.Unsafe, Shares: []routing.Share{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second}
	return routing.New(routing.Table{Version: version, Routes: []routing.Route{route}, Services: map[string]*routing.Service{"s": {Name: "s"}}, Limits: routing.Limits{BodyBytes: 1 << 20}}, nil, nil), nil
}

func (documents) Entry(string, []byte) (*upstream.Entry, error) { return nil, errBroken }

// headers passes the id on and takes every answer as signed.
type headers struct{}

func (headers) ParseRequest(h http.Header, _ time.Time) (gateway.RequestInfo, error) {
	return gateway.RequestInfo{ID: h.Get("X-Id")}, nil
}

func (headers) UpstreamHeader(h http.Header, _ gateway.AttemptInfo, _ time.Time) http.Header {
	return http.Header{"X-Id": h["X-Id"]}
}

func (headers) ParseResponse(_ int, h http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{ID: h.Get("X-Id"), Signed: true}
}

func (headers) CallerHeader(h http.Header) http.Header { return http.Header{"X-Id": h["X-Id"]} }

// process is an instance that runs.
type process struct {
	settings Settings
	path     string
	logs     *lockedBuffer
	stop     context.CancelFunc
	done     chan error
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.String(), text)
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// start runs an instance in front of the backend.
func start(t *testing.T, w *world, backend http.HandlerFunc) *process {
	t.Helper()
	logs := &lockedBuffer{}
	p := startLogging(t, w, backend, logs)
	p.logs = logs
	return p
}

// startLogging is start with another stream for the log.
func startLogging(t *testing.T, w *world, backend http.HandlerFunc, logs io.Writer) *process {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	w.changed = make(chan struct{})
	w.items = []upstream.Item{{ID: "u1", Revision: 1, Raw: []byte("x"), Entry: &upstream.Entry{
		ID: "u1", Service: "s", Addr: server.Listener.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "a", Slots: 4, Born: 1,
	}}}
	text := sample
	for _, port := range []string{"8740", "8749", "8748", "7200", "9100"} {
		text = strings.Replace(text, "10.1.0.19:"+port, freeAddr(t).String(), 1)
	}
	text = strings.Replace(text, `"grace_seconds": 8`, `"grace_seconds": 5`, 1)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, path: path, stop: cancel, done: make(chan error, 1)}
	var group sync.WaitGroup
	group.Go(func() {
		p.done <- Run(ctx, path, nil, Dependencies{
			Store: func(func() netip.AddrPort) catalog.Store { return w }, Protocol: headers{}, Decoder: documents{},
		}, logs)
	})
	t.Cleanup(func() { cancel(); group.Wait() })
	return p
}

func get(t *testing.T, addr netip.AddrPort, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+path, nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("X-Id", "a1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func (p *process) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (p *process) ready(t *testing.T) bool {
	status, _ := get(t, p.settings.Listen.Readiness, "/")
	return status == http.StatusOK
}

func echo(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }

// TestLife walks an instance through its life: not ready without a table, ready
// with one, a newer table, an older one that is left out, a reload, and a
// planned stop that ends what is under way.
func TestLife(t *testing.T) {
	w := &world{}
	release := make(chan struct{})
	p := start(t, w, func(out http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		echo(out, r)
	})
	p.waitFor(t, "an answer", func() bool {
		status, _ := get(t, p.settings.Listen.Readiness, "/")
		return status == http.StatusServiceUnavailable
	})
	status, body := get(t, p.settings.Listen.Callers, "/v2/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "not_configured"), body)

	w.publish(2)
	p.waitFor(t, "ready", func() bool { return p.ready(t) })
	status, _ = get(t, p.settings.Listen.Callers, "/v2/x")
	assert.Equal(t, status, http.StatusOK)
	w.publish(5)
	p.waitFor(t, "the newer table", func() bool {
		status, _ := get(t, p.settings.Listen.Callers, "/v5/x")
		return status == http.StatusOK
	})
	w.publish(3)
	time.Sleep(300 * time.Millisecond)
	status, _ = get(t, p.settings.Listen.Callers, "/v5/x")
	assert.Equal(t, status, http.StatusOK, "an older table is left out")
	status, body = get(t, p.settings.Listen.Metrics, "/metrics")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "mangoloft_table_version 5"), body)

	content, err := os.ReadFile(p.path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(p.path, append(content, '\n'), 0o600))
	assert.NilError(t, os.Chtimes(p.path, time.Now(), time.Now().Add(time.Minute)))
	p.waitFor(t, "the reload", func() bool { return p.logs.has(`"settings_reloaded"`) })
	assert.NilError(t, os.WriteFile(p.path, []byte("{"), 0o600))
	assert.NilError(t, os.Chtimes(p.path, time.Now(), time.Now().Add(2*time.Minute)))
	p.waitFor(t, "the refusal", func() bool { return p.logs.has(`"settings_unread"`) })

	slow := make(chan int, 1)
	var group sync.WaitGroup
	group.Go(func() {
		status, _ := get(t, p.settings.Listen.Callers, "/v5/slow")
		slow <- status
	})
	defer group.Wait()
	time.Sleep(50 * time.Millisecond)
	p.stop()
	p.waitFor(t, "not ready", func() bool { return !p.ready(t) })
	status, _ = get(t, p.settings.Listen.Callers, "/v5/x")
	assert.Equal(t, status, http.StatusOK, "the balancer has not noticed yet")
	close(release)
	assert.Equal(t, <-slow, http.StatusOK)
	select {
	case err := <-p.done:
		assert.NilError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("it does not stop")
	}
	assert.Assert(t, p.logs.has(`"instance_stopped"`))
}

// stuck is a stream whose reader has stopped reading.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// TestStoppedLogReader plays a burst of calls while nobody reads the log: each is
// answered as fast as with a reader, and the lines that had no room are counted.
func TestStoppedLogReader(t *testing.T) {
	w := &world{version: 2}
	logs := stuck{make(chan struct{})}
	defer close(logs.released)
	p := startLogging(t, w, echo, logs)
	p.waitFor(t, "ready", func() bool { return p.ready(t) })
	const calls, workers, limit = 500, 16, time.Second
	var group sync.WaitGroup
	slowest, failed := make([]time.Duration, workers), make([]string, workers)
	for worker := range workers {
		group.Go(func() {
			for range calls {
				began := time.Now()
				if status, body := get(t, p.settings.Listen.Callers, "/v2/x"); status != http.StatusOK {
					failed[worker] = body
				}
				slowest[worker] = max(slowest[worker], time.Since(began))
			}
		})
	}
	group.Wait()
	assert.DeepEqual(t, failed, make([]string, workers))
	assert.Assert(t, slices.Max(slowest) < limit, "one took %v", slices.Max(slowest))
	_, body := get(t, p.settings.Listen.Metrics, "/metrics")
	dropped := regexp.MustCompile(`(?m)^mangoloft_log_lines_dropped\S* ([0-9.e+]+)$`).FindStringSubmatch(body)
	assert.Assert(t, dropped != nil && dropped[1] != "0", "%v in %s", dropped, body)
}
