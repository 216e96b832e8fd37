package standin

import (
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"mangoloft/config"
)

// ConfigurationService is the platform's configuration service. The system can only
// read it; operators put values into it. It keeps all versions, so that it can
// be made stale or set back to a backup.
type ConfigurationService struct {
	mu       sync.Mutex
	versions []config.Document
	// stale is how many versions the service shows; zero shows all.
	stale   int
	changed chan struct{}
	reads   int
}

// NewConfigurationService returns a service without values.
func NewConfigurationService() *ConfigurationService {
	empty := config.Document{Index: config.Index{Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	return &ConfigurationService{versions: []config.Document{empty}, changed: make(chan struct{})}
}

// shown returns the version that readers see.
func (s *ConfigurationService) shown() config.Document {
	if s.stale > 0 {
		return s.versions[s.stale-1]
	}
	return s.versions[len(s.versions)-1]
}

// change makes the next version out of the latest one.
func (s *ConfigurationService) change(edit func(*config.Document)) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.versions[len(s.versions)-1]
	next := config.Document{
		Index:  config.Index{Version: latest.Index.Version + 1, Values: maps.Clone(latest.Index.Values)},
		Values: maps.Clone(latest.Values),
	}
	edit(&next)
	s.versions = append(s.versions, next)
	s.wake()
	return next.Index.Version
}

func (s *ConfigurationService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores a value under the next version, which it returns.
func (s *ConfigurationService) Put(key string, value []byte) uint64 {
	return s.change(func(next *config.Document) {
		next.Index.Values[key] = config.IndexEntry{Version: next.Index.Version, SHA256: config.Hash(value)}
		next.Values[key] = value
	})
}

// Routes returns the service's HTTP interface.
func (s *ConfigurationService) Routes() http.Handler {
	router := echo.New()
	router.Use(middleware.Gzip())
	router.GET("/index", s.watch)
	router.GET("/values/:key", s.value)
	router.PUT("/values/:key", s.put)
	router.DELETE("/values/:key", s.remove)
	router.GET("/reads", s.countReads)
	router.PUT("/stale", s.setStale)
	router.PUT("/restore/:version", s.restore)
	return router
}

// watch answers at once when the index is newer than asked, and else holds
// the call for a while.
func (s *ConfigurationService) watch(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	holdMS, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	hold := time.After(time.Duration(holdMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for held := false; !held && s.shown().Index.Version <= after; {
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
	index := s.shown().Index
	tag := `"` + index.Digest() + `"`
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, index)
}

func (s *ConfigurationService) value(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	value, ok := s.shown().Values[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, value)
}

// versionWire is the answer to a change.
type versionWire struct {
	Version uint64 `json:"version"`
}

func (s *ConfigurationService) put(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return err
	}
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, versionWire{s.Put(key, value)})
}

func (s *ConfigurationService) remove(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, versionWire{s.change(func(next *config.Document) {
		delete(next.Index.Values, key)
		delete(next.Values, key)
	})})
}

// countReads tells how many calls the service has answered.
func (s *ConfigurationService) countReads(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.reads)
}

// setStale makes readers see the present version for good, or the latest again.
func (s *ConfigurationService) setStale(c echo.Context) error {
	stale := c.QueryParam("stale") == "true"
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !stale:
		s.stale = 0
	case s.stale == 0:
		s.stale = len(s.versions)
	}
	s.wake()
	return c.NoContent(http.StatusNoContent)
}

// restore sets the service back to an old version, as from a backup.
func (s *ConfigurationService) restore(c echo.Context) error {
	version, err := strconv.Atoi(c.Param("version"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || version < 0 || version >= len(s.versions) {
		return c.NoContent(http.StatusBadRequest)
	}
	s.versions, s.stale = s.versions[:version+1], 0
	s.wake()
	return c.NoContent(http.StatusNoContent)
}
