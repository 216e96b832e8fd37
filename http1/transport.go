// Package http1 refuses responses that net/http accepts although they are not valid HTTP/1.1
// (RFC 9110 and RFC 9112). An upstream that sends one is in trouble, so nothing in it counts as
// its answer.
package http1

import (
	"io"
	"net/http"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response that is not valid HTTP/1.1.
var ErrMalformed = errorx.NewNamespace("http1").NewType("malformed_response")

// Transport sends requests through another transport and checks the responses. Its errors are
// those of the other transport, and ErrMalformed.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	response.Body = &body{response.Body, response}
	return response, nil
}

// checkHead returns an error unless the head is that of a final response.
func checkHead(response *http.Response) error {
	if err := checkStatusLine(response); err != nil {
		return err
	}
	return checkNames(response.Header)
}

const (
	// minStatus and maxStatus bound the codes of final responses. Interim responses are not
	// returned by net/http, except 101, which answers requests for another protocol.
	minStatus = 200
	maxStatus = 599
)

// checkStatusLine returns an error unless the status line is that of a final response.
func checkStatusLine(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return ErrMalformed.New("the response has protocol version %q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return ErrMalformed.New("the response has status %03d", response.StatusCode)
	}
	return nil
}

// maxNameBytes is the number of bytes of an invalid name that an error contains.
const maxNameBytes = 40

// checkNames returns an error unless the names of all fields are valid. net/http accepts blanks
// in them, but does not recognise "Content-Length :" as the length of the body.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrMalformed.New("the response has a field named %.*q", maxNameBytes, name)
		}
	}
	return nil
}

// body is the body of a response. Its end is an error if the trailer is malformed.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	// net/http has read the trailer.
	if err := checkNames(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
