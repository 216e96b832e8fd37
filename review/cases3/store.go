package main

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"mangoloft/platform/standin"
)

// store is the platform's metadata store: the project's stand-in, on a socket of its own.
type store struct {
	*standin.Store
	addr netip.AddrPort
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
	s.Store.ServeHTTP(plainWriter{w}, r)
}
