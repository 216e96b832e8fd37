package http1_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"mangoloft/http1"
	"mangoloft/standin"
)

// TestResponses guards against responses that are not valid HTTP/1.1 and pass for an answer, and
// against refusing valid ones.
func TestResponses(t *testing.T) {
	const (
		body = "Content-Length: 2\r\n\r\nab"
		// maxErrorBytes is the maximum length of an error, which is logged.
		maxErrorBytes = 200
	)
	tests := map[string]struct {
		answer string
		valid  bool
	}{
		"status 200":           {"HTTP/1.1 200 OK\r\n" + body, true},
		"status 599":           {"HTTP/1.1 599 no\r\n" + body, true},
		"no reason phrase":     {"HTTP/1.1 200\r\n" + body, true},
		"HTTP/1.0":             {"HTTP/1.0 200 OK\r\n\r\nab", true},
		"after an interim one": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + body, true},
		"status 000":           {"HTTP/1.1 000 no\r\n" + body, false},
		"status 099":           {"HTTP/1.1 099 no\r\n" + body, false},
		"status +20":           {"HTTP/1.1 +20 no\r\n" + body, false},
		"status 101":           {"HTTP/1.1 101 Switching Protocols\r\n\r\nab", false},
		"status 600":           {"HTTP/1.1 600 no\r\n" + body, false},
		"status 999":           {"HTTP/1.1 999 no\r\n" + body, false},
		"status 000, long":     {"HTTP/1.1 000 " + strings.Repeat("x", 10*maxErrorBytes) + "\r\n" + body, false},
		"HTTP/2.0":             {"HTTP/2.0 200 OK\r\n" + body, false},

		"empty value":                 {"HTTP/1.1 200 OK\r\nX:\r\n" + body, true},
		"any sign of a name":          {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: x\r\n" + body, true},
		"trailer":                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: y\r\n\r\n", true},
		"blank in a name":             {"HTTP/1.1 200 OK\r\nX y: z\r\n" + body, false},
		"long name with a blank":      {"HTTP/1.1 200 OK\r\nX " + strings.Repeat("x", 10*maxErrorBytes) + ": z\r\n" + body, false},
		"blank before a colon":        {"HTTP/1.1 200 OK\r\nX : z\r\n" + body, false},
		"length with a blank":         {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab", false},
		"blank in a trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX y: z\r\n\r\n", false},
		"blank in a trailer's length": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nContent-Length : 2\r\n\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.RawResponse(test.answer))
			defer server.Close()
			request, err := http.NewRequest(http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			var content []byte
			response, err := http1.Transport{Base: &http.Transport{DisableKeepAlives: true}}.RoundTrip(request)
			if err == nil {
				defer response.Body.Close()
				content, err = io.ReadAll(response.Body)
			}
			if !test.valid {
				assert.Assert(t, errorx.IsOfType(err, http1.ErrMalformed), "%v", err)
				assert.Assert(t, len(err.Error()) < maxErrorBytes, "the error has %d bytes", len(err.Error()))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(content), "ab")
		})
	}
}

// TestScanner guards against a line that begins with a blank and changes the field before it,
// wherever the reads split the head, and against refusing blanks elsewhere.
func TestScanner(t *testing.T) {
	tests := map[string]struct {
		content string
		valid   bool
	}{
		"response":                       {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n body", true},
		"lines without carriage returns": {"HTTP/1.1 200 OK\nX: y\n\n body", true},
		"no fields":                      {"HTTP/1.1 200 OK\r\n\r\n body", true},
		"after an interim response":      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n body\r\n z", true},
		"blank before a name":            {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nab", false},
		"blank as a name":                {"HTTP/1.1 200 OK\r\nX: y\r\n : z\r\n\r\n", false},
		"tab before a name":              {"HTTP/1.1 200 OK\nX: y\n\tZ: z\n\n", false},
		"blank before the first name":    {"HTTP/1.1 200 OK\r\n X: y\r\n\r\n", false},
		"blank in an interim response":   {"HTTP/1.1 103 x\r\nX: y\r\n z\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		"blank after one":                {"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n", false},
		"status line only":               {"\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.content); size++ {
				var s http1.Scanner
				var err error
				for part := range slices.Chunk([]byte(test.content), size) {
					if err == nil {
						err = s.Scan(part)
					}
				}
				assert.Equal(t, err == nil, test.valid, "parts of %d bytes: %v", size, err)
			}
		})
	}
}
