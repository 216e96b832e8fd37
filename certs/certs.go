// Package certs secures connections by TLS with certificates from files, which
// are read again when they change, so that they are rotated without a restart.
package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Files are the paths of PEM files. The zero value stands for no TLS.
type Files struct {
	Certificate, Key string
	// CA holds the authorities that the other side's certificate must come
	// from. A server without one asks for no certificate.
	CA string
}

// Enabled reports whether connections are secured.
func (f Files) Enabled() bool { return f.Certificate != "" }

// checkInterval is the shortest time between two looks at the files.
const checkInterval = 500 * time.Millisecond

// Source holds the certificates of the latest good content of the files. It may
// be used by several goroutines.
type Source struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	content   content
	identity  tls.Certificate
	pool      *x509.CertPool
}

// content is what the files held.
type content struct{ certificate, key, ca []byte }

// NewSource reads the files.
func NewSource(files Files) (*Source, error) {
	s := &Source{files: files}
	return s, s.load()
}

// load takes the files' content when it is new and good.
func (s *Source) load() error {
	s.checkedAt = time.Now()
	c, err := s.files.read()
	if err != nil {
		return err
	}
	if bytes.Equal(c.certificate, s.content.certificate) && bytes.Equal(c.key, s.content.key) && bytes.Equal(c.ca, s.content.ca) {
		return nil
	}
	identity, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return err
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(c.ca) {
			return errorx.IllegalFormat.New("no certificate of an authority")
		}
	}
	s.content, s.identity, s.pool = c, identity, pool
	return nil
}

func (f Files) read() (c content, err error) {
	if c.certificate, err = readFile(f.Certificate); err != nil {
		return c, err
	}
	if c.key, err = readFile(f.Key); err != nil {
		return c, err
	}
	if f.CA != "" {
		c.ca, err = readFile(f.CA)
	}
	return c, err
}

// maxFileBytes bounds a file.
const maxFileBytes = 1 << 20

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxFileBytes))
}

// current returns what the files hold now. Files that are only half replaced
// change nothing.
func (s *Source) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) >= checkInterval {
		_ = s.load() // What was good before stays.
	}
	return s.identity, s.pool
}

// ClientConfig returns the settings of a connection that is made now.
func (s *Source) ClientConfig() *tls.Config {
	identity, pool := s.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{identity}, RootCAs: pool}
}

// ServerConfig returns settings for a listener whose connections each use what the
// files hold at their time. Protocols are those of the application.
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity, pool := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{identity}, NextProtos: protocols}
			if pool != nil {
				config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
			}
			// A session from before a rotation must not outlive it.
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// ServeHTTP serves until ctx ends, secured when there are files. Connections
// have the time closeLimit to end by themselves then.
func ServeHTTP(ctx context.Context, server *http.Server, addr netip.AddrPort, files Files, closeLimit time.Duration) error {
	listener, err := ListenHTTP(addr, files)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	// A server that fails ends the other goroutine too.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.Background(), closeLimit)
		defer cancel()
		if server.Shutdown(closing) != nil {
			server.Close()
		}
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ListenHTTP listens for HTTP, secured when there are files.
func ListenHTTP(addr netip.AddrPort, files Files) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil || !files.Enabled() {
		return listener, err
	}
	source, err := NewSource(files)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, source.ServerConfig("http/1.1")), nil
}
