package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/tmaxmax/go-sse"
)

// Reader reads one stream, over as many connections as that takes.
type Reader struct {
	Credential string
	// RequestID is that of the first connection.
	RequestID string
	// Reference is the last event id.
	Reference string
	// Texts are the tokens that came.
	Texts []string
	// Done says that the stream came to its regular end.
	Done bool
	// Failure is the body of a refusal, or the explicit final event of a stream
	// that failed.
	Failure string
	// refused says that Failure came in place of a stream.
	refused bool
	// OnBegin, when set, is called when a reference comes without a token; an
	// error hangs up.
	OnBegin func() error
	// RetryAfter is what an answer that refuses asks to wait.
	RetryAfter time.Duration
	// OnToken, when set, is called after each token; an error hangs up.
	OnToken func() error
}

// Begin asks the instance for a completion and reads until its end. An error
// means that the connection was lost; Resume then goes on.
func (r *Reader) Begin(ctx context.Context, client *http.Client, addr netip.AddrPort, class, prompt string) error {
	body, err := json.Marshal(map[string]any{"model": class, "prompt": prompt, "stream": true})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return r.read(client, request)
}

// Resume goes on reading at any instance.
func (r *Reader) Resume(ctx context.Context, client *http.Client, addr netip.AddrPort) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/completions", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Last-Event-ID", r.Reference)
	return r.read(client, request)
}

func (r *Reader) read(client *http.Client, request *http.Request) error {
	request.Header.Set("Authorization", "Bearer "+r.Credential)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if r.RequestID == "" {
		r.RequestID = response.Header.Get("X-Request-Id")
	}
	r.refused = response.StatusCode != http.StatusOK
	if r.refused {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // None is no wait.
		r.RetryAfter = time.Duration(seconds) * time.Second
		content, err := io.ReadAll(response.Body)
		r.Failure = response.Status + " " + string(content)
		return err
	}
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return err
		}
		if event.LastEventID != "" {
			r.Reference = event.LastEventID
		}
		if err := r.take(event); err != nil || r.Done || r.Failure != "" {
			return err
		}
	}
	return errorx.ExternalError.New("the stream ended early")
}

// Refused reports whether the latest connection brought a refusal in place of
// a stream.
func (r *Reader) Refused() bool { return r.refused }

// Delivered returns the count of tokens that the explicit final event names.
func (r *Reader) Delivered() (count int, ok bool) {
	var wire struct {
		Error struct {
			Delivered *int `json:"delivered"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(r.Failure), &wire) != nil || wire.Error.Delivered == nil {
		return 0, false
	}
	return *wire.Error.Delivered, true
}

// Reason returns the reason of a refusal.
func (r *Reader) Reason() string {
	var wire struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	_, body, _ := strings.Cut(r.Failure, "{")
	if json.Unmarshal([]byte("{"+body), &wire) != nil {
		return "unreadable"
	}
	return wire.Error.Reason
}

// chunkWire is what the reader looks at of an event.
type chunkWire struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (r *Reader) take(event sse.Event) error {
	switch {
	case event.Type == "error":
		r.Failure = event.Data
		return nil
	case event.Data == "[DONE]":
		r.Done = true
		return nil
	case event.Data == "":
		if r.OnBegin != nil {
			return r.OnBegin()
		}
		return nil
	}
	var chunk chunkWire
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) != 1 || chunk.Choices[0].FinishReason != nil {
		return nil
	}
	r.Texts = append(r.Texts, chunk.Choices[0].Text)
	if r.OnToken != nil {
		return r.OnToken()
	}
	return nil
}

// Check returns what is wrong with the tokens: they must be those of one
// generation of the stand-in engine, each once and in order.
func (r *Reader) Check() error {
	generation := ""
	for i, text := range r.Texts {
		name, index, ok := strings.Cut(strings.TrimPrefix(text, " "), "/")
		if generation == "" {
			generation = name
		}
		if !ok || name != generation || index != fmt.Sprint(i) {
			return errorx.AssertionFailed.New("token %d is %q in a stream of generation %s", i, text, generation)
		}
	}
	return nil
}
