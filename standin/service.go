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

// Service is a service with unary calls. It records every run, so that a test can
// detect a call that ran more than once, and it can be set to fail.
type Service struct {
	incarnation ident.Incarnation
	// journal receives a line of JSON for each run before the response is sent, so that
	// the record is complete even if the service is killed.
	journal *json.Encoder

	mu        sync.Mutex
	running   int
	runs      []Run
	runCounts map[string]int
	fault     ServiceFault
}

// Run is one execution of a call.
type Run struct {
	RequestID string `json:"request_id"`
	Class     string `json:"class"`
	Body      string `json:"body"`
	Answer    string `json:"answer"`
}

// ServiceFault is a kind of failure of calls. A body that ends with "fault=" and the
// name of a fault selects it for one call. A PUT of the name to /fault selects it for
// all calls.
type ServiceFault string

// The faults of a service.
const (
	// Refuse responds with status 503 and not_run, without running the call.
	Refuse ServiceFault = "refuse"
	// FailAfterRun responds with status 500 after running the call.
	FailAfterRun ServiceFault = "fail"
	// Decline responds with status 402 after running the call.
	Decline ServiceFault = "decline"
	// Redirect responds with status 307 after running the call.
	Redirect ServiceFault = "redirect"
	// Drop closes the connection without running the call.
	Drop ServiceFault = "drop"
	// DropAnswer closes the connection after running the call, without a response.
	DropAnswer ServiceFault = "drop_answer"
	// CutAnswer closes the connection before the end of the response.
	CutAnswer ServiceFault = "cut_answer"
	// WrongRequestID responds with the id of another request.
	WrongRequestID ServiceFault = "cross"
	// Slow responds after slowAnswerDelay.
	Slow ServiceFault = "slow"
)

// slowAnswerDelay is the delay of a response with the fault Slow.
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

// recordRun runs the call, which only records it, and returns the answer. Every run
// has a different answer.
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
	// After a failed write the run is missing from the journal, which tests detect.
	_ = s.journal.Encode(r)
	return r.Answer
}

func (s *Service) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, loadWire{Incarnation: s.incarnation.String(), TakenUnixMS: time.Now().UnixMilli(), Running: s.running})
}

// listRunCounts returns the number of runs of each call, by its class and body.
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
