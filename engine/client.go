// Package engine is the client of model engines. It starts, resumes and cancels
// generations, which are streamed over SSE, and polls load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	neturl "net/url"
	"sync/atomic"
	"syscall"
	"time"

	"mangoloft/http1"
	"mangoloft/relay"
	"mangoloft/settings"
	"mangoloft/verdict"
)

const (
	// readTimeout is the maximum time without data, not even a heartbeat, after
	// which a connection counts as lost.
	readTimeout = 3 * time.Second
	// dialTimeout is the timeout for connecting to an engine.
	dialTimeout = 1 * time.Second
	// responseTimeout is the timeout for short requests: cancels and load reports.
	responseTimeout = 2 * time.Second
	// maxTokenBytes is the maximum size of one SSE event, and of the body of any
	// other response.
	maxTokenBytes = 64 << 10
	// maxResponseHeaderBytes is the maximum size of the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

// Client sends requests to all engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose connections fail after readTimeout without
// data.
func NewClient(s settings.Settings) *Client {
	dialer := s.Dialer(dialTimeout)
	return &Client{&http.Client{Transport: http1.Transport{Base: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &timeoutConn{conn}, nil
		},
		MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}}
}

// timeoutConn fails reads that block for longer than readTimeout. This also closes
// idle pooled connections, which a middlebox may have dropped silently.
type timeoutConn struct{ net.Conn }

func (c *timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write restarts the read timeout. Otherwise a request on a pooled connection
// would inherit the remainder of the deadline set while the connection was idle.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// startWire is the body of a request to start a generation.
type startWire struct {
	Generation string `json:"generation"`
	Reader     string `json:"reader"`
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
}

// tokenWire is the data of one SSE event.
type tokenWire struct {
	Generation string `json:"generation"`
	Index      int    `json:"index"`
	Text       string `json:"text"`
	Finish     string `json:"finish"`
}

// refusalWire is the body of an error response.
type refusalWire struct {
	Error string `json:"error"`
	// NotRun reports whether the engine guarantees that the request had no effect.
	NotRun bool `json:"not_run"`
	// Leaving reports whether the engine is draining and accepts no new work.
	Leaving bool `json:"leaving"`
}

// Start implements relay.Engine.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, spec relay.Spec) (relay.Feed, error) {
	body, err := json.Marshal(startWire(spec))
	if err != nil {
		return nil, verdict.Fail(verdict.NotRun, verdict.Internal, "encode the start request: %v", err)
	}
	return c.openFeed(ctx, http.MethodPost, url(addr, "/generations"), body)
}

// Resume implements relay.Engine.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, a relay.Attachment, next int) (relay.Feed, error) {
	return c.openFeed(ctx, http.MethodGet, generationURL(addr, a)+fmt.Sprintf("&from=%d", next), nil)
}

// Cancel implements relay.Engine.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, a relay.Attachment) (ended bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodDelete, generationURL(addr, a), nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return false, nil
	case response.StatusCode < http.StatusBadRequest || response.StatusCode == http.StatusNotFound:
		return true, nil
	}
	return false, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "cancel: response status %s", response.Status)
}

// generationURL returns the URL of a generation, with the reader in the query.
func generationURL(addr netip.AddrPort, a relay.Attachment) string {
	return url(addr, "/generations/"+neturl.PathEscape(a.Generation)+"?reader="+neturl.QueryEscape(a.Reader))
}

func url(addr netip.AddrPort, path string) string { return "http://" + addr.String() + path }

// send sends one request. Its error has verdict NotRun only if no connection was
// made, so that no part of the request was written.
func (c *Client) send(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Fail(verdict.NotRun, verdict.Internal, "create the request: %v", err)
	}
	// Without GetBody the transport can't resend the request.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "%v", err)
	}
	failure := verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "%v", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		failure = relay.MarkRefused(failure)
	}
	return nil, failure
}

// openFeed sends a request whose response is a stream of tokens.
func (c *Client) openFeed(ctx context.Context, method, target string, body []byte) (relay.Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, method, target, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, refusalError(response)
	}
	return &feed{cancel, response.Body}, nil
}

// refusalError returns the error for an error response.
func refusalError(response *http.Response) error {
	var wire refusalWire
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxTokenBytes))
	_ = json.Unmarshal(content, &wire) // Without a valid body, NotRun stays false.
	switch {
	case response.StatusCode == http.StatusNotFound:
		return verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "response status %s: %s", response.Status, wire.Error)
	case wire.NotRun && wire.Leaving:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamLeaving, "response status %s: %s", response.Status, wire.Error)
	case wire.NotRun:
		return verdict.Fail(verdict.NotRun, verdict.UpstreamRefused, "response status %s: %s", response.Status, wire.Error)
	default:
		return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "response status %s: %s", response.Status, wire.Error)
	}
}
