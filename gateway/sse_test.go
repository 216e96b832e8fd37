package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/bodies"
)

func TestEventReader(t *testing.T) {
	tests := map[string]struct {
		content string
		ids     []int
		end     error
		// comments is the number of events without ID and data.
		comments int
	}{
		"events":                     {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int{1, 2}, io.EOF, 0},
		"CRLF line ends":             {"id: 1\r\ndata: a\r\n\r\n", []int{1}, io.EOF, 0},
		"field before the id":        {"weight-versions: 3\nid: 7\n\n", []int{7}, io.EOF, 0},
		"no id":                      {"data: a\n\n", []int{noID}, io.EOF, 0},
		"truncated line":             {"id: 1\n\nid: 2\ndat", []int{1}, io.ErrUnexpectedEOF, 0},
		"truncated event":            {"id: 1\n\nid: 2\n", []int{1}, io.ErrUnexpectedEOF, 0},
		"long line":                  {"id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n", []int{1}, io.EOF, 0},
		"event over the size limit":  {"id: 1\ndata: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, errEventTooLong, 0},
		"comment":                    {": x\n\n: y\n\nid: 1\n\n", []int{noID, noID, 1}, io.EOF, 2},
		"long line without id":       {"data: " + strings.Repeat("x", 9000) + "\n\n", []int{noID}, io.EOF, 0},
		"empty stream":               {"", nil, io.EOF, 0},
		"line that fills the buffer": {"data: " + strings.Repeat("x", lineBufferBytes-len("data: ")) + "\nid: 1\n\n", []int{1}, io.EOF, 0},
		"id that fills the buffer":   {"id:" + strings.Repeat(" ", lineBufferBytes-len("id:")) + "7\n\n", []int{7}, io.EOF, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			events := newEventReader(strings.NewReader(test.content), bodies.NewMemory(4*maxEventBytes).Open())
			var ids []int
			var raw strings.Builder
			comments := 0
			for {
				event, err := events.next()
				if err != nil {
					assert.Assert(t, errors.Is(err, test.end), "%v", err)
					break
				}
				ids = append(ids, event.id)
				if event.isComment {
					comments++
				}
				raw.Write(event.raw)
			}
			assert.DeepEqual(t, ids, test.ids)
			assert.Equal(t, comments, test.comments)
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
		events := newEventReader(strings.NewReader(content), bodies.NewMemory(4*maxEventBytes).Open())
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
