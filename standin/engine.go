// Package standin holds small stand-ins for what surrounds the system: model
// engines, plain services, the configuration service and the instance list.
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
	// heartbeatInterval is the longest silence on a stream.
	heartbeatInterval = 500 * time.Millisecond
	// keepFinished is how long a finished generation can still be read.
	keepFinished = 30 * time.Second
)

// Engine is a model engine that makes one token of every generation at each
// step.
type Engine struct {
	incarnation ident.Incarnation
	step        time.Duration

	mu      sync.Mutex
	leaving bool
	// orders counts the orders to begin a generation, taken or refused.
	orders      int
	lastOrderAt time.Time
	generations map[string]*generation
	// changed is closed and replaced when any generation has moved on.
	changed chan struct{}
}

type generation struct {
	length    int
	made      int
	finish    string
	forgetAt  time.Time
	startedAt time.Time
	// newest is the reader that attached first most lately; attached counts
	// the open connections of every reader that ever attached.
	newest   string
	attached map[string]int
}

// attach counts a connection of the reader in.
func (g *generation) attach(reader string) {
	if _, ok := g.attached[reader]; !ok {
		g.newest = reader
	}
	g.attached[reader]++
}

// belongsToOther reports whether a cancel for the reader must be ignored,
// because another one attached after it or is reading now.
func (g *generation) belongsToOther(reader string) bool {
	if reader != g.newest {
		return true
	}
	for other, open := range g.attached {
		if other != reader && open > 0 {
			return true
		}
	}
	return false
}

// NewEngine returns an engine that makes a token every step.
func NewEngine(incarnation ident.Incarnation, step time.Duration) *Engine {
	return &Engine{
		incarnation: incarnation, step: step,
		generations: map[string]*generation{}, changed: make(chan struct{}),
	}
}

// startWire is the body of an order to begin a generation.
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

// refusalWire is the body of an answer that is not a success.
type refusalWire struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"`
	// Leaving says that the engine takes no new work any more.
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
}

// Routes returns the engine's HTTP interface.
func (e *Engine) Routes() http.Handler {
	router := echo.New()
	router.POST("/generations", e.start)
	router.GET("/generations/:id", e.resume)
	router.DELETE("/generations/:id", e.cancel)
	router.GET("/load", e.load)
	router.POST("/leave", e.leave)
	router.GET("/orders", e.countOrders)
	return router
}

// Run makes tokens until done is closed.
func (e *Engine) Run(done <-chan struct{}) {
	ticker := time.NewTicker(e.step)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			e.iterate(now)
		}
	}
}

func (e *Engine) iterate(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, g := range e.generations {
		switch {
		case g.finish != "" && now.After(g.forgetAt):
			delete(e.generations, id)
		case g.finish == "":
			g.made++
			if g.made == g.length {
				g.finish, g.forgetAt = "stop", now.Add(keepFinished)
			}
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// lengthHint lets a caller of the stand-in choose an output's length.
var lengthHint = regexp.MustCompile(`output_tokens=(\d+)`)

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
	e.orders++
	e.lastOrderAt = time.Now()
	if e.leaving {
		e.mu.Unlock()
		return c.JSON(http.StatusServiceUnavailable, refusalWire{Error: "leaving", NotRun: true, Leaving: true})
	}
	if _, ok := e.generations[wire.Generation]; !ok {
		e.generations[wire.Generation] = &generation{
			length: max(1, min(length, wire.MaxTokens)), startedAt: time.Now(), attached: map[string]int{},
		}
	}
	e.mu.Unlock()
	return e.stream(c, wire.Generation, wire.Reader, 0)
}

func (e *Engine) resume(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 {
		return c.JSON(http.StatusBadRequest, refusalWire{Error: "from is no index", NotRun: true})
	}
	return e.stream(c, c.Param("id"), c.QueryParam("reader"), from)
}

// stream sends the tokens from index next until the generation ends.
func (e *Engine) stream(c echo.Context, id, reader string, next int) error {
	for begun := false; ; begun = true {
		e.mu.Lock()
		g, ok := e.generations[id]
		if !ok {
			e.mu.Unlock()
			if begun {
				return nil
			}
			return c.JSON(http.StatusNotFound, refusalWire{Error: "no such generation"})
		}
		if !begun {
			g.attach(reader)
			defer e.detach(g, reader)
		}
		made, finish, changed := g.made, g.finish, e.changed
		e.mu.Unlock()
		if !begun {
			c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
			c.Response().WriteHeader(http.StatusOK)
			c.Response().Flush()
		}
		for ; next < made; next++ {
			if err := sendToken(c, tokenWire{Generation: id, Index: next, Text: TokenText(id, next)}); err != nil {
				return err
			}
		}
		if finish != "" {
			return sendToken(c, tokenWire{Generation: id, Index: next, Finish: finish})
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
			if _, err := c.Response().Write([]byte(": heartbeat\n\n")); err != nil {
				return err
			}
			c.Response().Flush()
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (e *Engine) detach(g *generation, reader string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.attached[reader]--
}

// TokenText is the text of a token, from which a test can tell whose it is.
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

// cancel ends a generation. One that names its reader is ignored when the
// generation belongs to another reader by now.
func (e *Engine) cancel(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, reader := c.Param("id"), c.QueryParam("reader")
	if g, ok := e.generations[id]; ok && reader != "" && g.belongsToOther(reader) {
		return c.JSON(http.StatusConflict, refusalWire{Error: "another reader has attached", NotRun: true})
	}
	delete(e.generations, id)
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) load(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	wire := loadWire{
		Incarnation: e.incarnation.String(), Leaving: e.leaving, TakenUnixMS: time.Now().UnixMilli(), StepMicros: e.step.Microseconds(),
	}
	for _, g := range e.generations {
		if g.finish == "" {
			wire.Running++
		}
	}
	return c.JSON(http.StatusOK, wire)
}

// ordersWire tells a test what orders have come.
type ordersWire struct {
	Count      int   `json:"count"`
	LastUnixMS int64 `json:"last_unix_ms"`
}

func (e *Engine) countOrders(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, ordersWire{e.orders, e.lastOrderAt.UnixMilli()})
}

// leave makes the engine refuse new work, as before a planned stop.
func (e *Engine) leave(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	return c.NoContent(http.StatusNoContent)
}
