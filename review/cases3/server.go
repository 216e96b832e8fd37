package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// plainServer is a server of a plain service.
type plainServer struct {
	id, service, zone string
	born              int64
	addr              netip.AddrPort
	work              time.Duration
	record            *record
	server            *http.Server

	mu       sync.Mutex
	sequence int
	running  int
	arrivals []arrival
}

const plainSlots = 6

func startPlainServer(rec *record, id, service, zone string) (*plainServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), addr: listener.Addr().(*net.TCPAddr).AddrPort(), work: 30 * time.Millisecond, record: rec}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// entry returns the server's entry in the store.
func (s *plainServer) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.addr.String(), "zone": s.zone, "version": 1, "slots": plainSlots,
		"state": state, "cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		// A health check.
		w.Header().Set("Instance-Id", s.id)
		return
	}
	now := time.Now()
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, now})
	full := s.running >= plainSlots
	if !full {
		s.running++
	}
	load := fmt.Sprintf("%d,0,%d", s.running, plainSlots)
	s.mu.Unlock()
	w.Header().Set("Server-Load", load)
	if full {
		s.record.add("request %s reaches %s, which is full and does not run it", id, s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The length shows whether it is complete.
	s.record.add("request %s reaches %s, which runs it", id, s.id)
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set("Server-Signature", "sig."+s.id+"."+id)
	fmt.Fprintf(w, "%s at %s %s", id, s.id, strings.Repeat("x", 760))
}

// log returns the requests that reached the server.
func (s *plainServer) log() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
