package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// WaitReady waits until the status of every entry instance is ready and lists all
// peers and upstreams of its data centre. The upstreams must be checked too: an
// instance can discover its peers by heartbeats before it first reads the instance
// list, which it polls once a second.
func (f *Fleet) WaitReady(ctx context.Context, deadline time.Time) error {
	for _, p := range f.Entries {
		for !f.ready(ctx, p) {
			if time.Now().After(deadline) {
				return errorx.TimeoutElapsed.New("%s is not ready: %s", p.Name, f.describe(ctx))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// describe returns the status and the end of the log of every entry instance. All
// are included because an instance that is not ready may be waiting for an
// instance that has exited.
func (f *Fleet) describe(ctx context.Context) string {
	var text strings.Builder
	for _, p := range f.Entries {
		status, err := f.Status(ctx, p)
		logs, _ := os.ReadFile(filepath.Join(f.plan.Dir, p.Name+".log")) // The file is missing if the instance has not started.
		fmt.Fprintf(&text, "\n%s: status %+v, %v, log: %s", p.Name, status, err, logs[max(0, len(logs)-maxShownLogBytes):])
	}
	return text.String()
}

// maxShownLogBytes is the maximum length of the end of a log in an error message.
const maxShownLogBytes = 2000

// EntryStatus contains the fields of an entry instance's status that bench uses.
type EntryStatus struct {
	Incarnation   string   `json:"incarnation"`
	Ready         bool     `json:"ready"`
	ConfigVersion uint64   `json:"config_version"`
	Peers         []string `json:"peers"`
	Upstreams     []struct {
		Name string `json:"name"`
	} `json:"upstreams"`
	OpenRequests int `json:"open_requests"`
}

// Status reads the status of an entry instance.
func (f *Fleet) Status(ctx context.Context, p *Process) (EntryStatus, error) {
	var status EntryStatus
	content, err := f.Get(ctx, "http://"+p.OperatorAddr.String()+"/status")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(content, &status)
}

// ready reports whether the condition of WaitReady holds for the entry instance.
func (f *Fleet) ready(ctx context.Context, p *Process) bool {
	status, err := f.Status(ctx, p)
	if err != nil || !status.Ready {
		return false
	}
	// Only delegates, which exchange heartbeats on behalf of their data centre, list
	// instances of other data centres.
	for _, other := range f.Entries {
		if other != p && other.DataCentre == p.DataCentre && !slices.Contains(status.Peers, other.Name) {
			return false
		}
	}
	listed := map[string]bool{}
	for _, u := range status.Upstreams {
		listed[u.Name] = true
	}
	for _, u := range slices.Concat(f.Engines, f.Services) {
		if u.DataCentre == p.DataCentre && !listed[u.Name] {
			return false
		}
	}
	return true
}

// Get fetches a URL. Any status other than 200 is an error.
func (f *Fleet) Get(ctx context.Context, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errorx.ExternalError.New("%s: %s %s", target, strconv.Itoa(response.StatusCode), content)
	}
	return content, err
}

// TrailPath returns the path of the audit trail that all incarnations of p share.
func (f *Fleet) TrailPath(p *Process) string { return filepath.Join(f.plan.Dir, p.Name+".trail") }
