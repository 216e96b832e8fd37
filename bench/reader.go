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

// Reader reads one stream over one or more consecutive connections.
type Reader struct {
	Credential string
	// RequestID is the request ID of the first connection.
	RequestID string
	// Reference is the last event ID. With it any entry instance can resume the
	// stream.
	Reference string
	// Texts are the texts of the received tokens.
	Texts []string
	// Done reports whether the stream has ended with [DONE].
	Done bool
	// Failure is the status and body of a refusal, or the data of the error event
	// that ended the stream.
	Failure string
	// refused reports whether the latest response was an error instead of a stream.
	refused bool
	// OnBegin, if set, is called for each event that has a reference but no token.
	// If it returns an error, the connection is closed.
	OnBegin func() error
	// RetryAfter is the Retry-After header of the latest refusal.
	RetryAfter time.Duration
	// OnToken, if set, is called after each token. If it returns an error, the
	// connection is closed.
	OnToken func() error
}

// Begin requests a completion from the instance and reads the stream to its end. An
// error means that the connection failed or was closed by a callback. If there is a
// reference, Resume can then continue the stream.
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

// Resume continues the stream on any instance, after the last received event.
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
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // Without the header there is no delay.
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
		if err := r.handleEvent(event); err != nil || r.Done || r.Failure != "" {
			return err
		}
	}
	return errorx.ExternalError.New("the connection ended before the end of the stream")
}

// Refused reports whether the latest response was an error instead of a stream.
func (r *Reader) Refused() bool { return r.refused }

// Delivered returns the number of delivered tokens in the error event.
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

// Reason returns the reason in a refusal, or "unreadable" if it has none.
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

// chunkWire is the part of an event's data that the reader uses.
type chunkWire struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (r *Reader) handleEvent(event sse.Event) error {
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

// Check returns an error unless all tokens belong to one generation of a simulated
// engine, each once and in order.
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
