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

// NewReaderClient returns a client whose connections fail when they are silent
// for the time: a reader's side of the heartbeats.
func NewReaderClient(silence time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: silence}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &impatientConn{conn, silence}, nil
		},
	}}
}

type impatientConn struct {
	net.Conn
	silence time.Duration
}

func (c *impatientConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// ReadAll begins at the first instance and goes on at the next, and the next,
// each time the connection is lost, until the stream ends.
func (r *Reader) ReadAll(ctx context.Context, client *http.Client, instances []*Process, prompt string) error {
	err := r.Begin(ctx, client, instances[0].Addr, DraftClass, prompt)
	for _, instance := range instances[1:] {
		if err == nil {
			break
		}
		if r.Reference == "" {
			return errorx.ExternalError.Wrap(err, "the connection ended before the stream had a reference")
		}
		err = r.Resume(ctx, client, instance.Addr)
	}
	return err
}

// finalWire is the explicit final event of a stream that failed.
type finalWire struct {
	Error struct {
		Reason    string `json:"reason"`
		Delivered *int   `json:"delivered"`
	} `json:"error"`
}

// CheckCompleted returns what is wrong with the history of a stream that should
// have brought the number of tokens and its regular end.
func (r *Reader) CheckCompleted(tokens int) error {
	if err := r.Check(); err != nil {
		return err
	}
	if !r.Done || r.Failure != "" {
		return errorx.AssertionFailed.New("no regular end after %d tokens: %q", len(r.Texts), r.Failure)
	}
	if len(r.Texts) != tokens {
		return errorx.AssertionFailed.New("%d tokens came, not %d", len(r.Texts), tokens)
	}
	return r.checkReference()
}

// CheckFailed returns what is wrong with the history of a stream that should
// have ended by an explicit final event for the reason.
func (r *Reader) CheckFailed(reason string) error {
	if err := r.Check(); err != nil {
		return err
	}
	var final finalWire
	if err := json.Unmarshal([]byte(r.Failure), &final); err != nil || r.Done {
		return errorx.AssertionFailed.New("no explicit final event but %q, regular end %t", r.Failure, r.Done)
	}
	if final.Error.Reason != reason {
		return errorx.AssertionFailed.New("the reason is %s, not %s: %s", final.Error.Reason, reason, r.Failure)
	}
	if final.Error.Delivered == nil || *final.Error.Delivered != len(r.Texts) {
		return errorx.AssertionFailed.New("%d tokens came: %s", len(r.Texts), r.Failure)
	}
	return r.checkReference()
}

// checkReference compares the index in the last reference with the tokens.
func (r *Reader) checkReference() error {
	parts := strings.Split(r.Reference, ".")
	if len(parts) < 2 || parts[len(parts)-2] != strconv.Itoa(len(r.Texts)) {
		return errorx.AssertionFailed.New("after %d tokens the reference is %q", len(r.Texts), r.Reference)
	}
	return nil
}

// Upstream returns the name of the engine in the last reference.
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

// Load is the part of an engine's load report that the bench looks at.
type Load struct {
	Running     int `json:"running"`
	Preemptions int `json:"preemptions"`
}

// Load asks an engine for its load.
func (f *Fleet) Load(ctx context.Context, engine *Process) (Load, error) {
	var load Load
	content, err := f.Get(ctx, "http://"+engine.Addr.String()+"/load")
	if err != nil {
		return load, err
	}
	return load, json.Unmarshal(content, &load)
}
