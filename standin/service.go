package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/ident"
)

// Service is a service with plain, unstreamed answers. It records every run, so
// that a test can detect a call that ran twice, and it can be set to fail in the
// ways that services do.
type Service struct {
	incarnation ident.Incarnation
	// journal gets a line of JSON for each run before the answer is sent, so
	// that the runs are known even if the service is killed.
	journal *json.Encoder

	mu        sync.Mutex
	running   int
	runs      []Run
	runCounts map[string]int
	fault     ServiceFault
}

// Run is one call that the service ran.
type Run struct {
	RequestID string `json:"request_id"`
	Class     string `json:"class"`
	Body      string `json:"body"`
	Answer    string `json:"answer"`
}

// ServiceFault is a way in which calls fail. A body that ends in "fault=" and
// a fault's name selects it for one call, a PUT of the name to /fault for all.
type ServiceFault string

// The faults of a service.
const (
	// Refuse answers 503 with not_run and doesn't run the call.
	Refuse ServiceFault = "refuse"
	// FailAfterRun answers 500 after running the call.
	FailAfterRun ServiceFault = "fail"
	// Decline answers 402 after running the call.
	Decline ServiceFault = "decline"
	// Redirect answers 307 after running the call.
	Redirect ServiceFault = "redirect"
	// Drop closes the connection without running the call.
	Drop ServiceFault = "drop"
	// DropAnswer closes the connection after running the call, without an answer.
	DropAnswer ServiceFault = "drop_answer"
	// CutAnswer closes the connection before the end of the answer.
	CutAnswer ServiceFault = "cut_answer"
	// WrongRequestID answers with the id of another request.
	WrongRequestID ServiceFault = "cross"
	// Slow answers after slowAnswerDelay.
	Slow ServiceFault = "slow"
)

// slowAnswerDelay is the delay of an answer under the fault Slow.
const slowAnswerDelay = 1500 * time.Millisecond

// NewService returns a service that writes a line of JSON to journal for each Run.
func NewService(incarnation ident.Incarnation, journal io.Writer) *Service {
	return &Service{incarnation: incarnation, journal: json.NewEncoder(journal), runCounts: map[string]int{}}
}

// Routes returns the service's HTTP interface.
func (s *Service) Routes() http.Handler {
	router := echo.New()
	router.POST("/calls/:class", s.call)
	router.GET("/load", s.load)
	router.GET("/ran", s.listRunCounts)
	router.GET("/runs", s.listRuns)
	router.PUT("/fault", s.setFault)
	return router
}

func (s *Service) call(c echo.Context) error {
	content, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	body := string(content)
	s.mu.Lock()
	fault := s.fault
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if _, name, ok := strings.Cut(body, "fault="); ok {
		fault = ServiceFault(name)
	}
	id := c.Request().Header.Get("X-Request-Id")
	c.Response().Header().Set("X-Request-Id", id)
	switch fault {
	case Refuse:
		return c.JSON(http.StatusServiceUnavailable, refusalWire{Error: "full", NotRun: true})
	case Drop:
		panic(http.ErrAbortHandler)
	}
	answer := s.recordRun(Run{RequestID: id, Class: c.Param("class"), Body: body}, c.Request().Header.Get("X-Team"))
	switch fault {
	case FailAfterRun:
		return c.String(http.StatusInternalServerError, "boom")
	case Decline:
		return c.String(http.StatusPaymentRequired, answer)
	case Redirect:
		return c.Redirect(http.StatusTemporaryRedirect, c.Request().URL.Path)
	case DropAnswer:
		panic(http.ErrAbortHandler)
	case CutAnswer:
		c.Response().Header().Set(echo.HeaderContentLength, fmt.Sprint(len(answer)+1))
	case WrongRequestID:
		c.Response().Header().Set("X-Request-Id", id+"x")
	case Slow:
		time.Sleep(slowAnswerDelay)
	}
	return c.String(http.StatusOK, answer)
}

// recordRun runs the call, which only records it, and returns the answer. No two
// runs get the same answer.
func (s *Service) recordRun(r Run, team string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Answer = fmt.Sprintf("%s for %s: %s", r.Class, team, r.Body)
	name := r.Class + " " + r.Body
	if s.runCounts[name] > 0 {
		r.Answer += fmt.Sprintf(" (run %d)", s.runCounts[name]+1)
	}
	s.runCounts[name]++
	s.runs = append(s.runs, r)
	// A failed write shows up as a run that is missing from the journal.
	_ = s.journal.Encode(r)
	return r.Answer
}

func (s *Service) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, loadWire{Incarnation: s.incarnation.String(), TakenUnixMS: time.Now().UnixMilli(), Running: s.running})
}

// listRunCounts returns how often each call ran, by its class and body.
func (s *Service) listRunCounts(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.runCounts)
}

// listRuns returns every run, oldest first.
func (s *Service) listRuns(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, slices.Clone(s.runs))
}

func (s *Service) setFault(c echo.Context) error {
	name, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = ServiceFault(name)
	return c.NoContent(http.StatusNoContent)
}
