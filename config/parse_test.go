package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/config"
)

// document returns a document of the values with the index that the configuration
// service would give them.
func document(values map[string]string) config.Document {
	doc := config.Document{Index: config.Index{Version: 1, Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	for key, value := range values {
		doc.Index.Values[key] = config.IndexEntry{Version: 1, SHA256: config.Hash([]byte(value))}
		doc.Values[key] = []byte(value)
	}
	return doc
}

func TestParseFaults(t *testing.T) {
	hash := config.Hash([]byte("credential"))
	team := func(name, hash string) string {
		return fmt.Sprintf(`{"teams": [{"name": %q, "credential_sha256": %q}]}`, name, hash)
	}
	for name, c := range map[string]struct {
		values map[string]string
		want   []string
	}{
		"valid": {map[string]string{"classes/read": `{"kind": "read", "pool": "shop"}`, "pools/shop": `{}`, "teams/0": team("reef", hash)}, nil},
		"faulty class": {map[string]string{"classes/draft": "{\n\"kind\": \"stream\",\n\"pool\": \"gone\",\n\"target\": {\"wait_ms\": -1},\n\"max_output_tokens\": 999999}"}, []string{
			`classes/draft:1:1: model: found nothing; allowed: the name of a model`,
			`classes/draft:3:9: pool: found "gone"; allowed: the name of a published pool`,
			`classes/draft:4:23: target.wait_ms: found -1; allowed: 0 (no target) to 3600000`,
			`classes/draft:5:22: max_output_tokens: found 999999; allowed: 0 (the largest) to 131072`,
		}},
		"missing pool and unknown field": {map[string]string{"classes/a": `{"kind": "read", "pool": "gone", "x": 1}`}, []string{
			`classes/a:1:26: pool: found "gone"; allowed: the name of a published pool`,
			`classes/a:1:34: x: found unknown field "x"; allowed: the fields kind, max_output_tokens, model, pool, target`,
		}},
		"missing pool and kind": {map[string]string{"classes/a": `{}`}, []string{
			`classes/a:1:1: kind: found nothing; allowed: stream, read, charge`,
			`classes/a:1:1: pool: found nothing; allowed: the name of a published pool`,
		}},
		"unknown kind": {map[string]string{"classes/a": `{"kind": "batch", "pool": "shop"}`, "pools/shop": `{}`}, []string{
			`classes/a:1:10: kind: found "batch"; allowed: stream, read, charge`,
		}},
		"unknown field of a pool": {map[string]string{"pools/shop": `{"fencing": true}`}, []string{
			`pools/shop:1:2: fencing: found unknown field "fencing"; allowed: the fields checks_fencing`,
		}},
		"invalid keys": {map[string]string{"classes/": `{}`, "other/x": `{}`}, []string{
			`classes/:1:1: (key): found "classes/"; allowed: classes/, pools/ or teams/ and a name`,
			`other/x:1:1: (key): found "other/x"; allowed: classes/, pools/ or teams/ and a name`,
		}},
		"credential instead of its hash": {map[string]string{"teams/0": team("reef", "credential")}, []string{
			`teams/0:1:50: teams[0].credential_sha256: found 10 characters; allowed: the SHA-256 of the team's credential, 64 hexadecimal digits`,
		}},
		"credential of two teams": {map[string]string{"teams/0": team("reef", hash), "teams/1": team("shop", hash)}, []string{
			`teams/1:1:50: teams[0].credential_sha256: found the credential of team "reef"; allowed: a credential that no other team has`,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			view, faults := config.Parse(document(c.values))
			assert.Equal(t, faults.Error(), strings.Join(c.want, "\n"))
			assert.Equal(t, view != nil, len(c.want) == 0)
		})
	}
}

// FuzzParse checks that parsing is deterministic, and that a document has a view
// if and only if it has no faults.
func FuzzParse(f *testing.F) {
	f.Add("classes/draft", `{"kind": "stream", "pool": "p", "model": "m", "target": {"wait_ms": 1}}`)
	f.Add("pools/p", `{"checks_fencing": true}`)
	f.Add("teams/0", `{"teams": [{"name": "a", "credential_sha256": "00"}]}`)
	f.Add("other", `{`)
	f.Fuzz(func(t *testing.T, key, value string) {
		doc := document(map[string]string{key: value, "pools/p": `{}`})
		view, faults := config.Parse(doc)
		assert.Equal(t, view == nil, len(faults) > 0)
		_, secondFaults := config.Parse(doc)
		assert.Equal(t, secondFaults.Error(), faults.Error())
	})
}
