// Package jsonc reads JSON with comments strictly and reports every fault of a
// document at once, each with its place.
package jsonc

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxBrackets bounds the opening brackets of a document. The parser recurses
// once for each level, and a stack that overflows ends the process.
const maxBrackets = 1 << 16

// root is the path of the whole document, shown as rootField in faults.
const (
	root      = ""
	rootField = "(document)"
)

// Document is a decoded document that knows where its fields stand, so that
// checks of their meaning can report a place too.
type Document struct {
	file    string
	content []byte
	// offsets holds where the value of each path begins.
	offsets map[string]int
	// lineEnds holds the offset of each line's end, once a place was asked for.
	lineEnds []int
	faults   Faults
	faulty   map[string]bool
	// unread holds the paths of values that don't fit their fields.
	unread map[string]bool
	// hidden holds the paths of fields whose values are not shown.
	hidden []string
}

// Decode reads content into the struct that into points to, and returns every
// fault. File is the name used in faults. Fields that have no fault are set
// even when others have one.
func Decode(file string, content []byte, into any) Faults {
	return DecodeDocument(file, content, into).Faults()
}

// DecodeDocument is Decode for callers that go on to check what the fields mean.
func DecodeDocument(file string, content []byte, into any) *Document {
	d := &Document{file: file, content: content, offsets: map[string]int{}, faulty: map[string]bool{}, unread: map[string]bool{}}
	if at := invalidUTF8(content); at >= 0 {
		d.faultAt(at, rootField, "bytes that are not UTF-8", "text in UTF-8")
		return d
	}
	if n := bytes.Count(content, []byte("[")) + bytes.Count(content, []byte("{")); n > maxBrackets {
		d.faultAt(0, rootField, fmt.Sprint(n, " opening brackets"), fmt.Sprint("at most ", maxBrackets))
		return d
	}
	tree, err := hujson.Parse(content)
	if err != nil {
		d.syntaxFault(err)
		return d
	}
	decodeInto(d, tree, into)
	return d
}

// Members returns the members of the object in content as documents of their
// own, by name. Blanks stand in each for what goes before it, so that its
// faults have their place in content.
func Members(file string, content []byte) (map[string][]byte, Faults) {
	members := map[string]span{}
	d := DecodeDocument(file, content, &members)
	parts := map[string][]byte{}
	for name, at := range members {
		part := blank(content[:at.end])
		copy(part[at.start:], content[at.start:at.end])
		parts[name] = part
	}
	return parts, d.Faults()
}

// span is where a value stands in its document.
type span struct{ start, end int }

// blank returns content with all but its line ends blanked out.
func blank(content []byte) []byte {
	blanks := bytes.Repeat([]byte(" "), len(content))
	for i, b := range content {
		if b == '\n' {
			blanks[i] = b
		}
	}
	return blanks
}

func invalidUTF8(content []byte) int {
	for at := 0; at < len(content); {
		r, size := utf8.DecodeRune(content[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return -1
}

// syntaxFault takes the place out of the parser's error, which gives it in its
// text only.
func (d *Document) syntaxFault(err error) {
	text := err.Error()
	fault := Fault{File: d.file, Line: 1, Column: 1, Field: rootField, Allowed: "JSON with comments and trailing commas"}
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &fault.Line, &fault.Column); scanErr == nil {
		_, rest, _ := strings.Cut(text, ", column ")
		_, text, _ = strings.Cut(rest, ": ")
	}
	fault.Found = text
	d.add(fault)
}

// Faults returns all faults found so far, in the order of their places.
func (d *Document) Faults() Faults {
	d.faults.Sort()
	return d.faults
}

// Has reports whether the document holds a value at the path.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// FoundText returns shown for a value that the document holds, and says that any
// other is missing, rather than show its zero value.
func (d *Document) FoundText(path, shown string) string {
	if d.Has(path) {
		return shown
	}
	return "nothing"
}

// Position returns the line and column of the value at the path, such as
// "listen.peers" or "keys[1].id". A value that is missing stands where the
// nearest value around it begins.
func (d *Document) Position(path string) (line, column int) {
	for {
		if offset, ok := d.offsets[path]; ok {
			return d.place(offset)
		}
		if path == root {
			return 1, 1
		}
		path = parent(path)
	}
}

// parent returns the path of the value around the one at path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// AddFault adds a fault of the value at the path, unless it has one already, or
// is part of a value that can't be read: there is then no meaning to check.
func (d *Document) AddFault(path, found, allowed string) {
	if d.faulty[path] || d.faulty[rootField] {
		return
	}
	for at := path; at != root; at = parent(at) {
		if d.unread[at] {
			return
		}
	}
	line, column := d.Position(path)
	d.add(Fault{d.file, line, column, path, found, allowed})
}

func (d *Document) faultAt(offset int, field, found, allowed string) {
	line, column := d.place(offset)
	d.add(Fault{d.file, line, column, field, found, allowed})
}

func (d *Document) add(f Fault) {
	d.faults = append(d.faults, f)
	d.faulty[f.Field] = true
}

func (d *Document) place(offset int) (line, column int) {
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
