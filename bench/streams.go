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

// NewReaderClient returns a client whose connections fail after idleTimeout
// without data, as for a reader that requires heartbeats.
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

// ReadAll begins the stream at the first instance. Each time the connection is
// lost, it resumes at the next one, until the stream has ended.
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

// CheckCompleted returns an error unless the stream delivered exactly the number
// of tokens and ended regularly.
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

// CheckFailed returns an error unless the stream ended with an error event that
// has the reason and the right number of delivered tokens.
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

// checkReference returns an error unless the index in the last reference is the
// number of received tokens.
func (r *Reader) checkReference() error {
	parts := strings.Split(r.Reference, ".")
	if len(parts) < 2 || parts[len(parts)-2] != strconv.Itoa(len(r.Texts)) {
		return errorx.AssertionFailed.New("after %d tokens the reference is %q", len(r.Texts), r.Reference)
	}
	return nil
}

// Upstream returns the name of the engine that the last reference contains.
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

// EngineLoad is the part of an engine's load report that bench reads.
type EngineLoad struct {
	Running     int `json:"running"`
	Preemptions int `json:"preemptions"`
}

// Load reads the load report of an engine.
func (f *Fleet) Load(ctx context.Context, engine *Process) (EngineLoad, error) {
	var load EngineLoad
	content, err := f.Get(ctx, "http://"+engine.Addr.String()+"/load")
	if err != nil {
		return load, err
	}
	return load, json.Unmarshal(content, &load)
}
