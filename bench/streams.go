package bench

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// NewReaderClient returns a client for a reader that requires heartbeats: its
// connections fail after idleTimeout without data.
func NewReaderClient(idleTimeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: idleTimeout}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &idleTimeoutConn{conn, idleTimeout}, nil
		},
	}}
}

// idleTimeoutConn is a connection whose reads fail after idleTimeout without data.
type idleTimeoutConn struct {
	net.Conn
	idleTimeout time.Duration
}

func (c *idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// ReadAll begins the stream on the first instance. After each connection failure
// it resumes the stream on the next instance, until the stream has ended.
func (r *Reader) ReadAll(ctx context.Context, client *http.Client, instances []*Process, prompt string) error {
	err := r.Begin(ctx, client, instances[0].Addr, DraftClass, prompt)
	for _, instance := range instances[1:] {
		if err == nil {
			break
		}
		if r.Reference == "" {
			return errorx.ExternalError.Wrap(err, "the connection ended before the first event ID")
		}
		err = r.Resume(ctx, client, instance.Addr)
	}
	return err
}

// finalWire is the data of the error event that ends a failed stream.
type finalWire struct {
	Error struct {
		Reason    string `json:"reason"`
		Delivered *int   `json:"delivered"`
	} `json:"error"`
}

// CheckCompleted returns an error unless the stream ended with [DONE] after exactly
// this number of tokens.
func (r *Reader) CheckCompleted(tokens int) error {
	if err := r.Check(); err != nil {
		return err
	}
	if !r.Done || r.Failure != "" {
		return errorx.AssertionFailed.New("the stream did not end regularly after %d tokens: %q", len(r.Texts), r.Failure)
	}
	if len(r.Texts) != tokens {
		return errorx.AssertionFailed.New("got %d tokens, want %d", len(r.Texts), tokens)
	}
	return r.checkReference()
}

// CheckFailed returns an error unless the stream ended with an error event with
// the reason and the correct number of delivered tokens.
func (r *Reader) CheckFailed(reason string) error {
	if err := r.Check(); err != nil {
		return err
	}
	var final finalWire
	if err := json.Unmarshal([]byte(r.Failure), &final); err != nil || r.Done {
		return errorx.AssertionFailed.New("want an error event, got %q, regular end %t", r.Failure, r.Done)
	}
	if final.Error.Reason != reason {
		return errorx.AssertionFailed.New("got reason %s, want %s: %s", final.Error.Reason, reason, r.Failure)
	}
	if final.Error.Delivered == nil || *final.Error.Delivered != len(r.Texts) {
		return errorx.AssertionFailed.New("the error event disagrees with %d received tokens: %s", len(r.Texts), r.Failure)
	}
	return r.checkReference()
}

// checkReference returns an error unless the index in the last reference equals
// the number of received tokens.
func (r *Reader) checkReference() error {
	parts := strings.Split(r.Reference, ".")
	if len(parts) < 2 || parts[len(parts)-2] != strconv.Itoa(len(r.Texts)) {
		return errorx.AssertionFailed.New("after %d tokens the reference is %q", len(r.Texts), r.Reference)
	}
	return nil
}

// Upstream returns the name of the engine in the last reference, or "" if there is
// none.
func (r *Reader) Upstream() string {
	for part := range strings.SplitSeq(r.Reference, ".") {
		content, err := base64.RawURLEncoding.DecodeString(part)
		if err != nil {
			continue
		}
		var wire struct {
			Upstream string `json:"u"`
		}
		if json.Unmarshal(content, &wire) == nil && wire.Upstream != "" {
			return wire.Upstream
		}
	}
	return ""
}

// EngineLoad contains the fields of an engine's load report that bench uses.
type EngineLoad struct {
	Running     int `json:"running"`
	Preemptions int `json:"preemptions"`
}

// Load reads the load report of an engine.
func (f *Fleet) Load(ctx context.Context, engine *Process) (EngineLoad, error) {
	var report EngineLoad
	content, err := f.Get(ctx, "http://"+engine.Addr.String()+"/load")
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(content, &report)
}
