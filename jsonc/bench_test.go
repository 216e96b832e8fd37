package jsonc_test

import (
	"fmt"
	"strings"
	"testing"

	"mangoloft/jsonc"
)

type teams struct {
	Teams []team `json:"teams"`
}

type team struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// BenchmarkDecode decodes a document of about 1 MB, without faults or with a fault in
// every element.
func BenchmarkDecode(b *testing.B) {
	for name, element := range map[string]string{
		"good":   `{"name": "team %d", "hash": "` + strings.Repeat("0", 64) + `"},` + "\n",
		"faulty": `{"name": "team %d", "hash": 1},` + "\n",
	} {
		b.Run(name, func(b *testing.B) {
			var text strings.Builder
			text.WriteString(`{"teams": [`)
			for i := range 10_000 {
				fmt.Fprintf(&text, element, i)
			}
			text.WriteString(`]}`)
			content := []byte(text.String())
			b.SetBytes(int64(len(content)))
			for b.Loop() {
				var into teams
				jsonc.Decode("f", content, &into)
			}
		})
	}
}
