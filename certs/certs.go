// Package certs configures TLS with certificates from files. It reloads changed
// files, so that certificates can be rotated without a restart.
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

// Files contains the paths of PEM files. The zero value means no TLS.
type Files struct {
	Certificate, Key string
	// CA is the file with the authorities that can issue the other side's certificate.
	// A server without CA does not request client certificates.
	CA string
}

// Enabled reports whether connections use TLS.
func (f Files) Enabled() bool { return f.Certificate != "" }

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 500 * time.Millisecond

// Source holds the certificates from the latest valid content of the files. It is
// safe for concurrent use.
type Source struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	content   content
	identity  tls.Certificate
	pool      *x509.CertPool
}

// content is the content of the files, compared to detect changes.
type content struct{ certificate, key, ca []byte }

// NewSource reads the files.
func NewSource(files Files) (*Source, error) {
	s := &Source{files: files}
	return s, s.load()
}

// load reads the files and replaces the certificates if the content is new and
// valid.
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
			return errorx.IllegalFormat.New("the file of authorities contains no certificate")
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

// maxFileBytes is the maximum number of bytes read from a file.
const maxFileBytes = 1 << 20

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxFileBytes))
}

// current returns the current certificates. While the files are only partly replaced,
// the previous certificates stay in use.
func (s *Source) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) >= checkInterval {
		_ = s.load() // An error leaves the certificates unchanged.
	}
	return s.identity, s.pool
}

// ClientConfig returns the configuration for a connection with the current
// certificates.
func (s *Source) ClientConfig() *tls.Config {
	identity, pool := s.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{identity}, RootCAs: pool}
}

// ServerConfig returns the configuration for a listener. Each connection uses the
// certificates that are current when it is made. protocols are the application
// protocols to negotiate (ALPN).
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity, pool := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{identity}, NextProtos: protocols}
			if pool != nil {
				config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
			}
			// A session must not be resumed after a rotation of certificates.
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// ServeHTTP serves until ctx ends, with TLS if files are given. Open connections
// then have closeTimeout to finish before they are closed.
func ServeHTTP(ctx context.Context, server *http.Server, addr netip.AddrPort, files Files, closeTimeout time.Duration) error {
	listener, err := ListenHTTP(addr, files)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	// If Serve fails, this ends the goroutine that waits for shutdown.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ListenHTTP listens for HTTP, with TLS if files are given.
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
