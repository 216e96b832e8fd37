package config_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangoloft/config"
)

// documentAt returns a document of the version with the values, which may be invalid.
func documentAt(version uint64, values map[string]string) config.Document {
	doc := config.Document{Index: config.Index{Version: version, Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	for key, value := range values {
		doc.Index.Values[key] = config.IndexEntry{Version: version, SHA256: config.Hash([]byte(value))}
		doc.Values[key] = []byte(value)
	}
	return doc
}

const validClass = `{"kind": "read", "pool": "p"}`

func TestParseLimits(t *testing.T) {
	tooMany := map[string]string{}
	for i := range config.MaxKeys + 1 {
		tooMany[fmt.Sprint("pools/", i)] = `{}`
	}
	tooLarge := map[string]string{}
	for i := range 13 {
		tooLarge[fmt.Sprint("pools/", i)] = `{}` + strings.Repeat(" ", config.MaxValueBytes-2)
	}
	tests := map[string]struct {
		values map[string]string
		fault  string
	}{
		"class and its pool":        {map[string]string{"classes/c": validClass, "pools/p": `{}`}, ""},
		"empty document":            {nil, ""},
		"missing pool":              {map[string]string{"classes/c": validClass}, "the name of a published pool"},
		"unknown group":             {map[string]string{"weights/c": `{}`}, "classes/, pools/ or teams/"},
		"unknown field":             {map[string]string{"pools/p": `{"weight": 3}`}, "unknown field"},
		"value too large":           {map[string]string{"pools/p": strings.Repeat(" ", config.MaxValueBytes+1)}, "at most 1048576"},
		"too many keys":             {tooMany, "at most 4096"},
		"values too large in total": {tooLarge, "at most 12582912"},
		"credential of two teams":   {map[string]string{"teams/0": teamValue("a", "x"), "teams/1": teamValue("b", "x")}, "no other team"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, faults := config.Parse(documentAt(1, test.values))
			if test.fault == "" {
				assert.Equal(t, len(faults), 0, faults.Error())
				return
			}
			assert.ErrorContains(t, faults, test.fault)
		})
	}
}

func teamValue(name, credential string) string {
	return fmt.Sprintf(`{"teams": [{"name": %q, "credential_sha256": %q}]}`, name, config.Hash([]byte(credential)))
}

// drawDocument draws a document whose version and values come from small sets, so that
// equal versions, equal documents and invalid documents are frequent.
func drawDocument(t *rapid.T) config.Document {
	values := map[string]string{"pools/p": rapid.SampledFrom([]string{`{}`, `{"checks_fencing": true}`, `{"bad": 1}`}).Draw(t, "pool")}
	for _, key := range []string{"classes/a", "classes/b", "teams/0"} {
		if rapid.Bool().Draw(t, key) {
			values[key] = map[bool]string{true: validClass, false: `{"teams": []}`}[strings.HasPrefix(key, "classes/")]
		}
	}
	for _, key := range []string{"teams/1", "teams/2"} {
		if rapid.Bool().Draw(t, key) {
			values[key] = teamValue(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "credential"))
		}
	}
	return documentAt(uint64(rapid.IntRange(1, 6).Draw(t, "version")), values)
}

// notOlder reports whether a is the same view as b or a newer one.
func notOlder(a, b *config.View) bool {
	return b == nil || a.Version > b.Version || a.Version == b.Version && a.Digest >= b.Digest
}

// TestRegisterNeverReverts checks that the register never reverts to an older view and
// never makes an invalid document active, regardless of the order of the documents.
func TestRegisterNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var register config.Register
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			previous := register.View()
			doc := drawDocument(t)
			accepted, faults := register.Apply(doc)
			view := register.View()
			assert.Assert(t, previous == nil || notOlder(view, previous), "the register must not revert to an older view")
			assert.Equal(t, accepted, view != previous)
			assert.Assert(t, !accepted || len(faults) == 0 && view.Digest == doc.Index.Digest(), "the view must be that of the accepted document")
		}
	})
}

// TestRegistersAgreeInAnyOrder checks that two instances which receive the same
// documents in different orders end with the same active one: the newest valid one.
func TestRegistersAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := rapid.SliceOfN(rapid.Custom(drawDocument), 1, 12).Draw(t, "documents")
		var a, b config.Register
		for _, doc := range docs {
			a.Apply(doc)
		}
		for _, doc := range rapid.Permutation(docs).Draw(t, "order") {
			b.Apply(doc)
		}
		if a.View() == nil {
			assert.Assert(t, b.View() == nil)
			return
		}
		assert.Equal(t, a.View().Version, b.View().Version)
		assert.Equal(t, a.View().Digest, b.View().Digest)
		for _, doc := range docs {
			fresh, faults := config.Parse(doc)
			assert.Assert(t, len(faults) > 0 || notOlder(a.View(), fresh), "a newer valid document must be active")
		}
	})
}

// TestParseIncrementalEqualsParse checks that ParseIncremental gives the same result as
// Parse for every older view.
func TestParseIncrementalEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, _ := config.Parse(drawDocument(t))
		doc := drawDocument(t)
		fresh, freshFaults := config.Parse(doc)
		incremental, incrementalFaults := config.ParseIncremental(doc, older)
		assert.DeepEqual(t, freshFaults, incrementalFaults)
		if fresh != nil {
			for _, credential := range []string{"x", "y", "z"} {
				a, _ := fresh.Team(credential)
				b, _ := incremental.Team(credential)
				assert.Equal(t, a, b)
			}
			assert.Assert(t, maps.Equal(fresh.Classes, incremental.Classes) && maps.Equal(fresh.Pools, incremental.Pools) && fresh.Teams() == incremental.Teams())
		}
	})
}
