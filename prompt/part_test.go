package prompt_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/prompt"
)

func TestParsePart(t *testing.T) {
	for id, want := range map[string]string{
		"5c1e07a2": "5c1e07a2", " 5C1E07A2 ": "5c1e07a2", "07a2": "000007a2", "ffffffffffffffff": "ffffffffffffffff",
	} {
		assert.Equal(t, prompt.ParsePart(id).String(), want)
	}
	others := map[prompt.Part]bool{}
	for _, id := range []string{"", "no number", "1ffffffffffffffff", "-1", "0x1"} {
		others[prompt.ParsePart(id)] = true
	}
	assert.Equal(t, len(others), 5)
}

func TestListIsBounded(t *testing.T) {
	assert.Equal(t, prompt.List(nil), "")
	assert.Equal(t, prompt.List([]prompt.Part{1, 2}), "00000001 00000002")
	assert.Equal(t, len(prompt.List(make([]prompt.Part, 9))), len(prompt.List(make([]prompt.Part, 10_000))))
}
