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
	"mangoloft/ident"
)

const (
	// askLimit bounds a question to an instance.
	askLimit = 5 * time.Second
	// maxAnswerBytes bounds its answer.
	maxAnswerBytes = 64 << 20
)

var (
	namespace = errorx.NewNamespace("operator")
	// unreachable is an instance that gives no answer, refused one that
	// answers no.
	unreachable = namespace.NewType("unreachable")
	refused     = namespace.NewType("refused")
)

// IsRefusal reports whether the error is an instance's answer, rather than the
// lack of one.
func IsRefusal(err error) bool { return errorx.IsOfType(err, refused) }

// MessageOf returns an error of a Client as people want to read it.
func MessageOf(err error) string {
	if own := errorx.Cast(err); own != nil {
		return own.Message()
	}
	return err.Error()
}

// Client asks one instance.
type Client struct {
	// Addr is the instance's address for operators.
	Addr netip.AddrPort
	// Files secure the connection when any of them is named: the authorities of
	// the instance's certificate, or those of the system, and the certificate
	// that the instance asks for.
	Files certs.Files
}

// transport returns what carries the questions, and the scheme for it.
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

// Status returns the instance's status as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.get(ctx, "/status")
}

// Explain returns the audit records of a request as JSON.
func (c Client) Explain(ctx context.Context, id ident.Request) (json.RawMessage, error) {
	return c.get(ctx, "/requests/"+id.String())
}

func (c Client) get(ctx context.Context, path string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
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
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return nil, unreachable.New("no answer from %s, which should be an instance's listen.operators: %v", c.Addr, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, unreachable.New("the answer of %s broke off: %v", c.Addr, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refused.New("%s answers: %s", c.Addr, messageOf(response, content))
	}
	if !json.Valid(content) {
		return nil, refused.New("%s does not answer as an instance does to its operators", c.Addr)
	}
	return content, nil
}

// messageWire is the body of an answer that is not a success.
type messageWire struct {
	Message string `json:"message"`
}

func messageOf(response *http.Response, content []byte) string {
	var wire messageWire
	if json.Unmarshal(content, &wire) == nil && wire.Message != "" {
		return wire.Message
	}
	if bytes.Contains(content, []byte("HTTPS server")) {
		return "it speaks TLS only; name the authorities of its certificate"
	}
	return response.Status
}
