// Package jsonc is a strict decoder for JSON with comments. It reports all faults of a
// document in one pass, each with its position.
package jsonc

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxBrackets is the maximum number of opening brackets in a document. The parser
// recurses once for each level, and a stack overflow ends the process.
const maxBrackets = 1 << 16

// rootPath is the path of the whole document, which is rootField in faults.
const (
	rootPath  = ""
	rootField = "(document)"
)

// Document is a decoded document with the positions of its fields, so that the caller
// can add faults with positions when it checks the values.
type Document struct {
	file    string
	content []byte
	// offsets maps each path to the offset of its value.
	offsets map[string]int
	// lineEnds contains the offset of the end of each line. It is filled on first use.
	lineEnds []int
	faults   Faults
	// faulty contains the paths of values with a fault.
	faulty map[string]bool
	// mismatched contains the paths of values that don't fit the types of their fields.
	mismatched map[string]bool
	// hidden contains the paths of fields whose values must not appear in faults.
	hidden []string
}

// Decode decodes content into the struct that into points to, and returns all faults.
// file is the file name in the faults. Fields without a fault are set even if other
// fields have one.
func Decode(file string, content []byte, into any) Faults {
	return DecodeDocument(file, content, into).Faults()
}

// DecodeDocument is Decode for callers that also check the values of the fields.
func DecodeDocument(file string, content []byte, into any) *Document {
	d := &Document{file: file, content: content, offsets: map[string]int{}, faulty: map[string]bool{}, mismatched: map[string]bool{}}
	if offset := invalidUTF8(content); offset >= 0 {
		d.addFaultAt(offset, rootField, "bytes that are not UTF-8", "text in UTF-8")
		return d
	}
	if n := bytes.Count(content, []byte("[")) + bytes.Count(content, []byte("{")); n > maxBrackets {
		d.addFaultAt(0, rootField, fmt.Sprint(n, " opening brackets"), fmt.Sprint("at most ", maxBrackets))
		return d
	}
	tree, err := hujson.Parse(content)
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	decodeInto(d, tree, into)
	return d
}

// Members splits the object in content into one document for each member, by name. The
// text before the member is replaced by blanks, so that the positions of faults are
// those in content.
func Members(file string, content []byte) (map[string][]byte, Faults) {
	members := map[string]span{}
	d := DecodeDocument(file, content, &members)
	parts := map[string][]byte{}
	for name, valueSpan := range members {
		part := blank(content[:valueSpan.end])
		copy(part[valueSpan.start:], content[valueSpan.start:valueSpan.end])
		parts[name] = part
	}
	return parts, d.Faults()
}

// span contains the start and end offsets of a value in its document.
type span struct{ start, end int }

// blank returns content with every byte except line ends replaced by a blank.
func blank(content []byte) []byte {
	blanks := bytes.Repeat([]byte(" "), len(content))
	for i, b := range content {
		if b == '\n' {
			blanks[i] = b
		}
	}
	return blanks
}

// invalidUTF8 returns the offset of the first byte that is not UTF-8, or -1.
func invalidUTF8(content []byte) int {
	for offset := 0; offset < len(content); {
		r, size := utf8.DecodeRune(content[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// addSyntaxFault adds a fault for the parser's error. It parses the position from the
// error's text, because the error has no other form of it.
func (d *Document) addSyntaxFault(err error) {
	message := err.Error()
	fault := Fault{File: d.file, Line: 1, Column: 1, Field: rootField, Allowed: "JSON with comments and trailing commas"}
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &fault.Line, &fault.Column); scanErr == nil {
		_, rest, _ := strings.Cut(message, ", column ")
		_, message, _ = strings.Cut(rest, ": ")
	}
	fault.Found = message
	d.add(fault)
}

// Faults returns all faults found so far, sorted by position.
func (d *Document) Faults() Faults {
	d.faults.Sort()
	return d.faults
}

// Has reports whether the document contains a value at the path.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// FoundText returns the text of a fault's Found field: shown if the document contains a
// value at the path, and otherwise "nothing" instead of the zero value.
func (d *Document) FoundText(path, shown string) string {
	if d.Has(path) {
		return shown
	}
	return "nothing"
}

// Position returns the line and column of the value at the path, such as
// "listen.peers" or "keys[1].id". The position of a missing value is the
// position of the innermost existing value that would contain it.
func (d *Document) Position(path string) (line, column int) {
	for {
		if offset, ok := d.offsets[path]; ok {
			return d.lineAndColumn(offset)
		}
		if path == rootPath {
			return 1, 1
		}
		path = parent(path)
	}
}

// parent returns the path of the value that contains the one at path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// AddFault adds a fault of the value at the path. It does nothing if the value already
// has a fault, or is part of a value that could not be decoded.
func (d *Document) AddFault(path, found, allowed string) {
	if d.faulty[path] || d.faulty[rootField] {
		return
	}
	for ancestor := path; ancestor != rootPath; ancestor = parent(ancestor) {
		if d.mismatched[ancestor] {
			return
		}
	}
	line, column := d.Position(path)
	d.add(Fault{d.file, line, column, path, found, allowed})
}

func (d *Document) addFaultAt(offset int, field, found, allowed string) {
	line, column := d.lineAndColumn(offset)
	d.add(Fault{d.file, line, column, field, found, allowed})
}

func (d *Document) add(f Fault) {
	d.faults = append(d.faults, f)
	d.faulty[f.Field] = true
}

func (d *Document) lineAndColumn(offset int) (line, column int) {
	if d.lineEnds == nil {
		d.lineEnds = []int{}
		for i, b := range d.content {
			if b == '\n' {
				d.lineEnds = append(d.lineEnds, i)
			}
		}
	}
	before, _ := slices.BinarySearch(d.lineEnds, offset)
	if before == 0 {
		return 1, offset + 1
	}
	return before + 1, offset - d.lineEnds[before-1]
}
