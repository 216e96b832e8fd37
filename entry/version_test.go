package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

const (
	// excusedStreams is the number of streams that may hold events of two versions, and
	// minResumedShare the share of those that callers take up that must go on, of the share
	// of new ones that begin.
	excusedStreams  = 2
	minResumedShare = 0.5
	versionEvents   = 100
)

// versionFleet is a fleet with engines of several versions.
type versionFleet struct {
	*fleet
	mu      sync.Mutex
	engines map[string][]*standin.Server

	mixed             atomic.Int64
	begun, resumed    share
	completed, broken atomic.Int64
}

// addVersion starts and lists an engine of a version.
func (f *versionFleet) addVersion(t *testing.T, version string) {
	id := fmt.Sprintf("%s-%d", version, f.fleet.engines.Add(1))
	s := &standin.Server{
		ID: id, Service: model, Zone: "a", StartUnixMS: time.Now().UnixMilli(), IsModel: true, Slots: 20, Executions: f.executions, Version: version,
		ServerAt: f.engineAt,
	}
	assert.Check(t, s.Start("127.0.0.1", f.group))
	f.group.Go(func() { <-t.Context().Done(); s.Crash() })
	f.mu.Lock()
	f.engines[version] = append(f.engines[version], s)
	f.mu.Unlock()
	assert.Check(t, f.store.AddEntry(s))
}

// oldest removes and returns the oldest engine of a version.
func (f *versionFleet) oldest(version string) *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.engines[version][0]
	f.engines[version] = f.engines[version][1:]
	return s
}

// replace replaces an engine of a version by another one after it crashed or left.
func (f *versionFleet) replace(t *testing.T, version string, leaves bool) {
	s := f.oldest(version)
	if leaves {
		s.Drain()
		assert.Check(t, f.store.AddEntry(s))
		sleepUntilDone(t, time.Second)
	}
	s.Crash()
	f.store.RemoveEntry(s.ID)
	f.addVersion(t, version)
}

// read sends one attempt of a caller, and adds the versions of the events to those that
// the caller has. It returns the ID of the last event, and whether the stream is complete.
func (f *versionFleet) read(t *testing.T, instance int, r standin.CallerRequest, path string, versions map[string]bool) (last int, began, complete bool) {
	return f.readUntil(t, versionEvents-1, instance, r, path, versions)
}

// readUntil is like read for a caller who loses the stream after an event.
func (f *versionFleet) readUntil(t *testing.T, lastWanted, instance int, r standin.CallerRequest, path string, versions map[string]bool) (last int, began, complete bool) {
	last = r.LastEventID
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/%s/x", f.callers[instance], path), nil)
	assert.Check(t, err)
	request.Host, request.Header = host, r.Header()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return last, false, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return last, false, false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var id, version string
		var run, index, total int
		if n, _ := fmt.Sscanf(strings.ReplaceAll(lines.Text(), "/", " "), "data: %s %d %d %d %s", &id, &run, &index, &total, &version); n == 5 {
			versions[version], last, began = true, index, true
		}
		if last >= lastWanted && lastWanted < versionEvents-1 {
			return last, began, false
		}
	}
	return last, began, lines.Err() == nil && last == versionEvents-1
}

// call reads a stream as a caller does, who takes it up once through another instance.
func (f *versionFleet) call(t *testing.T, i int, path string) {
	versions := map[string]bool{}
	first := standin.CallerRequest{ID: fmt.Sprintf("%x", f.sent.Add(1)), Key: credential, Timeout: 6 * time.Second, PromptTokens: 100, OutputTokens: 4 * versionEvents}
	first.LastEventID = -1
	last, began, complete := f.read(t, i%len(f.callers), first, path, versions)
	f.begun.count(began)
	if began && !complete {
		again := first
		again.ID, again.Resumes, again.LastEventID = fmt.Sprintf("%x", f.sent.Add(1)), first.ID, last
		_, began, complete = f.read(t, (i+1)%len(f.callers), again, path, versions)
		f.resumed.count(began)
	}
	if len(versions) > 1 {
		f.mixed.Add(1)
	}
	if complete {
		f.completed.Add(1)
	} else {
		f.broken.Add(1)
	}
}

func (s *share) count(ok bool) {
	s.sent.Add(1)
	if ok {
		s.begun.Add(1)
	}
}

func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	const (
		interval        = 50 * time.Millisecond
		replaceInterval = 350 * time.Millisecond
		duration        = 12 * time.Second
		perVersion      = 3
	)
	versions := []string{"v1", "v1.1", "v2"}
	tests := map[string]struct {
		path   string
		leaves bool
	}{
		"engine crashes, resumed in one answer": {"several", false},
		"engine crashes, callers resume":        {"one", false},
		"engine leaves, runs are moved":         {"one", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &versionFleet{fleet: startFleet(t, 3), engines: map[string][]*standin.Server{}}
			route := standin.Route{Name: "several", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 1500 * time.Millisecond}
			single := route
			single.Name, single.MaxAttempts = "one", 1
			assert.NilError(t, f.store.Publish(standin.Configuration{
				Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 20, KVCacheTokens: 40_000, Team: "team", Key: credential, Routes: []standin.Route{route, single},
			}))
			for _, version := range versions {
				for range perVersion {
					f.addVersion(t, version)
				}
			}
			time.Sleep(2 * settle)
			var group sync.WaitGroup
			group.Go(func() {
				for i := range int(duration / replaceInterval) {
					sleepUntilDone(t, replaceInterval)
					group.Go(func() { f.replace(t, versions[i%len(versions)], test.leaves) })
				}
			})
			for i := range int(duration / interval) {
				group.Go(func() { f.call(t, i, test.path) })
				time.Sleep(interval)
			}
			group.Wait()
			t.Logf("%d streams complete, %d broken off, %d of two versions; %d of %d began, %d of %d went on", f.completed.Load(), f.broken.Load(), f.mixed.Load(),
				f.begun.begun.Load(), f.begun.sent.Load(), f.resumed.begun.Load(), f.resumed.sent.Load())
			assert.Check(t, f.mixed.Load() <= excusedStreams, "%d streams hold events of two versions", f.mixed.Load())
			if f.resumed.sent.Load() >= 12 {
				assert.Check(t, f.resumed.of() >= minResumedShare*f.begun.of())
			}
		})
	}
}

// engineAt returns the engine at an address, as the destination of a copy; nil if it has
// ended.
func (f *versionFleet) engineAt(addr netip.AddrPort) *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engines := range f.engines {
		for _, s := range engines {
			if s.Addr == addr {
				return s
			}
		}
	}
	return nil
}
