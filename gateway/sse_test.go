package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventReader(t *testing.T) {
	tests := map[string]struct {
		content string
		ids     []int
		end     error
	}{
		"events":                    {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int{1, 2}, io.EOF},
		"CRLF line ends":            {"id: 1\r\ndata: a\r\n\r\n", []int{1}, io.EOF},
		"field before the id":       {"weight-versions: 3\nid: 7\n\n", []int{7}, io.EOF},
		"no id":                     {"data: a\n\n", []int{noID}, io.EOF},
		"truncated line":            {"id: 1\n\nid: 2\ndat", []int{1}, io.ErrUnexpectedEOF},
		"truncated event":           {"id: 1\n\nid: 2\n", []int{1}, io.ErrUnexpectedEOF},
		"long line":                 {"id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n", []int{1}, io.EOF},
		"event over the size limit": {"id: 1\ndata: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, errEventTooLong},
		"empty stream":              {"", nil, io.EOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			events := newEventReader(strings.NewReader(test.content))
			var ids []int
			var raw strings.Builder
			for {
				event, err := events.next()
				if err != nil {
					assert.Assert(t, errors.Is(err, test.end), "%v", err)
					break
				}
				ids = append(ids, event.id)
				raw.Write(event.raw)
			}
			assert.DeepEqual(t, ids, test.ids)
			assert.Assert(t, strings.HasPrefix(test.content, raw.String()), "the events must be the bytes of the stream")
		})
	}
}

// FuzzEventReader checks that, for any input, reading terminates and the events
// are the bytes of the input in order.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("id: 99999999999999999999\n\n\n\n\r\n")
	f.Fuzz(func(t *testing.T, content string) {
		events := newEventReader(strings.NewReader(content))
		read := ""
		for {
			event, err := events.next()
			if err != nil {
				break
			}
			read += string(event.raw)
		}
		assert.Assert(t, strings.HasPrefix(content, read))
	})
}
