package main

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"mangoloft/platform/standin"
)

// store is the platform's metadata store: the project's stand-in, on a socket of its own.
type store struct {
	*standin.Store
	addr netip.AddrPort

	mu sync.Mutex
	// waiting is the number of watches of the servers that wait now.
	waiting int
	// silent is closed at the end of the time in which watches hear nothing; nil if they hear
	// everything.
	silent chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.NewStore(), addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// plainWriter leaves out the header by which a store declares its era, which the pages of the
// small deployments don't have.
type plainWriter struct {
	http.ResponseWriter
}

func (w plainWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if r.URL.Path != "/kv-watch" {
		s.Store.ServeHTTP(plainWriter{w}, r)
		return
	}
	s.mu.Lock()
	silent := s.silent
	watchesServers := strings.HasPrefix(r.URL.Query().Get("prefix"), "servers/")
	if watchesServers {
		s.waiting++
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if watchesServers {
			s.waiting--
		}
		s.mu.Unlock()
	}()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
		}
		// The watch is cut.
		panic(http.ErrAbortHandler)
	}
	s.Store.ServeHTTP(plainWriter{w}, r)
}

// waitingWatches returns the number of watches of the servers that wait.
func (s *store) waitingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// forgetHistory makes watches hear nothing for a time, drops the history and cuts the watches.
func (s *store) forgetHistory(after time.Duration) {
	s.mu.Lock()
	s.silent = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(after)
	s.DropHistory()
	s.CutWatches()
	s.mu.Lock()
	close(s.silent)
	s.silent = nil
	s.mu.Unlock()
}
