package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/bodies"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/freshconn"
	"mangoloft/http1"
	"mangoloft/verdict"
)

const (
	// dialTimeout is the timeout for connecting to an upstream. Connecting
	// between data centres takes some milliseconds. A lost SYN is retransmitted only after a
	// second; sending to another upstream is faster than waiting for that.
	dialTimeout = 300 * time.Millisecond
	// maxResponseBytes is the maximum size of a plain response, which is
	// buffered completely.
	maxResponseBytes = 8 << 20
	// maxResponseHeaderBytes is the maximum size of the head of a response. An upstream in
	// trouble may send one without end.
	maxResponseHeaderBytes = 64 << 10
	// keepAliveInterval is the time between two TCP keep-alive probes. The
	// connection is closed after keepAliveProbes unanswered probes, so that a
	// stream survives a network partition of some seconds.
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 4
)

// newTransport returns a transport that opens a connection for each request. A
// pooled connection may deliver a stale response or may have been dropped
// silently, and a request lost on it can't be distinguished from a request that
// ran.
func newTransport(dial freshconn.Dial) http.RoundTripper {
	dialInTime := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	return http1.Transport{Base: &http.Transport{
		DialContext: freshconn.DialContext(dialInTime), DisableKeepAlives: true, DisableCompression: true,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// NewDialer returns the dialer for connections to upstreams.
func NewDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
}

// outgoingRequest is the part of a request that does not depend on the upstream.
type outgoingRequest struct {
	method string
	// target is the path and query exactly as the caller sent them.
	target string
	host   string
	body   []byte
}

// send sends the request to the placement once and returns the response, whose body the caller
// of send must close. An error with verdict NotRun proves that nothing was
// sent.
func (g *Gateway) send(ctx context.Context, q *request, placement dispatch.Placement, header http.Header) (*http.Response, error) {
	g.Dispatcher.AwaitOrders(ctx)
	if err := g.checkEvacuation(placement); err != nil {
		return nil, err
	}
	outgoing := q.outgoing
	ctx, use := freshconn.Watch(ctx)
	request := (&http.Request{
		Method: outgoing.method, URL: targetURL(placement.Addr, outgoing.target), Host: outgoing.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(outgoing.body)), Body: http.NoBody,
	}).WithContext(ctx)
	if len(outgoing.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(outgoing.body))
	}
	response, err := g.transport.RoundTrip(request)
	switch {
	case err != nil && ctx.Err() != nil:
		// The gateway aborted the request, so this is not a failure of the
		// upstream.
		return nil, abortError(ctx, use.Sent())
	case err != nil && !use.Sent() && placement.Detour:
		return nil, verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	case err != nil && !use.Sent():
		g.reportIfRefused(q, placement, decide.UpstreamEnded{At: time.Now(), Unsent: q.id}, err)
		return nil, verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	case err != nil:
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "%v", err)
	}
	return response, nil
}

// abortError returns the error for a send whose context ended.
func abortError(ctx context.Context, sent bool) error {
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	return verdict.ContextEnded(ctx, v, "before the upstream responded")
}

// targetURL returns the URL of the target at an upstream. It keeps the path byte
// for byte, because package url would encode some paths differently.
func targetURL(addr netip.AddrPort, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr.String()}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u
	}
	path, query, _ := strings.Cut(target, "?")
	u.RawPath, u.RawQuery = path, query
	if unescaped, err := url.PathUnescape(path); err == nil {
		u.Path = unescaped
	} else {
		u.Path = path
	}
	return u
}

// readResponseBody reads the body of a plain response completely. It counts against
// MaxBodyBytes until the request ends.
func (g *Gateway) readResponseBody(q *request, response *http.Response) (bodies.Body, error) {
	body, err := bodies.Read(response.Body, response.ContentLength, maxResponseBytes, q.responseMemory)
	ctx := response.Request.Context()
	switch {
	case err == nil:
		return body, nil
	case errorx.IsOfType(err, bodies.ErrTooLong):
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the response has more than %d bytes", maxResponseBytes)
	case errorx.IsOfType(err, bodies.ErrMemoryFull):
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.Overloaded, "the memory for the bodies of open requests is full")
	case ctx.Err() != nil:
		return nil, verdict.ContextEnded(ctx, verdict.MayHaveRun, "before the response was complete")
	}
	return nil, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the response is truncated: %v", err)
}

// checkResponse returns an error unless the status and headers form a usable
// response to the request with the given ID.
func checkResponse(response *http.Response, info ResponseInfo, id string) error {
	switch {
	// A faulty upstream may write an earlier response again, before that to this request.
	case info.ID != "" && info.ID != id:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the response, status %s, belongs to request %q", response.Status, info.ID)
	case info.ID == "" && (info.Misdirected || info.NotRun):
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the refusal, status %s, has no id", response.Status)
	case info.Misdirected:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamLeaving, "another upstream responds at this address")
	case info.NotRun:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "response status %s", response.Status)
	case isSuccess(response.StatusCode) && (!info.Signed || info.ID == ""):
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the successful response has no signature or id")
	case isSuccess(response.StatusCode) && response.Header.Get("Content-Encoding") != "":
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the response has a content encoding")
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
