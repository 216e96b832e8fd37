package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// server is a sound plain server: it reads the whole request, works for a while, and answers.
type server struct {
	rig     *rig
	id      string
	service string
	zone    string
	bornMS  int64
	addr    netip.AddrPort
	http    *http.Server

	mu   sync.Mutex
	runs []execution
}

// execution is a request that a server ran.
type execution struct {
	id string
	at time.Time
}

const (
	// deskService is the plain service.
	deskService = "desk"
	workTime    = 15 * time.Millisecond
)

// addServer starts a server and writes its entry.
func (r *rig) addServer(id, service, zone string) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{rig: r, id: id, service: service, zone: zone, bornMS: time.Now().UnixMilli(), addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	s.http = &http.Server{Handler: s}
	r.group.Go(func() { _ = s.http.Serve(listener) })
	r.servers = append(r.servers, s)
	return s, s.publish("ready")
}

// publish writes the server's entry in a state.
func (s *server) publish(state string) error {
	err := s.rig.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.addr.String(), "zone": s.zone, "version": "v1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": s.bornMS,
	})
	s.rig.note("store acknowledged: %s of %s is %s", s.id, s.service, state)
	return err
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, execution{id, time.Now()})
	s.mu.Unlock()
	s.rig.note("%s of %s runs %s", s.id, s.service, id)
	time.Sleep(workTime)
	w.Header().Set("Server-Signature", s.id+"."+id)
	fmt.Fprintf(w, "%s done by %s\n", id, s.id)
}

func (s *server) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution(nil), s.runs...)
}
