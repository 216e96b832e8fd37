// Package service speaks to plain services: calls that are answered whole.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"mangoloft/call"
	"mangoloft/kernel"
	"mangoloft/settings"
	"mangoloft/verdict"
)

const (
	dialLimit = 1 * time.Second
	// answerLimit is how long a service may take for its whole answer.
	answerLimit = 10 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	// requestHeader carries the request's id to the service, which echoes it.
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

// Client speaks to all services. It may be used by several goroutines.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens a connection for each call. A pooled
// connection could bring an older answer, and the transport repeats some
// requests by itself when a pooled connection turns out to be closed.
func NewClient(s settings.Settings) *Client {
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:       s.Dialer(dialLimit).DialContext,
			DisableKeepAlives: true,
			// Unpacking by itself would hide how long the answer should be.
			DisableCompression: true,
		},
		// A redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// refusalWire is the body of a service's refusal.
type refusalWire struct {
	Error string `json:"error"`
	// NotRun is the service's word that the call had no effect.
	NotRun bool `json:"not_run"`
}

// Call implements call.Runner.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, r call.Request) (call.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	ctx, cancelAtDeadline := context.WithDeadline(ctx, r.Deadline)
	defer cancelAtDeadline()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/calls/"+r.Class, bytes.NewReader(r.Body))
	if err != nil {
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.Internal, "request: %v", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", r.ContentType)
	request.Header.Set(requestHeader, r.ID.String())
	request.Header.Set(classHeader, r.Class)
	request.Header.Set(teamHeader, r.Team)
	response, err := c.http.Do(request)
	switch {
	case err != nil && !connected.Load():
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	case err != nil:
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "%v", err)
	}
	defer response.Body.Close()
	return readAnswer(response, r)
}

// readAnswer accepts only a whole answer to this very request.
func readAnswer(response *http.Response, r call.Request) (call.Answer, error) {
	if echoed := response.Header.Get(requestHeader); echoed != r.ID.String() {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer is to request %q", echoed)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// Its end is that of the connection, so a lost one looks like a whole answer.
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer doesn't say how long it is")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the answer was cut short: %v", err)
	}
	if len(body) > maxAnswerBytes {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer has more than %d bytes", maxAnswerBytes)
	}
	var refusal refusalWire
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &refusal) == nil && refusal.NotRun {
		return call.Answer{}, verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "%s: %s", response.Status, refusal.Error)
	}
	if !isAnswer(response.StatusCode) {
		return call.Answer{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "%s", response.Status)
	}
	return call.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// isAnswer reports whether the status is the service's own word on the call: a
// success, or a refusal for what the call asks, such as a balance too low. All
// else says only that something went wrong, perhaps after the effect.
func isAnswer(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	return success || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
