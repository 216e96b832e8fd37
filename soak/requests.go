package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"mangoloft/platform/standin"
)

// sentRequest is what is known of a request that was sent.
type sentRequest struct {
	route string
	// status is 0 when no answer came.
	status int
}

// notRun are the statuses that promise that a request has not run.
var notRun = map[int]bool{http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// call sends one request to an instance and checks its answer.
func (w *world) call(ctx context.Context, r *rand.Rand, client *http.Client, i *instance, id string) {
	route := []string{"draft", "tag", "push", "push", "read"}[r.IntN(5)]
	tokens := map[string]int{"draft": 100 + r.IntN(1500), "tag": 4 + r.IntN(40)}[route]
	deadline := map[string]time.Duration{"draft": 15 * time.Second, "tag": 5 * time.Second, "push": 2 * time.Second, "read": 2 * time.Second}[route]
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+"/"+route+"/x", strings.NewReader("body of "+id))
	if err != nil {
		w.violation("request: %v", err)
		return
	}
	request.GetBody = nil
	request.Host = hostName
	request.Header = standin.CallerRequest{ID: id, Key: apiKey, Timeout: deadline, PromptTokens: 200, OutputTokens: tokens, Forged: true}.Header()
	w.mu.Lock()
	w.sent[id] = sentRequest{route: route}
	w.figures.Requests++
	w.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	w.mu.Lock()
	w.sent[id] = sentRequest{route, response.StatusCode}
	w.mu.Unlock()
	if response.StatusCode != http.StatusOK {
		w.refused(response)
		return
	}
	if echoed := standin.ResponseID(response.Header); echoed != id {
		w.violation("request %s got the answer to %q", id, echoed)
	}
	if tokens > 0 {
		w.readStream(response.Body, id, route)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && !strings.HasPrefix(string(body), id+" done by ") {
		w.violation("request %s got the body %q", id, body)
	}
	if err == nil {
		w.count(func(f *Figures) { f.Served++ })
	}
}

func (w *world) refused(response *http.Response) {
	w.count(func(f *Figures) { f.Refused++ })
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		w.violation("a 503 doesn't say when to come back")
	}
	switch response.StatusCode {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
		w.violation("a proper request got %s", response.Status)
	}
}

// readStream checks that events come once, in order, of this request, and of
// one run unless the route may be resumed; and that an end that looks regular
// is one.
func (w *world) readStream(body io.Reader, id, route string) {
	lines := bufio.NewScanner(body)
	next, identity, total := 0, "", -1
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var gotID, gotIdentity string
		var n, of int
		if _, err := fmt.Sscanf(strings.ReplaceAll(data, "/", " "), "%s %s %d %d", &gotID, &gotIdentity, &n, &of); err != nil {
			w.violation("stream %s: the event %q can't be read", id, data)
			return
		}
		switch {
		case gotID != id:
			w.violation("stream %s got an event of %s", id, gotID)
		case n != next:
			w.violation("stream %s got event %d where %d was due", id, n, next)
		case identity != "" && gotIdentity != identity && route == "draft":
			w.violation("stream %s joins two runs at event %d", id, n)
		}
		next, identity, total = n+1, gotIdentity, of
	}
	if lines.Err() != nil {
		return
	}
	if next != total {
		w.violation("stream %s ends as if whole after %d of %d events", id, next, total)
		return
	}
	w.count(func(f *Figures) { f.Served++; f.Streams++ })
}

func (w *world) count(change func(f *Figures)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.figures)
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.count(func(f *Figures) { f.Violations = append(f.Violations, text) })
}
