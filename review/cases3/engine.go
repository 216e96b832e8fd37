package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// eventPause is the time between two events of a stream: four steps of a model server.
	eventPause = 38 * time.Millisecond
	// eventCount is the number of events of the long streams: the site has 234 on average and
	// 554 at most.
	eventCount  = 260
	engineSlots = 32
	engineKV    = 34481
)

// engine is a model server.
type engine struct {
	id, zone string
	born     int64
	addr     netip.AddrPort
	record   *record

	mu      sync.Mutex
	running int
	// cutOff are the streams whose caller closed the connection before their end.
	cutOff map[string]bool
}

func startEngine(rec *record, id, zone string) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, born: time.Now().UnixMilli(), addr: listener.Addr().(*net.TCPAddr).AddrPort(), record: rec, cutOff: map[string]bool{}}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return e, nil
}

// entry returns the server's entry in the store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": "mangoloft-pool", "address": e.addr.String(), "zone": e.zone, "version": 1, "slots": engineSlots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "state": "ready", "born": e.born, "running": running, "queued": 0, "kv-total": engineKV, "kv-used": 0, "runs": []any{}})
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The length shows whether it is complete.
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.record.add("stream %s reaches %s, which runs it", id, e.id)
	time.Sleep(215 * time.Millisecond) // It reads the prompt.
	w.Header().Set("Server-Signature", "sig."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range eventCount {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, id, strings.Repeat("y", 200))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil || r.Context().Err() != nil {
			e.mu.Lock()
			e.cutOff[id] = true
			e.mu.Unlock()
			e.record.add("stream %s: its connection to %s was closed before event %d of %d", id, e.id, n, eventCount)
			return
		}
		time.Sleep(eventPause)
	}
}

// wasCutOff reports whether the caller closed the connection of a stream before its end.
func (e *engine) wasCutOff(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutOff[id]
}
