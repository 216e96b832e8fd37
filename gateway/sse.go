package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/joomcode/errorx"

	"mangoloft/bodies"
)

// sseEvent is one server-sent event with its original bytes.
type sseEvent struct {
	raw []byte
	// id is the event's numeric ID, or noID.
	id int
	// isComment reports that it has neither an ID nor data, so that readers ignore it.
	isComment bool
	// hasContent reports whether it has a line that is neither a comment nor the reconnection
	// time.
	hasContent bool
	// held is the memory in bytes that the event holds.
	held int64
}

const (
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// minEventBytes is the size for which an event has room at first.
	minEventBytes = 128
	// lineBufferBytes is the size of the buffer from which lines are read.
	lineBufferBytes = 2 << 10
	// noID is the ID of an event without a numeric ID.
	noID = -1
)

var errEventTooLong = errorx.ExternalError.New("event exceeds the size limit")

// eventReader splits a stream into events. It returns only complete events,
// because an upstream may stop in the middle of one.
type eventReader struct {
	lines *bufio.Reader
	// memory holds the events until they are forwarded.
	memory *bodies.Account
}

func newEventReader(r io.Reader, memory *bodies.Account) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, lineBufferBytes), memory}
}

// next returns the next event, or io.EOF if the stream ended between two
// events. The caller must return what the event holds to the memory.
func (e *eventReader) next() (sseEvent, error) {
	event := sseEvent{id: noID, isComment: true}
	lineStart := 0
	for {
		part, err := e.lines.ReadSlice('\n')
		if !e.grow(&event, len(part)) {
			return sseEvent{}, bodies.ErrMemoryFull.New("the memory for events is full")
		}
		event.raw = append(event.raw, part...)
		if len(event.raw) > maxEventBytes {
			return sseEvent{}, errEventTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			// The rest of the line follows.
			continue
		case err == io.EOF && len(event.raw) > 0:
			return sseEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return sseEvent{}, err
		}
		line := bytes.TrimRight(event.raw[lineStart:], "\r\n")
		lineStart = len(event.raw)
		if len(line) == 0 {
			return event, nil
		}
		if bytes.HasPrefix(line, []byte("data")) {
			event.isComment = false
		}
		if line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			event.hasContent = true
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				event.id, event.isComment = id, false
			}
		}
	}
}

// grow makes room in an event for n more bytes and reports whether the memory has it. While the
// event is copied, the memory holds it twice.
func (e *eventReader) grow(event *sseEvent, n int) bool {
	needed := len(event.raw) + n
	if needed <= cap(event.raw) {
		return true
	}
	grown := int64(max(needed, 2*cap(event.raw), minEventBytes))
	if !e.memory.Grow(grown) {
		return false
	}
	raw := make([]byte, len(event.raw), grown)
	copy(raw, event.raw)
	e.memory.Shrink(event.held)
	event.raw, event.held = raw, grown
	return true
}
