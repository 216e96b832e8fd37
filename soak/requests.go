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

// sentRequest is the record of a request and the status of its response.
type sentRequest struct {
	route string
	// status is 0 if no response was received.
	status int
}

// notRunStatuses are the response statuses that guarantee that a request has not run.
var notRunStatuses = map[int]bool{http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// sendRequest sends one request to a random route of an instance and checks the
// response.
func (env *environment) sendRequest(ctx context.Context, r *rand.Rand, client *http.Client, i *instance, id string) {
	route := []string{"draft", "tag", "push", "push", "read"}[r.IntN(5)]
	tokens := map[string]int{"draft": 100 + r.IntN(1500), "tag": 4 + r.IntN(40)}[route]
	deadline := map[string]time.Duration{"draft": 15 * time.Second, "tag": 5 * time.Second, "push": 2 * time.Second, "read": 2 * time.Second}[route]
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+"/"+route+"/x", strings.NewReader("body of "+id))
	if err != nil {
		env.addViolation("request: %v", err)
		return
	}
	request.GetBody = nil
	request.Host = hostName
	request.Header = standin.CallerRequest{ID: id, Key: apiKey, Timeout: deadline, PromptTokens: 200, OutputTokens: tokens, Forged: true}.Header()
	env.mu.Lock()
	env.sentRequests[id] = sentRequest{route: route}
	env.results.Requests++
	env.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	env.mu.Lock()
	env.sentRequests[id] = sentRequest{route, response.StatusCode}
	env.mu.Unlock()
	if response.StatusCode != http.StatusOK {
		env.checkRefusal(response)
		return
	}
	if echoed := standin.ResponseID(response.Header); echoed != id {
		env.addViolation("request %s got the answer to %q", id, echoed)
	}
	if tokens > 0 {
		env.readStream(response.Body, id, route)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && !strings.HasPrefix(string(body), id+" done by ") {
		env.addViolation("request %s got the body %q", id, body)
	}
	if err == nil {
		env.updateResults(func(totals *Results) { totals.Served++ })
	}
}

// checkRefusal checks a response with a status other than 200.
func (env *environment) checkRefusal(response *http.Response) {
	env.updateResults(func(totals *Results) { totals.Refused++ })
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		env.addViolation("a 503 has no Retry-After header")
	}
	switch response.StatusCode {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
		env.addViolation("a valid request got %s", response.Status)
	}
}

// readStream checks that each event arrives once and in order, and belongs to the
// request; that all events come from one run unless the route is resumable; and
// that a stream that ends without a read error is complete.
func (env *environment) readStream(body io.Reader, id, route string) {
	lines := bufio.NewScanner(body)
	nextIndex, runID, total := 0, "", -1
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var gotID, gotRunID string
		var index, count int
		if _, err := fmt.Sscanf(strings.ReplaceAll(data, "/", " "), "%s %s %d %d", &gotID, &gotRunID, &index, &count); err != nil {
			env.addViolation("stream %s: can't parse event %q", id, data)
			return
		}
		switch {
		case gotID != id:
			env.addViolation("stream %s got an event of %s", id, gotID)
		case index != nextIndex:
			env.addViolation("stream %s got event %d, want event %d", id, index, nextIndex)
		case runID != "" && gotRunID != runID && route == "draft":
			env.addViolation("stream %s switches to another run at event %d", id, index)
		}
		nextIndex, runID, total = index+1, gotRunID, count
	}
	if lines.Err() != nil {
		return
	}
	if nextIndex != total {
		env.addViolation("stream %s ended without an error after %d of %d events", id, nextIndex, total)
		return
	}
	env.updateResults(func(totals *Results) { totals.Served++; totals.Streams++ })
}

func (env *environment) updateResults(update func(totals *Results)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	update(&env.results)
}

func (env *environment) addViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	env.updateResults(func(totals *Results) { totals.Violations = append(totals.Violations, violation) })
}
