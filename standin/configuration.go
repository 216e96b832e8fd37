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

// ConfigurationService stands in for the platform's configuration service. Entry
// instances read from it, operators write to it. It keeps all versions, so that tests
// can make it stale or restore an old version.
type ConfigurationService struct {
	mu       sync.Mutex
	versions []config.Document
	// visible is the number of versions that clients can read. Zero means all.
	visible int
	// changed is closed and replaced after every change.
	changed chan struct{}
	// reads counts the reads of the index and of values.
	reads int
}

// NewConfigurationService returns a service without values.
func NewConfigurationService() *ConfigurationService {
	empty := config.Document{Index: config.Index{Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	return &ConfigurationService{versions: []config.Document{empty}, changed: make(chan struct{})}
}

// visibleVersion returns the latest version that clients can read.
func (s *ConfigurationService) visibleVersion() config.Document {
	if s.visible > 0 {
		return s.versions[s.visible-1]
	}
	return s.versions[len(s.versions)-1]
}

// addVersion adds an edited copy of the latest version and returns its number.
func (s *ConfigurationService) addVersion(edit func(*config.Document)) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.versions[len(s.versions)-1]
	doc := config.Document{
		Index:  config.Index{Version: latest.Index.Version + 1, Values: maps.Clone(latest.Index.Values)},
		Values: maps.Clone(latest.Values),
	}
	edit(&doc)
	s.versions = append(s.versions, doc)
	s.notifyWatchers()
	return doc.Index.Version
}

// notifyWatchers wakes all waiting watches. The caller holds s.mu.
func (s *ConfigurationService) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores a value in a new version and returns the version's number.
func (s *ConfigurationService) Put(key string, value []byte) uint64 {
	return s.addVersion(func(doc *config.Document) {
		doc.Index.Values[key] = config.IndexEntry{Version: doc.Index.Version, SHA256: config.Hash(value)}
		doc.Values[key] = value
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

// watch serves the index. It responds immediately if the index is newer than the
// version in the parameter after, and otherwise at the next newer version or after
// wait_ms.
func (s *ConfigurationService) watch(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	waitMS, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for done := false; !done && s.visibleVersion().Index.Version <= after; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-c.Request().Context().Done():
			done = true
		}
		s.mu.Lock()
	}
	index := s.visibleVersion().Index
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
	value, ok := s.visibleVersion().Values[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, value)
}

// versionWire is the response to a change.
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
	return c.JSON(http.StatusOK, versionWire{s.addVersion(func(doc *config.Document) {
		delete(doc.Index.Values, key)
		delete(doc.Values, key)
	})})
}

// countReads returns the number of reads of the index and of values.
func (s *ConfigurationService) countReads(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.reads)
}

// setStale hides all versions after the current one from clients, or makes all
// visible again.
func (s *ConfigurationService) setStale(c echo.Context) error {
	stale := c.QueryParam("stale") == "true"
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !stale:
		s.visible = 0
	case s.visible == 0:
		s.visible = len(s.versions)
	}
	s.notifyWatchers()
	return c.NoContent(http.StatusNoContent)
}

// restore drops all versions after the given one, like a restore from a backup.
func (s *ConfigurationService) restore(c echo.Context) error {
	version, err := strconv.Atoi(c.Param("version"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || version < 0 || version >= len(s.versions) {
		return c.NoContent(http.StatusBadRequest)
	}
	s.versions, s.visible = s.versions[:version+1], 0
	s.notifyWatchers()
	return c.NoContent(http.StatusNoContent)
}
