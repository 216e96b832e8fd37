package event_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/event"
)

// section is one event's entry on the page.
type section struct {
	name, text string
}

var heading = regexp.MustCompile(`(?m)^### (\d+) (.+)$`)

func readPage(t *testing.T) map[event.ID]section {
	t.Helper()
	content, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	sections := map[event.ID]section{}
	places := heading.FindAllSubmatchIndex(content, -1)
	for i, place := range places {
		end := len(content)
		if i+1 < len(places) {
			end = places[i+1][0]
		}
		number, err := strconv.ParseUint(string(content[place[2]:place[3]]), 10, 16)
		assert.NilError(t, err)
		_, twice := sections[event.ID(number)]
		assert.Assert(t, !twice, "event %d is on the page twice", number)
		sections[event.ID(number)] = section{string(content[place[4]:place[5]]), string(content[place[1]:end])}
	}
	return sections
}

// TestPage holds docs/EVENTS.md and the catalogue together, both ways.
func TestPage(t *testing.T) {
	sections := readPage(t)
	for id, name := range event.All() {
		assert.Equal(t, sections[id].name, name, "event %d", id)
		for _, part := range []string{"- Where: ", " Care: ", "- Meaning: ", "- Do: ", "- Fields: "} {
			assert.Assert(t, strings.Contains(sections[id].text, part), "the entry of %s has no %q", name, part)
		}
	}
	for id, section := range sections {
		assert.Equal(t, event.All()[id], section.name, "event %d is on the page only", id)
	}
}

// TestWritten holds the page's word on which events nothing writes yet against
// the code.
func TestWritten(t *testing.T) {
	source := programSource(t)
	for id, section := range readPage(t) {
		used := regexp.MustCompile(`\bevent\.` + constantOf(section.name) + `\b`).MatchString(source)
		assert.Equal(t, !used, strings.Contains(section.text, "nothing writes it yet"), "event %d %s", id, section.name)
	}
}

// constantOf returns the Go name of an event's name.
func constantOf(name string) string {
	var constant strings.Builder
	for word := range strings.SplitSeq(name, "_") {
		fmt.Fprint(&constant, strings.ToUpper(word[:1]), word[1:])
	}
	return constant.String()
}

func programSource(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	var source strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		source.Write(content)
	}
	return source.String()
}
