// Package jsonc reads JSON with comments strictly and reports every fault with
// its place.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one thing wrong in a document.
type Fault struct {
	File string
	// Line and Column count from 1; zero when the place is not known.
	Line, Column int
	// Field is the path of the field, such as "listen.peers".
	Field string
	// Found is what stands there, Allowed what may.
	Found, Allowed string
}

// String returns the fault in one line, in the form that editors can follow.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: found %s; allowed: %s", f.File, f.Line, f.Column, f.Field, f.Found, f.Allowed)
}

// Faults are all the faults of a document. An empty list is no error.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads content into the struct that into points to. Unknown fields are
// faults. File is the name used in faults.
func Decode(file string, content []byte, into any) Faults {
	standard, err := hujson.Standardize(content)
	if err != nil {
		return Faults{{File: file, Line: 1, Column: 1, Field: "(document)", Found: err.Error(), Allowed: "JSON with comments"}}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		line, column := position(standard, int(decoder.InputOffset()))
		return Faults{{File: file, Line: line, Column: column, Field: "(document)", Found: err.Error(), Allowed: "the documented fields"}}
	}
	return nil
}

func position(content []byte, offset int) (line, column int) {
	before := content[:min(offset, len(content))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
