package bodies_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"mangoloft/bodies"
)

var errBroken = errors.New("broken")

// TestRead checks that bodies are read unchanged, whatever their length, and that the account
// holds nothing after an error.
func TestRead(t *testing.T) {
	const maxBytes = 100_000
	long := strings.Repeat("0123456789", 9_000)
	read := func(r io.Reader, length int64) (string, *bodies.Account, error) {
		account := bodies.NewMemory(1 << 20).Open()
		body, err := bodies.Read(r, length, maxBytes, account)
		var out bytes.Buffer
		n, writeErr := body.WriteTo(&out)
		assert.NilError(t, writeErr)
		assert.Equal(t, n, body.Len())
		assert.Equal(t, string(body.Bytes()), out.String())
		return out.String(), account, err
	}
	for name, content := range map[string]string{"empty": "", "short": "ab", "long": long, "as long as allowed": strings.Repeat("x", maxBytes)} {
		for readerName, wrap := range map[string]func(io.Reader) io.Reader{
			"plain": func(r io.Reader) io.Reader { return r }, "end with the data": iotest.DataErrReader, "halves": iotest.HalfReader,
		} {
			for lengthName, length := range map[string]int64{"unknown length": -1, "known length": int64(len(content))} {
				t.Run(name+", "+readerName+", "+lengthName, func(t *testing.T) {
					got, _, err := read(wrap(strings.NewReader(content)), length)
					assert.NilError(t, err)
					assert.Assert(t, got == content)
				})
			}
		}
	}
	failures := map[string]struct {
		r      io.Reader
		length int64
		is     func(error) bool
	}{
		"too long":          {strings.NewReader(strings.Repeat("x", 2*maxBytes)), -1, func(err error) bool { return errorx.IsOfType(err, bodies.ErrTooLong) }},
		"declared too long": {strings.NewReader(""), 1e18, func(err error) bool { return errorx.IsOfType(err, bodies.ErrTooLong) }},
		"broken":            {io.MultiReader(strings.NewReader(long), iotest.ErrReader(errBroken)), -1, func(err error) bool { return errors.Is(err, errBroken) }},
		"truncated":         {io.MultiReader(strings.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
	}
	for name, test := range failures {
		t.Run(name, func(t *testing.T) {
			_, account, err := read(test.r, test.length)
			assert.Assert(t, test.is(err), "%v", err)
			assert.Assert(t, account.Reserve(1<<20), "memory is held after an error")
		})
	}
}

// TestBodiesLeaveRoom guards against bodies without end that leave no room for others.
func TestBodiesLeaveRoom(t *testing.T) {
	const limit, step = 1 << 20, 1 << 10
	for name, hogs := range map[string]int{"one": 1, "some": 10, "many": 200} {
		t.Run(name, func(t *testing.T) {
			memory := bodies.NewMemory(limit)
			accounts := make([]*bodies.Account, hogs)
			for i := range accounts {
				accounts[i] = memory.Open()
			}
			for grown := true; grown; {
				grown = false
				for _, account := range accounts {
					grown = account.Grow(step) || grown
				}
			}
			small := memory.Open()
			assert.Assert(t, small.Grow(limit/int64(2*(hogs+1))-step))
			for _, account := range accounts {
				account.Close()
			}
			small.Close()
			all := memory.Open()
			assert.Assert(t, all.Reserve(limit), "memory is held after the end")
			assert.Assert(t, !memory.Open().Reserve(1))
		})
	}
}
