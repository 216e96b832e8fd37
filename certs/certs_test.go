package certs_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/certs"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// issue writes a certificate issued by the issuer, its key and a file with the
// trusted authorities, and returns their paths.
func issue(t *testing.T, dir, name string, issuer *bench.Authority, trusted ...*bench.Authority) certs.Files {
	t.Helper()
	assert.NilError(t, issuer.Issue(dir, name, loopback))
	var pool []byte
	for _, authority := range trusted {
		pool = append(pool, authority.PEM()...)
	}
	files := certs.Files{Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, name+".ca")}
	assert.NilError(t, os.WriteFile(files.CA, pool, 0o600))
	return files
}

func newAuthority(t *testing.T) *bench.Authority {
	t.Helper()
	authority, err := bench.NewAuthority()
	assert.NilError(t, err)
	return authority
}

// get makes one request over a new connection.
func get(addr string, config *tls.Config) error {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	response, err := client.Get("https://" + addr)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func clientOf(t *testing.T, files certs.Files) *tls.Config {
	t.Helper()
	source, err := certs.NewSource(files)
	assert.NilError(t, err)
	return source.ClientConfig()
}

// TestRotation checks that a running server uses replaced certificate files, and that
// partly written files have no effect.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	before, after := newAuthority(t), newAuthority(t)
	files := issue(t, dir, "server", before, before)
	listener, err := certs.ListenHTTP(netip.AddrPortFrom(loopback, 0), files)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) }) // Returns after Close.
	defer group.Wait()
	defer server.Close()
	addr := listener.Addr().String()

	oldClient := clientOf(t, issue(t, dir, "old", before, before))
	newClient := clientOf(t, issue(t, dir, "new", after, after))
	anonymous := oldClient.Clone()
	anonymous.Certificates = nil
	assert.NilError(t, get(addr, oldClient))
	assert.Assert(t, get(addr, newClient) != nil, "a client with a certificate of another authority must be refused")
	assert.Assert(t, get(addr, anonymous) != nil, "a client without a certificate must be refused")

	// A partly written certificate has no effect.
	assert.NilError(t, os.WriteFile(files.Certificate, []byte("-----BEGIN"), 0o600))
	for start := time.Now(); time.Since(start) < time.Second; {
		assert.NilError(t, get(addr, oldClient))
	}

	issue(t, dir, "server", after, after)
	deadline := time.Now().Add(20 * time.Second)
	for get(addr, newClient) != nil {
		assert.Assert(t, time.Now().Before(deadline), "the new certificates must be in use")
	}
	assert.Assert(t, get(addr, oldClient) != nil, "a client with a certificate of the former authority must be refused")
}

func TestNewSourceErrors(t *testing.T) {
	dir := t.TempDir()
	authority := newAuthority(t)
	good := issue(t, dir, "good", authority, authority)
	other := issue(t, dir, "other", authority)
	tests := map[string]certs.Files{
		"a missing file":                  {Certificate: good.Certificate, Key: filepath.Join(dir, "none")},
		"the key of another certificate":  {Certificate: good.Certificate, Key: other.Key},
		"an empty file of authorities":    {Certificate: good.Certificate, Key: good.Key, CA: other.CA},
		"a key in place of a certificate": {Certificate: good.Key, Key: good.Key},
	}
	for name, files := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := certs.NewSource(files)
			assert.Assert(t, err != nil)
		})
	}
}
