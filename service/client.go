// Package service is the client of plain services, which answer calls with one
// complete response.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/bodies"
	"mangoloft/call"
	"mangoloft/freshconn"
	"mangoloft/http1"
	"mangoloft/kernel"
	"mangoloft/settings"
	"mangoloft/verdict"
)

const (
	// dialTimeout is the timeout for connecting to a service.
	dialTimeout = 1 * time.Second
	// answerTimeout is the timeout for a service's complete answer.
	answerTimeout = 10 * time.Second
	// maxAnswerBytes is the maximum size of an answer's body, and maxUnreadBytes that of all
	// answers that are being read.
	maxAnswerBytes = 8 << 20
	maxUnreadBytes = 64 << 20
	// maxResponseHeaderBytes is the maximum size of the head of an answer.
	maxResponseHeaderBytes = 64 << 10
	// requestHeader contains the request's id. The service returns it in the
	// answer.
	requestHeader = "X-Request-Id"
	classHeader   = "X-Class"
	teamHeader    = "X-Team"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "service", Stage: kernel.StageUpstream, Start: func(rt *kernel.Runtime) ([]kernel.Actor, error) {
		rt.Provide(NewClient(rt.Settings))
		return nil, nil
	}})
}

// Client sends calls to all services. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	memory *bodies.Memory
}

// NewClient returns a client that opens a new connection for each call. A pooled
// connection could deliver the answer to an earlier call, and the transport
// resends some requests when a pooled connection turns out to be closed.
func NewClient(s settings.Settings) *Client {
	return newClient(freshconn.DialContext(s.Dialer(dialTimeout).DialContext))
}

func newClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{memory: bodies.NewMemory(maxUnreadBytes), http: &http.Client{
		Transport: http1.Transport{Base: &http.Transport{
			DialContext:       dial,
			DisableKeepAlives: true,
			// Automatic decompression would hide the answer's declared length.
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		// Following a redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// refusalWire is the body of a service's refusal.
type refusalWire struct {
	Error string `json:"error"`
	// NotRun reports whether the service guarantees that the call had no effect.
	NotRun bool `json:"not_run"`
}

// Call implements call.ServiceClient.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, r call.Request) (call.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	ctx, cancelDeadline := context.WithDeadline(ctx, r.Deadline)
	defer cancelDeadline()
	ctx, use := freshconn.Watch(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/calls/"+r.Class, bytes.NewReader(r.Body))
	if err != nil {
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.Internal, "create the request: %v", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", r.ContentType)
	request.Header.Set(requestHeader, r.ID.String())
	request.Header.Set(classHeader, r.Class)
	request.Header.Set(teamHeader, r.Team)
	response, err := c.http.Do(request)
	switch {
	case err != nil && !use.Sent():
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	case err != nil:
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "%v", err)
	}
	defer response.Body.Close()
	memory := c.memory.Open()
	defer memory.Close()
	return readAnswer(response, r, memory)
}

// readAnswer reads the answer to a call. It returns an error unless the answer is
// complete and belongs to the request.
func readAnswer(response *http.Response, r call.Request, memory *bodies.Account) (call.Answer, error) {
	if echoed := response.Header.Get(requestHeader); echoed != r.ID.String() {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer belongs to request %q", echoed)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The answer ends with the connection, so a truncated answer would look
		// complete.
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer has neither a length nor chunked encoding")
	}
	content, err := bodies.Read(response.Body, response.ContentLength, maxAnswerBytes, memory)
	switch {
	case errorx.IsOfType(err, bodies.ErrTooLong):
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer has more than %d bytes", maxAnswerBytes)
	case errorx.IsOfType(err, bodies.ErrMemoryFull):
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.Overloaded, "the memory for answers is full")
	case err != nil:
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the answer is truncated: %v", err)
	}
	body := content.Bytes()
	var refusal refusalWire
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &refusal) == nil && refusal.NotRun {
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "response status %s: %s", response.Status, refusal.Error)
	}
	if !isDefinitive(response.StatusCode) {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "response status %s", response.Status)
	}
	return call.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// isDefinitive reports whether the status is the service's decision on the call:
// success, or rejection because of the call's content, such as an insufficient
// balance. Any other status only shows that something failed, possibly after the
// call had its effect.
func isDefinitive(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	return success || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
