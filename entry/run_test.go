package entry

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

	"mangoloft/bench"
	"mangoloft/catalog"
	"mangoloft/gateway"
	"mangoloft/history"
	"mangoloft/routing"
	"mangoloft/upstream"
)

var compareAddrs = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// fakeStore is the store of an instance under test. Its list contains the
// backend.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	items   []upstream.Item
	changed chan struct{}
	down    bool
}

func (s *fakeStore) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

var errFake = fmt.Errorf("fake error")

func (s *fakeStore) Table(context.Context) ([]byte, history.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, history.Position{}, errFake
	case s.version == 0:
		return nil, history.Position{}, catalog.ErrNoTable.New("none")
	}
	return fmt.Append(nil, s.version), history.Position{Revision: s.version}, nil
}

func (s *fakeStore) List(context.Context) ([]upstream.Item, history.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items, history.Position{Revision: 1}, nil
}

func (s *fakeStore) WatchTable(ctx context.Context, after history.Position, deadline time.Time) ([]byte, history.Position, error) {
	s.mu.Lock()
	changed, newer := s.changed, s.version > after.Revision
	s.mu.Unlock()
	if newer {
		return s.Table(ctx)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
		return nil, after, nil
	case <-ctx.Done():
		return nil, history.Position{}, ctx.Err()
	}
	return s.Table(ctx)
}

func (s *fakeStore) Published(ctx context.Context) (p catalog.Published, at history.Position, err error) {
	p.Table, at, err = s.Table(ctx)
	return p, at, err
}

func (s *fakeStore) WatchPublished(ctx context.Context, after history.Position, deadline time.Time) (p catalog.Published, at history.Position, err error) {
	p.Table, at, err = s.WatchTable(ctx, after, deadline)
	return p, at, err
}

func (s *fakeStore) WatchList(ctx context.Context, after history.Position, deadline time.Time) ([]upstream.Item, history.Position, error) {
	select {
	case <-time.After(time.Until(deadline)):
		return nil, after, nil
	case <-ctx.Done():
		return nil, history.Position{}, ctx.Err()
	}
}

// fakeDecoder decodes tables that consist of their version in digits.
type fakeDecoder struct{}

func (fakeDecoder) Table(raw []byte) (*routing.Table, error) {
	var version uint64
	if _, err := fmt.Sscan(string(raw), &version); err != nil {
		return nil, err
	}
	route := routing.Route{Name: "r", Host: "h.example", Prefix: fmt.Sprintf("/v%d/", version), Kind: routing.Unsafe, Shares: []routing.Share{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second}
	return routing.New(routing.Table{Version: version, Routes: []routing.Route{route}, Services: map[string]*routing.Service{"s": {Name: "s"}}, Limits: routing.Limits{BodyBytes: 1 << 20}}, nil, nil), nil
}

func (fakeDecoder) Entry(string, []byte) (*upstream.Entry, error) { return nil, errFake }

// fakeProtocol forwards the request ID and treats every response as signed.
type fakeProtocol struct{}

func (fakeProtocol) ParseRequest(h http.Header, _ time.Time) (gateway.RequestInfo, error) {
	return gateway.RequestInfo{ID: h.Get("X-Id")}, nil
}

func (fakeProtocol) UpstreamHeader(h http.Header, _ gateway.AttemptInfo, _ time.Time) http.Header {
	return http.Header{"X-Id": h["X-Id"]}
}

func (fakeProtocol) MemberHeader(http.Header, gateway.AttemptInfo, time.Time) http.Header {
	return http.Header{}
}

func (fakeProtocol) ParseResponse(_ int, h http.Header, _ time.Time) gateway.ResponseInfo {
	return gateway.ResponseInfo{ID: h.Get("X-Id"), Signed: true}
}

func (fakeProtocol) CallerHeader(h http.Header) http.Header { return http.Header{"X-Id": h["X-Id"]} }

// testInstance is a running instance.
type testInstance struct {
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

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.String(), text)
}

// startInstance runs an instance in front of the backend.
func startInstance(t *testing.T, store *fakeStore, backend http.HandlerFunc) *testInstance {
	t.Helper()
	logs := &lockedBuffer{}
	p := startInstanceWithLog(t, store, backend, logs)
	p.logs = logs
	return p
}

// startInstanceWithLog is like startInstance but writes the log to logs.
func startInstanceWithLog(t *testing.T, store *fakeStore, backend http.HandlerFunc, logs io.Writer) *testInstance {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	store.changed = make(chan struct{})
	store.items = []upstream.Item{{ID: "u1", Revision: 1, Raw: []byte("x"), Entry: &upstream.Entry{
		ID: "u1", Service: "s", Addr: server.Listener.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "a", Slots: 4, StartUnixMS: 1,
	}}}
	content := sampleSettings
	for _, port := range []string{"8740", "8749", "8748", "7200", "9100"} {
		content = strings.Replace(content, "10.1.0.19:"+port, bench.UnusedAddr().String(), 1)
	}
	content = strings.Replace(content, `"grace_seconds": 8`, `"grace_seconds": 5`, 1)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &testInstance{settings: s, path: path, stop: cancel, done: make(chan error, 1)}
	var group sync.WaitGroup
	group.Go(func() {
		p.done <- Run(ctx, path, nil, Dependencies{
			Store: func(func() netip.AddrPort) catalog.Store { return store }, Protocol: fakeProtocol{}, Decoder: fakeDecoder{},
		}, logs)
	})
	t.Cleanup(func() { cancel(); group.Wait() })
	return p
}

// send sends a request and returns the status and body of the response, or 0 and
// the error.
func send(t *testing.T, addr netip.AddrPort, path string) (int, string) {
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

// waitFor waits until ok returns true.
func (p *testInstance) waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (p *testInstance) ready(t *testing.T) bool {
	status, _ := send(t, p.settings.Listen.Readiness, "/")
	return status == http.StatusOK
}

func echoID(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }

// TestLifecycle checks that an instance is not ready without a table and ready
// with one, applies a newer table, ignores an older one, reloads its settings,
// rejects a malformed settings file, and, during a planned stop, still serves new
// requests and completes those in progress.
func TestLifecycle(t *testing.T) {
	store := &fakeStore{}
	release := make(chan struct{})
	p := startInstance(t, store, func(out http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		echoID(out, r)
	})
	p.waitFor(t, "the readiness check", func() bool {
		status, _ := send(t, p.settings.Listen.Readiness, "/")
		return status == http.StatusServiceUnavailable
	})
	status, body := send(t, p.settings.Listen.Callers, "/v2/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "not_configured"), body)

	store.publish(2)
	p.waitFor(t, "the instance to be ready", func() bool { return p.ready(t) })
	status, _ = send(t, p.settings.Listen.Callers, "/v2/x")
	assert.Equal(t, status, http.StatusOK)
	store.publish(5)
	p.waitFor(t, "the newer table", func() bool {
		status, _ := send(t, p.settings.Listen.Callers, "/v5/x")
		return status == http.StatusOK
	})
	store.publish(3)
	time.Sleep(300 * time.Millisecond)
	status, _ = send(t, p.settings.Listen.Callers, "/v5/x")
	assert.Equal(t, status, http.StatusOK, "an older table must be ignored")
	status, body = send(t, p.settings.Listen.Metrics, "/metrics")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "mangoloft_table_version 5"), body)

	content, err := os.ReadFile(p.path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(p.path, append(content, '\n'), 0o600))
	assert.NilError(t, os.Chtimes(p.path, time.Now(), time.Now().Add(time.Minute)))
	p.waitFor(t, "the reload", func() bool { return p.logs.contains(`"settings_reloaded"`) })
	assert.NilError(t, os.WriteFile(p.path, []byte("{"), 0o600))
	assert.NilError(t, os.Chtimes(p.path, time.Now(), time.Now().Add(2*time.Minute)))
	p.waitFor(t, "the rejected reload", func() bool { return p.logs.contains(`"settings_unread"`) })

	slow := make(chan int, 1)
	var group sync.WaitGroup
	group.Go(func() {
		status, _ := send(t, p.settings.Listen.Callers, "/v5/slow")
		slow <- status
	})
	defer group.Wait()
	time.Sleep(50 * time.Millisecond)
	p.stop()
	p.waitFor(t, "the instance to be not ready", func() bool { return !p.ready(t) })
	status, _ = send(t, p.settings.Listen.Callers, "/v5/x")
	assert.Equal(t, status, http.StatusOK, "requests that the load balancer still sends must be served")
	close(release)
	assert.Equal(t, <-slow, http.StatusOK)
	select {
	case err := <-p.done:
		assert.NilError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the instance must stop")
	}
	assert.Assert(t, p.logs.contains(`"instance_stopped"`))
}

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// TestBlockedLogReader checks that requests are not delayed if the log's output is
// blocked, and that the log lines that don't fit into the buffer are counted.
func TestBlockedLogReader(t *testing.T) {
	store := &fakeStore{version: 2}
	logs := blockedWriter{make(chan struct{})}
	defer close(logs.released)
	p := startInstanceWithLog(t, store, echoID, logs)
	p.waitFor(t, "the instance to be ready", func() bool { return p.ready(t) })
	const calls, workers, limit = 500, 16, time.Second
	var group sync.WaitGroup
	slowest, failed := make([]time.Duration, workers), make([]string, workers)
	for worker := range workers {
		group.Go(func() {
			for range calls {
				startedAt := time.Now()
				if status, body := send(t, p.settings.Listen.Callers, "/v2/x"); status != http.StatusOK {
					failed[worker] = body
				}
				slowest[worker] = max(slowest[worker], time.Since(startedAt))
			}
		})
	}
	group.Wait()
	assert.DeepEqual(t, failed, make([]string, workers))
	assert.Assert(t, slices.Max(slowest) < limit, "the slowest request took %v, which exceeds the limit", slices.Max(slowest))
	_, body := send(t, p.settings.Listen.Metrics, "/metrics")
	dropped := regexp.MustCompile(`(?m)^mangoloft_log_lines_dropped\S* ([0-9.e+]+)$`).FindStringSubmatch(body)
	assert.Assert(t, dropped != nil && dropped[1] != "0", "dropped log lines: got %v, want more than 0 in %s", dropped, body)
}

// TestOptionsOfTheServer guards against an empty 200 of the HTTP server's own for OPTIONS *, which
// concerns no route.
func TestOptionsOfTheServer(t *testing.T) {
	p := startInstance(t, &fakeStore{version: 2}, echoID)
	p.waitFor(t, "the instance to be ready", func() bool { return p.ready(t) })
	conn, err := net.Dial("tcp4", p.settings.Listen.Callers.String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nX-Id: a1\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}
