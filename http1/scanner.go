package http1

// Scanner checks the heads of the responses on a connection for what net/http doesn't show: a
// line that begins with a blank. net/http appends it to the value of the field before, so a
// field whose name begins with a blank would change another one. RFC 9112, section 5.2, lets
// gateways refuse such lines. A Scanner is for a connection with one request; the zero value is
// ready for use.
type Scanner struct {
	// done reports whether the head of the final response has ended.
	done bool
	// inFields reports whether the status line has ended.
	inFields bool
	// length is the length of the line so far, and statusLine its beginning if it is the
	// status line.
	length     int
	statusLine [len("HTTP/1.1 100")]byte
}

// Scan checks the next bytes of a connection. It returns ErrMalformed if one of them begins such
// a line.
func (s *Scanner) Scan(data []byte) error {
	for _, b := range data {
		if s.done {
			return nil
		}
		switch {
		case b == '\r':
		case b == '\n':
			s.endLine()
		case s.inFields && s.length == 0 && (b == ' ' || b == '\t'):
			return ErrMalformed.New("a line of the head begins with a blank")
		default:
			if !s.inFields && s.length < len(s.statusLine) {
				s.statusLine[s.length] = b
			}
			s.length++
		}
	}
	return nil
}

// endLine ends a line. The head of an interim response is followed by another one.
func (s *Scanner) endLine() {
	endsHead := s.inFields && s.length == 0
	s.inFields, s.length = !endsHead, 0
	s.done = endsHead && !s.isInterim()
}

// isInterim reports whether the status is 1xx.
func (s *Scanner) isInterim() bool { return s.statusLine[len("HTTP/1.1 ")] == '1' }
