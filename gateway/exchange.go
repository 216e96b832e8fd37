package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"mangoloft/verdict"
)

const (
	// dialLimit bounds the making of a connection to an upstream. A connection
	// between data centres takes some milliseconds; a lost opening packet is
	// sent again after a second, which is later than another upstream's answer.
	dialLimit = 300 * time.Millisecond
	// maxAnswerBytes bounds a plain answer, which is held whole.
	maxAnswerBytes = 8 << 20
	// keepAlive is how often a silent connection is probed: a peer that lost it
	// is found out after keepAliveProbes of them. A partition of some seconds
	// must not cost a stream that goes on after it.
	keepAlive       = 5 * time.Second
	keepAliveProbes = 4
)

// newTransport opens a connection for each request. A kept one may bring an
// older answer, may have been dropped without a word, and a request that is
// lost on it can't be told from one that ran.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
}

// outgoing is a request on its way to upstreams.
type outgoing struct {
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	body   []byte
}

// send sends the request once and returns the head of the answer, whose body
// must be closed. An error with verdict NotRun proves that nothing was sent.
func (g *Gateway) send(ctx context.Context, addr netip.AddrPort, out outgoing, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request := (&http.Request{
		Method: out.method, URL: targetURL(addr, out.target), Host: out.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(out.body)), Body: http.NoBody,
	}).WithContext(ctx)
	if len(out.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(out.body))
	}
	response, err := g.transport.RoundTrip(request)
	switch {
	case err != nil && ctx.Err() != nil:
		// The upstream did nothing wrong: nobody waits any more.
		return nil, gaveUp(ctx, connected.Load())
	case err != nil && !connected.Load():
		return nil, verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	case err != nil:
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "%v", err)
	}
	return response, nil
}

// gaveUp says why a send was ended from this side.
func gaveUp(ctx context.Context, connected bool) error {
	v := verdict.NotRun
	if connected {
		v = verdict.MayHaveRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Fail(v, verdict.WaitExpired, "the deadline passed while the upstream had the request")
	}
	return verdict.Fail(v, verdict.CallerGone, "the caller hung up")
}

// targetURL keeps the path byte for byte. The url package would write some of
// them another way.
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

// readWhole reads a plain answer to its end.
func readWhole(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the answer was cut short: %v", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer has more than %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// judge says what the head of an answer means for the request with the id.
func judge(response *http.Response, a ResponseInfo, id string) error {
	switch {
	case a.Misdirected:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamLeaving, "another upstream answers at the address")
	case a.NotRun:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "%s", response.Status)
	case a.ID != "" && a.ID != id:
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer is to request %q", a.ID)
	case isSuccess(response.StatusCode) && (!a.Signed || a.ID == ""):
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the success bears no signature or id")
	case isSuccess(response.StatusCode) && response.Header.Get("Content-Encoding") != "":
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer has a content encoding")
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
