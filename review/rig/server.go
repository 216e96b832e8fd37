package main

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventTokens is the number of tokens in one event of a stream.
const eventTokens = 4

// server is a stand-in for a sound server, of model engines or of plain calls. It runs up to
// slots requests at a time, and rejects others with Not-Executed.
type server struct {
	r                 *rig
	id, service, zone string
	addr              netip.AddrPort
	isModel           bool
	slots             int
	// eventTime is the time between two events of a stream, and callTime that of a call.
	eventTime, callTime time.Duration
	born                int64
	// firstTime is the time to the first event of a stream; 0 for eventTime.
	firstTime time.Duration
	// breakOff is asked at the end of a stream whether the server breaks it off there; nil for
	// a server that doesn't.
	breakOff func(id string) bool

	mu      sync.Mutex
	running int
	// runs contains the number of times that each request began to run.
	runs     map[string]int
	draining bool
}

// addServer starts a server and writes its entry into the store.
func (r *rig) addServer(s *server) error {
	s.r, s.runs, s.born = r, map[string]int{}, time.Now().UnixMilli()
	addr, err := r.serve(s, "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = addr
	return s.publish()
}

// publish writes the server's entry into the store.
func (s *server) publish() error {
	s.mu.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.mu.Unlock()
	return s.r.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.addr.String(), "zone": s.zone, "version": "1", "slots": s.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": s.born,
	})
}

// runsOf returns the number of times that a request has run here.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		s.report(w)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id, w) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.r.record("%s runs %s, last event %q", s.id, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("Server-Signature", s.id+"."+id)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if s.isModel {
		s.stream(w, r, id, deadline)
		return
	}
	select {
	case <-time.After(s.callTime):
		fmt.Fprintf(w, "%s done by %s", id, s.id)
	case <-time.After(time.Until(deadline)):
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

// begin takes a slot, if one is free.
func (s *server) begin(id string, w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.running < s.slots
	if free {
		s.running++
		s.runs[id]++
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	return free
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":%d,"kv-used":0,"kv-total":%d,"handles":0,"state":"ready","runs":[],"born":%d}`, s.running, kvCapacity, s.born)
}

// stream sends the events of a generation, from the one after Last-Event-Id. The IDs begin
// with 1.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, deadline time.Time) {
	_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		tokens = eventTokens
	}
	total := (tokens + eventTokens - 1) / eventTokens
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	pause := cmp.Or(s.firstTime, s.eventTime)
	for n := last + 1; n <= total; n++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if time.Now().After(deadline) {
			panic(http.ErrAbortHandler)
		}
		pause = s.eventTime
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d of %s\n\n", n, n, total, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	if s.breakOff != nil && s.breakOff(id) {
		s.r.record("%s breaks off %s after its last event, before its end", s.id, id)
		panic(http.ErrAbortHandler)
	}
}
