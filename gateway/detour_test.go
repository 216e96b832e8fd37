package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/decide"
)

// members are the other instances that a gateway knows, in the order in which it tries
// them.
type members []netip.AddrPort

func (m members) Detours(string, func(string) bool) []netip.AddrPort { return m }

func (g *testGateway) addr() netip.AddrPort {
	return g.server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestCutOffGatewayTakesDetour checks what callers of a gateway get that can't connect to
// its upstreams, while other gateways have their own ones.
func TestCutOffGatewayTakesDetour(t *testing.T) {
	tests := map[string]struct {
		method, path string
		header       map[string]string
		// upstreams contains, for each other gateway, the behaviour of its upstream; nil if
		// the gateway is cut off too.
		upstreams []behaviour
		status    int
		runs      int
		// cutShort reports whether the response ends before its end.
		cutShort bool
	}{
		"safe":                              {"GET", "/patient-safe/x", nil, []behaviour{respondOK}, 200, 1, false},
		"unsafe":                            {"POST", "/patient-unsafe/x", nil, []behaviour{respondOK}, 200, 1, false},
		"stream":                            {"POST", "/patient-resumable/x", nil, []behaviour{streamEvents(3, true)}, 200, 1, false},
		"stream cut off":                    {"POST", "/long/x", nil, []behaviour{streamEvents(3, false)}, 200, 1, true},
		"first one is cut off too":          {"POST", "/patient-unsafe/x", nil, []behaviour{nil, respondOK}, 200, 1, false},
		"first two are cut off too":         {"GET", "/patient-safe/x", nil, []behaviour{nil, nil, respondOK}, 200, 1, false},
		"all are cut off":                   {"POST", "/unsafe/x", nil, []behaviour{nil, nil}, 503, 0, false},
		"server error":                      {"GET", "/patient-safe/x", nil, []behaviour{respond500, respondOK}, 500, 1, false},
		"stream, server error":              {"POST", "/long/x", nil, []behaviour{respond500, respondOK}, 500, 1, false},
		"unsafe, answer lost":               {"POST", "/patient-unsafe/x", nil, []behaviour{respondRaw(""), respondOK}, 502, 1, false},
		"rejected by upstream":              {"POST", "/patient-unsafe/x", nil, []behaviour{respondNotRun, respondOK}, 200, 1, false},
		"caller sets the header of detours": {"POST", "/patient-unsafe/x", map[string]string{"Mangoloft-Outcome": "not_run x"}, []behaviour{respondOK}, 200, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dead := func(name string) *backend {
				b, _ := restartingBackend(t, name, respondOK)
				return b
			}
			var others members
			var backends []*backend
			for i, respond := range test.upstreams {
				b := dead(fmt.Sprint("d", i))
				if respond != nil {
					b = startBackend(t, fmt.Sprint("b", i), respond)
				}
				backends = append(backends, b)
				others = append(others, startMember(t, &fakeEngines{}, nil, b).addr())
			}
			g := startMember(t, &fakeEngines{}, others, dead("x"), dead("y"))
			response, content, err := g.send(t, test.method, test.path, "", test.header)
			assert.Equal(t, err != nil, test.cutShort, "%v", err)
			assert.Equal(t, response.StatusCode, test.status, content)
			runs := 0
			for _, b := range backends {
				runs += b.runCount()
			}
			assert.Equal(t, runs, test.runs)
			assert.Equal(t, response.Header.Get("Mangoloft-Outcome"), "")
			if test.status == 503 {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
				assert.Assert(t, strings.Contains(content, `"verdict":"not_run"`), content)
			}
		})
	}
}

// TestDetourIsOneHop checks that the request of another gateway is not sent on.
func TestDetourIsOneHop(t *testing.T) {
	b := startBackend(t, "b", respondOK)
	third := startMember(t, &fakeEngines{}, nil, b)
	dead, _ := restartingBackend(t, "d", respondOK)
	second := startMember(t, &fakeEngines{}, members{third.addr()}, dead)
	for range 3 {
		response, content, err := second.send(t, "POST", "/unsafe/x", "", map[string]string{"Mangoloft-Detour": "0"})
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 503, content)
		assert.Assert(t, strings.HasPrefix(response.Header.Get("Mangoloft-Outcome"), "not_run "), "%v", response.Header)
	}
	assert.Equal(t, b.runCount(), 0)
	response, _, err := second.send(t, "POST", "/unsafe/x", "", map[string]string{"Mangoloft-Detour": "-1"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 400)
}

// TestDetourWithoutAttemptsLeft checks that a request that may have run is not run again
// beyond what the route allows.
func TestDetourWithoutAttemptsLeft(t *testing.T) {
	b := startBackend(t, "b", streamEvents(3, true))
	g := startMember(t, &fakeEngines{}, nil, b)
	for path, runs := range map[string]int{"/patient-unsafe/x": 0, "/long/x": 0, "/patient-resumable/x": 1} {
		before := b.runCount()
		response, content, err := g.send(t, "POST", path, "", map[string]string{"Mangoloft-Detour": "1"})
		assert.NilError(t, err)
		assert.Equal(t, b.runCount()-before, runs, path)
		assert.Equal(t, response.StatusCode == 200, runs == 1, "%s: %s", path, content)
	}
}

// TestCallerLeavesDuringDetour checks that the upstream of the other gateway notices that
// the caller has left.
func TestCallerLeavesDuringDetour(t *testing.T) {
	began, left := make(chan struct{}), make(chan struct{})
	b := startBackend(t, "b", func(_ *backend, _ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(left)
	})
	dead, _ := restartingBackend(t, "d", respondOK)
	g := startMember(t, &fakeEngines{}, members{startMember(t, &fakeEngines{}, nil, b).addr()}, dead)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		response, err := http.DefaultClient.Do(g.request(t, "GET", "/patient-safe/x", "", nil).WithContext(ctx))
		if err == nil {
			response.Body.Close()
		}
	})
	<-began
	cancel()
	group.Wait()
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Error("the upstream still works on the request")
	}
}

// TestBrittleUpstreamIsReachedThroughCoordinator checks what callers of a gateway get whose
// upstream is coordinated by another gateway.
func TestBrittleUpstreamIsReachedThroughCoordinator(t *testing.T) {
	tests := map[string]struct {
		method, path string
		header       map[string]string
		respond      behaviour
		// isDead reports whether the coordinator doesn't accept connections.
		isDead bool
		status int
		runs   int
		// admitted is the number of requests that the coordinator placed.
		admitted int
	}{
		"safe":                        {"GET", "/patient-safe/x", nil, respondOK, false, 200, 1, 1},
		"unsafe":                      {"POST", "/patient-unsafe/x", nil, respondOK, false, 200, 1, 1},
		"coordinator is dead":         {"POST", "/patient-unsafe/x", nil, respondOK, true, 200, 1, 0},
		"unsafe, answer lost":         {"POST", "/patient-unsafe/x", nil, respondRaw(""), false, 502, 1, 1},
		"unsafe, rejected":            {"POST", "/patient-unsafe/x", nil, respondNotRun, false, 503, 0, 1},
		"unsafe, server error":        {"POST", "/patient-unsafe/x", nil, respond500, false, 500, 1, 1},
		"stream is sent directly":     {"POST", "/long/x", nil, streamEvents(3, true), false, 200, 1, 0},
		"caller names the upstream":   {"GET", "/patient-safe/x", map[string]string{"Mangoloft-Upstream": "other"}, respondOK, false, 200, 1, 1},
		"caller sets all the headers": {"GET", "/patient-safe/x", map[string]string{"Mangoloft-Upstream": "other", "Mangoloft-Outcome": "not_run x"}, respondOK, false, 200, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, "b", test.respond)
			coordinator := startMember(t, &fakeEngines{}, members{}, b)
			if test.isDead {
				coordinator.server.Close()
			}
			g := startMember(t, &fakeEngines{}, members{}, b)
			for _, member := range []*testGateway{g, coordinator} {
				// Each takes the other for the coordinator.
				other := g
				if member == g {
					other = coordinator
				}
				member.control.HandleBrittle(decide.BrittleNotice{Pool: "pool", MaxRejections: 3, HeardAt: time.Now(), Coordinator: other.addr(), Upstreams: []string{"b"}})
			}
			response, content, err := g.send(t, test.method, test.path, "", test.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, content)
			assert.Equal(t, b.runCount(), test.runs)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := coordinator.logs.count(`"request_placed"`); n != test.admitted {
					return poll.Continue("the coordinator placed %d requests, want %d", n, test.admitted)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
		})
	}
}

// TestRequestIsServedByAnotherCoordinatorIfOneHasNoRoom checks that a request which no
// upstream has received is sent to another one.
func TestRequestIsServedByAnotherCoordinatorIfOneHasNoRoom(t *testing.T) {
	full, free := startBackend(t, "full", respondOK), startBackend(t, "free", respondOK)
	// It doesn't know the upstream, so it has no room there.
	without := startMember(t, &fakeEngines{}, members{}, free)
	with := startMember(t, &fakeEngines{}, members{}, free)
	g := startMember(t, &fakeEngines{}, members{}, full, free)
	for name, coordinator := range map[string]*testGateway{"full": without, "free": with} {
		g.control.HandleBrittle(decide.BrittleNotice{Pool: "pool", MaxRejections: 3, HeardAt: time.Now(), Coordinator: coordinator.addr(), Upstreams: []string{name}})
	}
	for range 8 {
		response, content, err := g.send(t, "POST", "/patient-unsafe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200, content)
	}
	assert.Equal(t, full.runCount(), 0)
	assert.Equal(t, free.runCount(), 8)
}
