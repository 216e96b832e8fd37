package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/ident"
)

// Service is a plain service. It counts how often each body was run, so that a
// test can see a call that ran twice.
type Service struct {
	incarnation ident.Incarnation

	mu      sync.Mutex
	running int
	ran     map[string]int
}

// NewService returns a service that has run nothing.
func NewService(incarnation ident.Incarnation) *Service {
	return &Service{incarnation: incarnation, ran: map[string]int{}}
}

// Routes returns the service's HTTP interface.
func (s *Service) Routes() http.Handler {
	router := echo.New()
	router.POST("/calls/:class", s.call)
	router.GET("/load", s.load)
	router.GET("/ran", s.listRan)
	return router
}

func (s *Service) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	class, team := c.Param("class"), c.Request().Header.Get("X-Team")
	s.mu.Lock()
	s.ran[class+" "+string(body)]++
	s.mu.Unlock()
	c.Response().Header().Set("X-Request-Id", c.Request().Header.Get("X-Request-Id"))
	return c.String(http.StatusOK, fmt.Sprintf("%s for %s: %s", class, team, body))
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
