// Package prompt identifies the parts of which prompts consist. Requests whose prompts
// begin in the same way, for example with the same instructions, share parts.
package prompt

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Part identifies a part of a prompt. It is derived from the ID that the caller gave it,
// so different IDs that aren't short hexadecimal numbers may collide, though rarely.
type Part uint64

// MaxParts is the maximum number of parts of one prompt that are considered.
const MaxParts = 256

// ParsePart returns the part with the given ID, which is a hexadecimal number as a rule.
func ParsePart(id string) Part {
	id = strings.ToLower(strings.TrimSpace(id))
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Part(n)
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return Part(hash.Sum64())
}

// String returns the part's ID, a hexadecimal number.
func (p Part) String() string {
	text := strconv.FormatUint(uint64(p), 16)
	return strings.Repeat("0", max(0, minDigits-len(text))) + text
}

// minDigits is the number of digits of the shortest IDs that callers use.
const minDigits = 8

// List returns the IDs of the first parts, for logs.
func List(parts []Part) string {
	var text strings.Builder
	for i, p := range parts[:min(len(parts), maxListed)] {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(p.String())
	}
	if len(parts) > maxListed {
		text.WriteString(" and others")
	}
	return text.String()
}

// maxListed is the maximum number of IDs in a log field.
const maxListed = 8
