package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has seen of the answer to one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// events are the IDs of the events of a stream, in order.
	events []int
	// complete reports whether the answer ended as complete, and err why it did not.
	complete bool
	err      error
	took     time.Duration
}

// signed reports whether the answer bears a server's signature.
func (a answer) signed() bool { return a.header.Get("Server-Signature") != "" }

// isUnsignedSuccess reports whether the client got a complete success without a server's
// signature.
func (a answer) isUnsignedSuccess() bool {
	return a.status >= 200 && a.status < 300 && a.complete && !a.signed()
}

// text describes the answer for the record.
func (a answer) text() string {
	return fmt.Sprintf("status %d, signature %q, %d events, complete %v, after %v, error %v", a.status, a.header.Get("Server-Signature"), len(a.events), a.complete, a.took.Round(time.Millisecond), a.err)
}

// call is one attempt of a client.
type call struct {
	id, method, path, body string
	// deadline is the time that the client waits.
	deadline time.Duration
	header   map[string]string
}

// stream returns an attempt at a stream with a number of events.
func (r *rig) stream(route string, events int, deadline time.Duration) call {
	return call{
		id: r.newID(route + "-"), method: http.MethodPost, path: "/" + route + "/x", body: "prompt", deadline: deadline,
		header: map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("200,%d", events*eventTokens), "Prefix-Hash": "5c1e07a2:150,91bd3f06:50"},
	}
}

// sendAndRecord sends an attempt on a new connection and records its answer.
func (r *rig) sendAndRecord(ctx context.Context, n *node, c call) answer {
	r.record("client sends %s to %s, last event %q", c.id, n.name, c.header["Last-Event-Id"])
	a := send(ctx, newConnection(), n.callers, c)
	r.record("client got %s: %s", c.id, a.text())
	return a
}

// newConnection returns a transport that opens a connection for each attempt.
func newConnection() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true}
}

// send sends an attempt and reads the answer. A client closes its connection at its deadline.
func send(ctx context.Context, transport *http.Transport, to netip.AddrPort, c call) answer {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	a := answer{id: c.id}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+to.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = hostName
	request.Header.Set("Attempt-Id", c.id)
	request.Header.Set("Credential", apiKey)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err, a.took = err, time.Since(startedAt)
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = readBody(response.Body, func(id int) { a.events = append(a.events, id) })
	a.complete, a.took = a.err == nil, time.Since(startedAt)
	return a
}

// readBody reads a body and reports the IDs of its complete events.
func readBody(body io.Reader, event func(id int)) (string, error) {
	var all strings.Builder
	lines := bufio.NewReader(body)
	id, hasID := 0, false
	for {
		line, err := lines.ReadString('\n')
		all.WriteString(line)
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			n, parseErr := strconv.Atoi(strings.TrimSpace(value))
			id, hasID = n, parseErr == nil
		}
		if line == "\n" && hasID {
			event(id)
			hasID = false
		}
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
	}
}
