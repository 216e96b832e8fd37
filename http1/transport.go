// Package http1 refuses responses that net/http accepts although they are not valid HTTP/1.1
// (RFC 9110 and RFC 9112). An upstream that sends one is in trouble, so nothing in it counts as
// its answer.
package http1

import (
	"net/http"

	"github.com/joomcode/errorx"
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
	if err := checkStatusLine(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
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
		return ErrMalformed.New("the response has status %q", response.Status)
	}
	return nil
}
