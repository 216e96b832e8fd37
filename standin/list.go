package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"mangoloft/config"
)

// InstanceList stands in for the platform's instance list. It serves the content of
// the latest PUT request.
type InstanceList struct {
	mu      sync.Mutex
	content []byte
}

// NewInstanceList returns an instance list with initial content.
func NewInstanceList(content []byte) *InstanceList { return &InstanceList{content: content} }

// Routes returns the list's HTTP interface.
func (l *InstanceList) Routes() http.Handler {
	router := echo.New()
	router.GET("/instances", func(c echo.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		tag := `"` + config.Hash(l.content) + `"`
		c.Response().Header().Set("ETag", tag)
		if c.Request().Header.Get("If-None-Match") == tag {
			return c.NoContent(http.StatusNotModified)
		}
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, l.content)
	})
	router.PUT("/instances", func(c echo.Context) error {
		content, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.content = content
		return c.NoContent(http.StatusNoContent)
	})
	return router
}
