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

// Service is a plain service. It records what it ran, so that a test can see a
// call that ran twice, and it can be told to fail in the ways that services do.
type Service struct {
	incarnation ident.Incarnation
	// journal gets a line of JSON for each run, before its answer, so that the
	// runs are known after the service was killed.
	journal *json.Encoder

	mu      sync.Mutex
	running int
	runs    []Run
	ran     map[string]int
	fault   ServiceFault
}

// Run is one call that the service ran.
type Run struct {
	RequestID string `json:"request_id"`
	Class     string `json:"class"`
	Body      string `json:"body"`
	Answer    string `json:"answer"`
}

// ServiceFault is a way in which calls fail. A body that ends in "fault=" and
// its name brings it on for one call, a PUT of the name to /fault for all.
type ServiceFault string

// The faults of a service.
const (
	// Refuse says, truly, that the call was not run.
	Refuse ServiceFault = "refuse"
	// FailAfterRun answers 500 after the effect.
	FailAfterRun ServiceFault = "fail"
	// Decline answers 402 after the call was looked at.
	Decline ServiceFault = "decline"
	// Redirect answers 307 after the effect.
	Redirect ServiceFault = "redirect"
	// Drop closes the connection before the effect.
	Drop ServiceFault = "drop"
	// DropAnswer closes the connection after the effect.
	DropAnswer ServiceFault = "drop_answer"
	// CutAnswer closes it in the middle of the answer.
	CutAnswer ServiceFault = "cut_answer"
	// WrongRequestID answers with the id of another request.
	WrongRequestID ServiceFault = "cross"
	// Slow answers late.
	Slow ServiceFault = "slow"
)

// slowAnswer is how late a Slow answer comes.
const slowAnswer = 1500 * time.Millisecond

// NewService returns a service that has run nothing, and writes a line of JSON
// to journal for each Run.
func NewService(incarnation ident.Incarnation, journal io.Writer) *Service {
	return &Service{incarnation: incarnation, journal: json.NewEncoder(journal), ran: map[string]int{}}
}

// Routes returns the service's HTTP interface.
func (s *Service) Routes() http.Handler {
	router := echo.New()
	router.POST("/calls/:class", s.call)
	router.GET("/load", s.load)
	router.GET("/ran", s.listRan)
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
	answer := s.run(Run{RequestID: id, Class: c.Param("class"), Body: body}, c.Request().Header.Get("X-Team"))
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
		time.Sleep(slowAnswer)
	}
	return c.String(http.StatusOK, answer)
}

// run has the call's effect and returns the answer, which no other run gets.
func (s *Service) run(r Run, team string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Answer = fmt.Sprintf("%s for %s: %s", r.Class, team, r.Body)
	name := r.Class + " " + r.Body
	if s.ran[name] > 0 {
		r.Answer += fmt.Sprintf(" (run %d)", s.ran[name]+1)
	}
	s.ran[name]++
	s.runs = append(s.runs, r)
	// A journal that can't be written shows as a run that is missing in it.
	_ = s.journal.Encode(r)
	return r.Answer
}

func (s *Service) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, loadWire{Incarnation: s.incarnation.String(), TakenUnixMS: time.Now().UnixMilli(), Running: s.running})
}

// listRan tells how often each call ran, by its class and body.
func (s *Service) listRan(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.ran)
}

// listRuns tells each run, oldest first.
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
