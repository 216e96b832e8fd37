package entry_test

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// peakMemoryMB returns the most memory in MiB that a process has used.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the process has ended")
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found, "the process has ended")
	var kb int
	_, err = fmt.Sscan(rest, &kb)
	assert.NilError(t, err)
	return kb >> 10
}

// TestEndlessBodiesLeaveMemory guards against a process that exceeds its memory, and fails the
// callers of other services, while all servers of a service send bodies without end.
func TestEndlessBodiesLeaveMemory(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the memory of a process is read from /proc")
	}
	const (
		servers, bursts, concurrent = 8, 3, 150
		// memoryMB is limits.memory_mb of the instances.
		memoryMB = 120
		success  = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
		stream   = success + "Content-Type: text/event-stream\r\n"
	)
	text := strings.Repeat("x", 0x1000)
	tests := map[string]struct {
		server  *endlessServer
		service string
	}{
		"without a length": {&endlessServer{beginning: success + "\r\n", filler: text}, plain},
		"long length":      {&endlessServer{beginning: success + "Content-Length: 1000000000000000000\r\n\r\n", filler: text}, plain},
		"chunks":           {&endlessServer{beginning: success + "Transfer-Encoding: chunked\r\n\r\n", filler: "1000\r\n" + text + "\r\n"}, plain},
		"held open":        {&endlessServer{beginning: success + "\r\n", filler: text, heldAfter: 3 << 20}, plain},
		"failure":          {&endlessServer{beginning: "HTTP/1.1 500 no\r\nAttempt-Id: ID\r\n\r\n", filler: text}, plain},
		"line of an event": {&endlessServer{beginning: stream + "\r\n", filler: text}, model},
		"event held open":  {&endlessServer{beginning: stream + "\r\n", filler: "data: " + text + "\n", heldAfter: 900 << 10}, model},
		"not a stream":     {&endlessServer{beginning: success + "\r\n", filler: text}, model},
	}
	program := buildEdge(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleetWith(t, fleetOptions{instances: 1, dataCentres: 1, program: program})
			assert.NilError(t, f.store.Publish(standin.Configuration{
				Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 40, KVCacheTokens: 100_000, Team: "team", Key: credential,
				Routes: []standin.Route{
					{Name: "v1", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: sendTimeout, Target: time.Second},
					{Name: "tag", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 1500 * time.Millisecond},
				},
			}))
			// The servers of the other service are sound.
			if test.service == plain {
				f.addEngine(t, "", "")
				f.addEngine(t, "", "")
			} else {
				f.addServer(t, "p0")
				f.addServer(t, "p1")
			}
			for i := range servers {
				f.addEndless(t, fmt.Sprint("x", i), test.service, test.server)
			}
			sendFaulty, sendSound := func() bool { return f.send(t, 0, 1) == http.StatusOK }, func() bool { return f.stream(t, 0, false) }
			if test.service == model {
				sendFaulty, sendSound = sendSound, sendFaulty
			}
			for deadline := time.Now().Add(20 * time.Second); !sendSound() && time.Now().Before(deadline); {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(settle)
			served, sent := countServed(sendSound, func() {
				var group sync.WaitGroup
				for range bursts {
					for range concurrent {
						group.Go(func() { sendFaulty() })
					}
					group.Wait()
				}
			})
			connections, _ := test.server.most()
			peak := peakMemoryMB(t, f.processes[0].Pid)
			t.Logf("peak %d MiB, %d connections to the faulty servers, %d of %d served of the other service", peak, connections, served, sent)
			assert.Check(t, peak <= memoryMB, "peak %d MiB", peak)
			assert.Check(t, connections > 0)
			assert.Equal(t, served, sent)
		})
	}
}

// countServed sends a request now and then while a function runs, and counts those that were
// served.
func countServed(send func() bool, during func()) (served, sent int) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			sent++
			if send() {
				served++
			}
		}
	})
	during()
	close(done)
	group.Wait()
	return served, sent
}
