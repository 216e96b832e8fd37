package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	File string
	// Line and Column count from 1. Columns are counted in bytes.
	Line, Column int
	// Field is the path of the field, such as "keys[1].secret_file".
	Field string
	// Found describes the value in the document, Allowed the permitted values.
	Found, Allowed string
}

// String returns the fault in one line, in a form that editors can link to the
// position.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: found %s; allowed: %s", f.File, f.Line, f.Column, f.Field, f.Found, f.Allowed)
}

// Faults contains all faults of a document. It is empty if the document is valid.
type Faults []Fault

// Error implements error. The text has one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the faults by file, line and column, so that every instance reports the
// same text for the same document.
func (f Faults) Sort() {
	slices.SortFunc(f, func(a, b Fault) int {
		return cmp.Or(
			strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Field, b.Field), strings.Compare(a.Found, b.Found),
		)
	})
}
