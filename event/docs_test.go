package event_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/event"
)

// section is the section of docs/EVENTS.md about one event.
type section struct {
	name, text string
}

var heading = regexp.MustCompile(`(?m)^### (\d+) (.+)$`)

func readPage(t *testing.T) map[event.ID]section {
	t.Helper()
	content, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	sections := map[event.ID]section{}
	headings := heading.FindAllSubmatchIndex(content, -1)
	for i, match := range headings {
		end := len(content)
		if i+1 < len(headings) {
			end = headings[i+1][0]
		}
		number, err := strconv.ParseUint(string(content[match[2]:match[3]]), 10, 16)
		assert.NilError(t, err)
		_, twice := sections[event.ID(number)]
		assert.Assert(t, !twice, "the page has two sections for event %d", number)
		sections[event.ID(number)] = section{string(content[match[4]:match[5]]), string(content[match[1]:end])}
	}
	return sections
}

// TestPageMatchesEvents checks that docs/EVENTS.md has exactly one section for
// each event, with all its parts.
func TestPageMatchesEvents(t *testing.T) {
	sections := readPage(t)
	for id, name := range event.All() {
		assert.Equal(t, sections[id].name, name, "event %d", id)
		for _, part := range []string{"- Where: ", " Care: ", "- Meaning: ", "- Do: ", "- Fields: "} {
			assert.Assert(t, strings.Contains(sections[id].text, part), "the section of %s has no %q", name, part)
		}
	}
	for id, section := range sections {
		assert.Equal(t, event.All()[id], section.name, "event %d is on the page but not in the code", id)
	}
}

// TestUnusedEvents checks that the page says "nothing writes it yet" about exactly
// those events that no program logs. It finds an event's constant by its
// number: the names can differ, because the name in the log never changes.
func TestUnusedEvents(t *testing.T) {
	source, constants := programSource(t), constantNames(t)
	for id, section := range readPage(t) {
		used := regexp.MustCompile(`\bevent\.` + constants[id] + `\b`).MatchString(source)
		assert.Equal(t, !used, strings.Contains(section.text, "nothing writes it yet"), "event %d %s", id, section.name)
	}
}

var constantLine = regexp.MustCompile(`(?m)^\t(\w+) +ID = (\d+)$`)

// constantNames returns the name of the Go constant of each event, read from the
// package's source.
func constantNames(t *testing.T) map[event.ID]string {
	t.Helper()
	content, err := os.ReadFile("event.go")
	assert.NilError(t, err)
	names := map[event.ID]string{}
	for _, match := range constantLine.FindAllSubmatch(content, -1) {
		number, err := strconv.ParseUint(string(match[2]), 10, 16)
		assert.NilError(t, err)
		names[event.ID(number)] = string(match[1])
	}
	for id, name := range event.All() {
		assert.Assert(t, names[id] != "", "event %d %s must have a constant in event.go", id, name)
	}
	return names
}

// programSource returns the Go source of all packages without their tests.
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
