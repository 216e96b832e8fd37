package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/joomcode/errorx"
)

// sseEvent is one server-sent event with its original bytes.
type sseEvent struct {
	raw []byte
	// id is the event's numeric ID, or noID.
	id int
	// isComment reports that it has neither an ID nor data, so that readers ignore it.
	isComment bool
}

const (
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// noID is the ID of an event without a numeric ID.
	noID = -1
)

var errEventTooLong = errorx.ExternalError.New("event exceeds the size limit")

// eventReader splits a stream into events. It returns only complete events,
// because an upstream may stop in the middle of one.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event, or io.EOF if the stream ended between two
// events.
func (e *eventReader) next() (sseEvent, error) {
	event := sseEvent{id: noID, isComment: true}
	for {
		line, err := e.lines.ReadSlice('\n')
		event.raw = append(event.raw, line...)
		// The rest of a line that exceeds the buffer is read later.
		if bytes.HasPrefix(line, []byte("data")) {
			event.isComment = false
		}
		if len(event.raw) > maxEventBytes {
			return sseEvent{}, errEventTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event.raw) > 0:
			return sseEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return sseEvent{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				event.id, event.isComment = id, false
			}
		}
	}
}
