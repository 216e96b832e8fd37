package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	engineService = "pool"
	// streamEvents is the number of events of a stream, and eventTime the time between two.
	streamEvents = 40
	eventTime    = 30 * time.Millisecond
)

// addEngine starts a model server and writes its entry.
func (r *rig) addEngine(id, zone string) (*server, error) {
	s, err := r.addServer(id, engineService, zone)
	if err != nil {
		return nil, err
	}
	s.http.Handler = http.HandlerFunc(s.serveStream)
	return s, nil
}

// serveStream answers with a stream of events.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		fmt.Fprintf(w, `{"state":"ready","born":%d,"running":0,"runs":[]}`, s.bornMS)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, execution{id, time.Now()})
	s.mu.Unlock()
	w.Header().Set("Server-Signature", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamEvents {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
	}
}
