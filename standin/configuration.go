package standin

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/config"
)

// Configuration is the platform's configuration service. The system can only
// read it; operators put values into it.
type Configuration struct {
	mu      sync.Mutex
	index   config.Index
	values  map[string][]byte
	changed chan struct{}
	reads   int
}

// NewConfiguration returns a service without values.
func NewConfiguration() *Configuration {
	return &Configuration{
		index: config.Index{Values: map[string]config.Entry{}}, values: map[string][]byte{}, changed: make(chan struct{}),
	}
}

// Put stores a value under the next version.
func (s *Configuration) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.Version++
	s.index.Values[key] = config.Entry{Version: s.index.Version, SHA256: config.Hash(value)}
	s.values[key] = value
	close(s.changed)
	s.changed = make(chan struct{})
}

// Routes returns the service's HTTP interface.
func (s *Configuration) Routes() http.Handler {
	router := echo.New()
	router.GET("/index", s.watch)
	router.GET("/values/:key", s.value)
	router.PUT("/values/:key", s.put)
	router.GET("/reads", s.countReads)
	return router
}

// watch answers at once when the index is newer than asked, and else holds
// the call for a while.
func (s *Configuration) watch(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	holdMS, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	hold := time.After(time.Duration(holdMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for held := false; !held && s.index.Version <= after; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-hold:
			held = true
		case <-c.Request().Context().Done():
			held = true
		}
		s.mu.Lock()
	}
	return c.JSON(http.StatusOK, s.index)
}

func (s *Configuration) value(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	value, ok := s.values[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, value)
}

func (s *Configuration) put(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return err
	}
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	s.Put(key, value)
	return c.NoContent(http.StatusNoContent)
}

// countReads tells how many calls the service has answered.
func (s *Configuration) countReads(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.reads)
}
