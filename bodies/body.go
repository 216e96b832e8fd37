package bodies

import (
	"bytes"
	"io"

	"github.com/joomcode/errorx"
)

const (
	// firstChunkBytes is the size of the first chunk of a body of unknown length.
	firstChunkBytes = 4 << 10
	// chunkBytes is the size of the other chunks.
	chunkBytes = 32 << 10
)

var (
	bodyErrors = errorx.NewNamespace("bodies")
	// ErrTooLong means that a body is longer than allowed.
	ErrTooLong = bodyErrors.NewType("too_long")
	// ErrMemoryFull means that the memory for all bodies has no room for the rest of a body.
	ErrMemoryFull = bodyErrors.NewType("memory_full")
)

// Body is a complete body, in chunks. Unlike a buffer that grows, it never holds its content
// twice.
type Body [][]byte

// Read reads a body completely. length is its declared length in bytes, negative if it is
// unknown, and maxBytes the maximum length. The account holds the body's memory; after an
// error it holds nothing of it. The errors are ErrTooLong, ErrMemoryFull and those of r.
func Read(r io.Reader, length, maxBytes int64, account *Account) (Body, error) {
	var body Body
	var held int64
	for size := firstSize(length); ; size = chunkBytes {
		if body.Len() > maxBytes || length > maxBytes {
			account.Shrink(held)
			return nil, ErrTooLong.New("the body has more than %d bytes", maxBytes)
		}
		if !account.Grow(size) {
			account.Shrink(held)
			return nil, ErrMemoryFull.New("the memory for bodies is full")
		}
		held += size
		chunk, err := readChunk(r, size)
		body = append(body, chunk)
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			account.Shrink(held)
			return nil, err
		}
	}
}

// firstSize returns the size of the first chunk. One more byte than the body has lets the read
// that fills it reach the end.
func firstSize(length int64) int64 {
	if length < 0 {
		return firstChunkBytes
	}
	return min(length, chunkBytes-1) + 1
}

// readChunk reads a chunk until it is full or an error occurs, such as io.EOF.
func readChunk(r io.Reader, size int64) ([]byte, error) {
	chunk := make([]byte, 0, size)
	for len(chunk) < cap(chunk) {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// Len returns the length in bytes.
func (b Body) Len() int64 {
	var n int64
	for _, chunk := range b {
		n += int64(len(chunk))
	}
	return n
}

// Bytes returns the content, which must not be changed.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, chunk := range b {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
