// Package standin simulates the systems around the entry instances for tests and
// benchmarks: model engines, plain services, the configuration service and the
// instance list.
//
// A generation is the output of one prompt. A reader is a client that receives its
// tokens, normally an entry instance; it can reconnect. An engine or service that is
// leaving accepts no new work. An incarnation is one start of a process.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/ident"
)

const (
	// heartbeatInterval is the maximum time without output on a stream.
	heartbeatInterval = 500 * time.Millisecond
	// finishedRetention is the time for which a finished generation can be read.
	finishedRetention = 30 * time.Second
)

// Engine is a model engine: a Model that is stepped in real time and served over HTTP.
type Engine struct {
	incarnation ident.Incarnation
	blockTokens int

	mu    sync.Mutex
	model *Model
	// readers contains the readers of the generations in the model, by generation id.
	readers map[string]*readers
	leaving bool
	// startRequests counts the requests to start a generation, accepted or refused,
	// and lastStartRequestAt is the time of the latest one.
	startRequests      int
	lastStartRequestAt time.Time
	// reclaimed is closed when the notice period of the engine's reclaim ends.
	reclaimed   chan struct{}
	reclaimOnce sync.Once
	// changed is closed and replaced after every iteration of the model.
	changed chan struct{}
}

// NewEngine returns an idle engine.
func NewEngine(incarnation ident.Incarnation, settings ModelSettings) *Engine {
	return &Engine{
		incarnation: incarnation, blockTokens: settings.BlockTokens, model: NewModel(settings), readers: map[string]*readers{},
		reclaimed: make(chan struct{}), changed: make(chan struct{}),
	}
}

// startWire is the body of a request to start a generation.
type startWire struct {
	Generation string `json:"generation"`
	Reader     string `json:"reader"`
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
}

// tokenWire is the data of one SSE event.
type tokenWire struct {
	Generation string `json:"generation"`
	Index      int    `json:"index"`
	Text       string `json:"text"`
	Finish     string `json:"finish,omitempty"`
}

// refusalWire is the body of an error response.
type refusalWire struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"`
	// Leaving reports whether the engine accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// loadWire is the load report.
type loadWire struct {
	Incarnation    string `json:"incarnation"`
	Leaving        bool   `json:"leaving"`
	TakenUnixMS    int64  `json:"taken_unix_ms"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	UsedTokens     int    `json:"used_tokens"`
	CapacityTokens int    `json:"capacity_tokens"`
	StepMicros     int64  `json:"step_us"`
	Preemptions    uint64 `json:"preemptions"`
	// Unread contains the unfinished generations without a connected reader.
	Unread []unreadWire `json:"unread,omitempty"`
}

// Routes returns the engine's HTTP interface.
func (e *Engine) Routes() http.Handler {
	router := echo.New()
	router.POST("/generations", e.start)
	router.GET("/generations/:id", e.resume)
	router.DELETE("/generations/:id", e.cancel)
	router.GET("/load", e.load)
	router.GET("/cache-events", e.cacheEvents)
	router.POST("/leave", e.leave)
	router.GET("/orders", e.countStartRequests)
	router.POST("/reclaim", e.reclaimAfter)
	return router
}

// Run steps the model until done is closed or the engine is reclaimed.
func (e *Engine) Run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-e.reclaimed:
			return
		case now := <-timer.C:
			timer.Reset(e.iterate(now))
		}
	}
}

// iterate steps the model and returns the duration of the next iteration.
func (e *Engine) iterate(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	duration := e.model.Step(now)
	for id := range e.readers {
		if _, _, ok := e.model.Progress(id); !ok {
			delete(e.readers, id)
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
	return duration
}

// lengthHint matches the hint in a prompt that sets the length of the output.
var lengthHint = regexp.MustCompile(`output_tokens=(\d+)`)

// defaultLength is the length of the output, in tokens, without a hint.
const defaultLength = 50

func (e *Engine) start(c echo.Context) error {
	var wire startWire
	if err := json.NewDecoder(c.Request().Body).Decode(&wire); err != nil {
		return c.JSON(http.StatusBadRequest, refusalWire{Error: err.Error(), NotRun: true})
	}
	length := defaultLength
	if hint := lengthHint.FindStringSubmatch(wire.Prompt); hint != nil {
		length, _ = strconv.Atoi(hint[1])
	}
	e.mu.Lock()
	e.startRequests++
	e.lastStartRequestAt = time.Now()
	if e.leaving {
		e.mu.Unlock()
		return c.JSON(http.StatusServiceUnavailable, refusalWire{Error: "leaving", NotRun: true, Leaving: true})
	}
	e.model.Start(GenerationRequest{
		Generation: wire.Generation, PromptTokens: len(wire.Prompt)/bytesPerToken + 1,
		PrefixHashes: prefixHashes(wire.Prompt, e.blockTokens),
		OutputTokens: max(1, min(length, wire.MaxTokens)), Priority: wire.Priority,
	})
	e.mu.Unlock()
	return e.stream(c, wire.Generation, wire.Reader, 0)
}

func (e *Engine) resume(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 {
		return c.JSON(http.StatusBadRequest, refusalWire{Error: "from is not an index", NotRun: true})
	}
	return e.stream(c, c.Param("id"), c.QueryParam("reader"), from)
}

// stream sends the tokens from the index nextIndex to the end of the generation.
func (e *Engine) stream(c echo.Context, id, reader string, nextIndex int) error {
	var lastWriteAt time.Time
	for started := false; ; started = true {
		e.mu.Lock()
		generated, finish, ok := e.model.Progress(id)
		changed := e.changed
		if ok && !started {
			defer e.detach(e.attach(id, reader), reader)
		}
		e.mu.Unlock()
		if !ok {
			if started {
				return nil
			}
			return c.JSON(http.StatusNotFound, refusalWire{Error: "no such generation"})
		}
		if !started {
			c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
			c.Response().WriteHeader(http.StatusOK)
			c.Response().Flush()
			lastWriteAt = time.Now()
		}
		if nextIndex < generated {
			lastWriteAt = time.Now()
		}
		for ; nextIndex < generated; nextIndex++ {
			if err := sendToken(c, tokenWire{Generation: id, Index: nextIndex, Text: TokenText(id, nextIndex)}); err != nil {
				return err
			}
		}
		if finish != "" {
			return sendToken(c, tokenWire{Generation: id, Index: nextIndex, Finish: finish})
		}
		// While this generation waits for memory, iterations for other generations still
		// wake this loop. The heartbeat therefore depends on the time since the last
		// write.
		if time.Since(lastWriteAt) >= heartbeatInterval {
			if _, err := c.Response().Write([]byte(": heartbeat\n\n")); err != nil {
				return err
			}
			c.Response().Flush()
			lastWriteAt = time.Now()
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// attach adds a connection of the reader to the generation. The caller holds e.mu.
func (e *Engine) attach(id, reader string) *readers {
	r, ok := e.readers[id]
	if !ok {
		r = &readers{connections: map[string]int{}}
		e.readers[id] = r
	}
	r.attach(reader)
	return r
}

func (e *Engine) detach(r *readers, reader string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.connections[reader]--
	r.lastDetachedAt = time.Now()
}

// TokenText returns the text of a token. It contains the generation and the index, so
// that readers can check the order of tokens.
func TokenText(generation string, index int) string {
	return fmt.Sprintf(" %s/%d", generation, index)
}

func sendToken(c echo.Context, wire tokenWire) error {
	content, err := json.Marshal(wire)
	if err != nil {
		return err
	}
	if _, err := c.Response().Write([]byte("data: " + string(content) + "\n\n")); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}

// cancel cancels a generation. If the request contains a reader, it is refused if
// another reader has taken over the generation.
func (e *Engine) cancel(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, reader := c.Param("id"), c.QueryParam("reader")
	if r, ok := e.readers[id]; ok && reader != "" && r.takenOverFrom(reader) {
		return c.JSON(http.StatusConflict, refusalWire{Error: "another reader has attached", NotRun: true})
	}
	e.model.Cancel(id)
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) load(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	load := e.model.Load(now)
	return c.JSON(http.StatusOK, loadWire{
		Incarnation: e.incarnation.String(), Leaving: e.leaving, TakenUnixMS: load.TakenAt.UnixMilli(),
		Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens, CapacityTokens: load.CapacityTokens,
		StepMicros: load.StepTime.Microseconds(), Preemptions: load.Preemptions, Unread: e.unread(now),
	})
}

// cacheEventWire is one event of the prefix cache.
type cacheEventWire struct {
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash,string"`
	Stored   bool   `json:"stored"`
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64) // 0 if absent: all events.
	e.mu.Lock()
	events := e.model.CacheEvents(time.Now(), after)
	e.mu.Unlock()
	wire := make([]cacheEventWire, len(events))
	for i, event := range events {
		wire[i] = cacheEventWire{event.Sequence, event.Hash, event.Stored}
	}
	return c.JSON(http.StatusOK, wire)
}

// startRequestsWire is the number of requests to start a generation and the time of
// the latest one, for tests.
type startRequestsWire struct {
	Count      int   `json:"count"`
	LastUnixMS int64 `json:"last_unix_ms"`
}

func (e *Engine) countStartRequests(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, startRequestsWire{e.startRequests, e.lastStartRequestAt.UnixMilli()})
}

// leave makes the engine refuse new work, as during a planned shutdown.
func (e *Engine) leave(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	return c.NoContent(http.StatusNoContent)
}

// reclaimAfter makes the engine leave immediately and stop after in_ms, like an
// engine on a machine that the provider reclaims at short notice.
func (e *Engine) reclaimAfter(c echo.Context) error {
	notice, err := strconv.Atoi(c.QueryParam("in_ms"))
	if err != nil || notice < 0 {
		return c.JSON(http.StatusBadRequest, refusalWire{Error: "in_ms is not a notice period", NotRun: true})
	}
	time.AfterFunc(time.Duration(notice)*time.Millisecond, func() {
		e.reclaimOnce.Do(func() { close(e.reclaimed) })
	})
	return e.leave(c)
}
