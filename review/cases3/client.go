package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName = "member.example"
	apiKey   = "key-of-the-tenant"
	tenant   = "skippers"
)

// sent is a request of a client, and its end.
type sent struct {
	id, path, key string
	edge          *edge
	at            time.Time
}

// clients send requests to the instances.
type clients struct {
	record *record
	number atomic.Uint64

	mu   sync.Mutex
	sent map[string]sent
	// answers counts the ends of the requests.
	answers map[string]int
}

func newClients(rec *record) *clients {
	return &clients{record: rec, sent: map[string]sent{}, answers: map[string]int{}}
}

// call sends one request to a plain service on a new connection and waits for the answer.
func (c *clients) call(ctx context.Context, e *edge, method, path string, deadline time.Duration, body string) {
	c.callWith(ctx, apiKey, e, method, path, deadline, body)
}

// callWith is like call, with a key.
func (c *clients) callWith(ctx context.Context, key string, e *edge, method, path string, deadline time.Duration, body string) {
	id := fmt.Sprintf("%016x", c.number.Add(1))
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers.String()+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = hostName
	request.Header = http.Header{"Attempt-Id": {id}, "Credential": {key}, "Deadline-Ms": {strconv.FormatInt(deadline.Milliseconds(), 10)}}
	c.mu.Lock()
	c.sent[id] = sent{id, path, key, e, time.Now()}
	c.mu.Unlock()
	c.record.add("request %s (%s %s) is sent to %s", id, method, path, e.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	end := ""
	if err != nil {
		end = "no answer: " + err.Error()
	} else {
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		end = fmt.Sprintf("%d, %d bytes", response.StatusCode, len(content))
		if err != nil {
			end = "broken off: " + err.Error()
		}
	}
	c.record.add("request %s ends: %s", id, end)
	c.count(strings.SplitN(end, ",", 2)[0])
}

// count counts the end of a request.
func (c *clients) count(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[end]++
}

// find returns the request with an ID.
func (c *clients) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.sent[id]
	return s, ok
}

// load sends requests to all instances, so many a second to each, until ctx ends.
func (c *clients) load(ctx context.Context, edges []*edge, perSecond float64, one func(e *edge)) {
	var group sync.WaitGroup
	defer group.Wait()
	for n, e := range edges {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 13 * time.Millisecond)
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					group.Go(func() { one(e) })
				}
			}
		})
	}
}
