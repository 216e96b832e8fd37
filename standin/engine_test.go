package standin_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/ident"
	"mangoloft/standin"
)

// TestWaitingGenerationSendsHeartbeats checks that the stream of a generation that
// waits for memory while another one runs contains heartbeats.
func TestWaitingGenerationSendsHeartbeats(t *testing.T) {
	settings := smallEngine
	settings.Blocks = 2000
	engine := standin.NewEngine(ident.NewIncarnation(epoch), settings)
	server := httptest.NewServer(engine.Routes())
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { engine.Run(done) })
	t.Cleanup(func() {
		close(done)
		server.CloseClientConnections()
		server.Close()
		group.Wait()
	})
	start := func(body string) *http.Response {
		response, err := http.Post(server.URL+"/generations", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		t.Cleanup(func() { response.Body.Close() })
		return response
	}
	prompt := strings.Repeat("x", 4*4*1990)
	first := start(`{"generation": "a", "max_tokens": 1000, "prompt": "` + prompt + ` output_tokens=1000"}`)
	lines := bufio.NewScanner(first.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "data:") {
		continue
	}
	second := start(`{"generation": "b", "max_tokens": 10, "prompt": "` + prompt + `"}`)
	firstLine := make(chan string, 1)
	group.Go(func() {
		lines := bufio.NewScanner(second.Body)
		lines.Scan()
		firstLine <- lines.Text()
	})
	select {
	case line := <-firstLine:
		assert.Equal(t, line, ": heartbeat")
	case <-time.After(20 * time.Second):
		t.Fatal("a line must be received within 20 s")
	}
}
