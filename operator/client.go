package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/certs"
	"mangoloft/http1"
	"mangoloft/ident"
)

const (
	// requestTimeout is the timeout for a request to an instance.
	requestTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a response that is read.
	maxResponseBytes = 64 << 20
)

var (
	namespace = errorx.NewNamespace("operator")
	// unreachable is the type of errors for requests without a response, and for
	// files that can't be used.
	unreachable = namespace.NewType("unreachable")
	// refused is the type of errors for responses other than a success with JSON.
	refused = namespace.NewType("refused")
)

// IsRefusal reports whether the instance responded with a failure. It returns false
// for an error because the instance did not respond.
func IsRefusal(err error) bool { return errorx.IsOfType(err, refused) }

// MessageOf returns the message of a Client's error without its error type.
func MessageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// Client requests the status and the audit records of requests from one instance.
type Client struct {
	// Addr is the address of the instance's listener for operators.
	Addr netip.AddrPort
	// Files configures TLS, which is used if any file is set. Without CA, the
	// authorities of the system are trusted. Certificate and Key are needed if the
	// instance requires a client certificate.
	Files certs.Files
}

// transport returns the HTTP transport and the URL scheme for requests.
func (c Client) transport() (transport *http.Transport, scheme string, err error) {
	if c.Files == (certs.Files{}) {
		return &http.Transport{}, "http", nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.Files.CA != "" {
		content, err := os.ReadFile(c.Files.CA)
		if err != nil {
			return nil, "", err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(content) {
			return nil, "", unreachable.New("%s holds no certificate of an authority", c.Files.CA)
		}
	}
	if c.Files.Enabled() {
		identity, err := tls.LoadX509KeyPair(c.Files.Certificate, c.Files.Key)
		if err != nil {
			return nil, "", err
		}
		config.Certificates = []tls.Certificate{identity}
	}
	return &http.Transport{TLSClientConfig: config}, "https", nil
}

// Status returns the status of the instance as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/status")
}

// Explain returns the audit records of a request as JSON.
func (c Client) Explain(ctx context.Context, id ident.Request) (json.RawMessage, error) {
	return c.get(ctx, "/requests/"+id.String())
}

// get returns the JSON body of the response to a GET request.
func (c Client) get(ctx context.Context, path string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	transport, scheme, err := c.transport()
	if err != nil {
		return nil, err
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+c.Addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Transport: http1.Transport{Base: transport}}).Do(request)
	if err != nil {
		return nil, unreachable.New("no answer from %s, which should be an instance's listen.operators: %v", c.Addr, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, unreachable.New("reading the response of %s: %v", c.Addr, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refused.New("%s answers: %s", c.Addr, refusalMessage(response, content))
	}
	if !json.Valid(content) {
		return nil, refused.New("the response of %s, which should be an instance's listen.operators, is not JSON", c.Addr)
	}
	return content, nil
}

// messageWire is the body of an error response.
type messageWire struct {
	Message string `json:"message"`
}

// refusalMessage returns the message of a response that is not a success.
func refusalMessage(response *http.Response, content []byte) string {
	var wire messageWire
	if json.Unmarshal(content, &wire) == nil && wire.Message != "" {
		return wire.Message
	}
	if bytes.Contains(content, []byte("HTTPS server")) {
		return "it accepts TLS only; pass the authorities of its certificate with --ca"
	}
	return response.Status
}
