package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/joomcode/errorx"
)

// sseEvent is one event of a stream, byte for byte.
type sseEvent struct {
	raw []byte
	// id is the event's number; -1 for a block without one.
	id int
}

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	noID          = -1
)

var errEventTooLong = errorx.ExternalError.New("an event is longer than the limit")

// eventReader splits a stream into events. It gives an event only once it is
// whole: an upstream may stop in the middle of one.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event. io.EOF means that the stream came to its end
// between two events.
func (e *eventReader) next() (sseEvent, error) {
	event := sseEvent{id: noID}
	for {
		line, err := e.lines.ReadSlice('\n')
		event.raw = append(event.raw, line...)
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
				event.id = id
			}
		}
	}
}
