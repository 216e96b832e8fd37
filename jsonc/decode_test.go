package jsonc_test

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/jsonc"
)

type common struct {
	Name string `json:"name"`
}

type inner struct {
	Peers netip.AddrPort `json:"peers"`
	Tags  []string       `json:"tags"`
}

type sample struct {
	common
	Count      int16            `json:"count"`
	Size       uint8            `json:"size"`
	Ratio      float64          `json:"ratio"`
	On         bool             `json:"on"`
	Since      time.Time        `json:"since"`
	Addr       *netip.Addr      `json:"addr"`
	Listen     inner            `json:"listen"`
	List       []inner          `json:"list"`
	Pair       [2]int           `json:"pair"`
	Limits     map[string]int   `json:"limits"`
	Any        any              `json:"any"`
	Unreadable chan int         `json:"odd"`
	Hidden     string           `json:"-"`
	Named      map[string]inner `json:"named"`
	Secret     []inner          `json:"secret" jsonc:"hidden"`
}

// checkFaults checks that decoding a document returns the wanted faults.
func checkFaults(t *testing.T, content string, want ...string) {
	t.Helper()
	var into sample
	faults := jsonc.Decode("f", []byte(content), &into)
	assert.Equal(t, faults.Error(), strings.Join(want, "\n"))
}

const sampleFields = "the fields addr, any, count, limits, list, listen, name, named, odd, on, pair, ratio, secret, since, size"

func TestDecodeFaults(t *testing.T) {
	for name, c := range map[string]struct {
		content string
		want    []string
	}{
		"valid":                {`{"name": "a", "count": -3, /* why */ "any": {"x": [1]}, "addr": null,}`, nil},
		"empty object":         {`{}`, nil},
		"empty text":           {``, []string{`f:1:1: (document): found parsing value: unexpected EOF; allowed: JSON with comments and trailing commas`}},
		"not JSON":             {"{\n \"name\": nope}", []string{`f:2:10: (document): found invalid literal: nope; allowed: JSON with comments and trailing commas`}},
		"trailing content":     {"{}\n{}", []string{`f:2:1: (document): found invalid character '{' after top-level value; allowed: JSON with comments and trailing commas`}},
		"not UTF-8":            {"{\"name\": \"\xff\"}", []string{`f:1:11: (document): found bytes that are not UTF-8; allowed: text in UTF-8`}},
		"not an object":        {`[1]`, []string{`f:1:1: (document): found a list; allowed: an object`}},
		"unknown field":        {`{"nmae": 1}`, []string{`f:1:2: nmae: found unknown field "nmae"; allowed: ` + sampleFields + ` (did you mean "name"?)`}},
		"field in other case":  {`{"Name": "a"}`, []string{`f:1:2: Name: found unknown field "Name"; allowed: ` + sampleFields + ` (did you mean "name"?)`}},
		"no similar field":     {`{"zzzzzz": 1}`, []string{`f:1:2: zzzzzz: found unknown field "zzzzzz"; allowed: ` + sampleFields}},
		"hidden field":         {`{"Hidden": ""}`, []string{`f:1:2: Hidden: found unknown field "Hidden"; allowed: ` + sampleFields}},
		"duplicate key":        {"{\"name\": \"a\",\n\"n\\u0061me\": \"b\"}", []string{`f:2:1: name: found field "name" again; allowed: each field once`}},
		"duplicate map key":    {`{"limits": {"a": 1, "a": 2}}`, []string{`f:1:21: limits.a: found field "a" again; allowed: each field once`}},
		"number for string":    {`{"name": 1}`, []string{`f:1:10: name: found 1; allowed: a string`}},
		"null for string":      {`{"name": null}`, []string{`f:1:10: name: found null; allowed: a string`}},
		"string for bool":      {`{"on": "true"}`, []string{`f:1:8: on: found "true"; allowed: true or false`}},
		"fraction for integer": {`{"count": 1.5}`, []string{`f:1:11: count: found 1.5; allowed: a whole number from -32768 to 32767`}},
		"integer too large":    {`{"size": 256}`, []string{`f:1:10: size: found 256; allowed: a whole number from 0 to 255`}},
		"negative unsigned":    {`{"size": -1}`, []string{`f:1:10: size: found -1; allowed: a whole number from 0 to 255`}},
		"number too large":     {`{"ratio": 1e999}`, []string{`f:1:11: ratio: found 1e999; allowed: a number`}},
		"quoted number":        {`{"ratio": "1"}`, []string{`f:1:11: ratio: found "1"; allowed: a number`}},
		"bad address":          {`{"listen": {"peers": "host:1"}}`, []string{`f:1:22: listen.peers: found "host:1"; allowed: an IP address and port, such as "10.0.0.1:7000"`}},
		"number for address":   {`{"listen": {"peers": 1}}`, []string{`f:1:22: listen.peers: found 1; allowed: an IP address and port, such as "10.0.0.1:7000"`}},
		"bad pointer":          {`{"addr": "x"}`, []string{`f:1:10: addr: found "x"; allowed: an IP address, such as "10.0.0.1"`}},
		"bad time":             {`{"since": "today"}`, []string{`f:1:11: since: found "today"; allowed: a time, such as "2027-01-31T09:30:00Z"`}},
		"object for list":      {`{"list": {}}`, []string{`f:1:10: list: found an object; allowed: a list`}},
		"list for map":         {`{"limits": []}`, []string{`f:1:12: limits: found a list; allowed: an object`}},
		"list of wrong length": {`{"pair": [1]}`, []string{`f:1:10: pair: found a list; allowed: a list of 2`}},
		"element in a list":    {`{"list": [{}, {"tags": ["a", 2]}]}`, []string{`f:1:30: list[1].tags[1]: found 2; allowed: a string`}},
		"element in a map":     {`{"named": {"a.b": {"tags": 1}}}`, []string{`f:1:28: named["a.b"].tags: found 1; allowed: a list`}},
		"hidden string": {`{"secret": ["abc", 1, {}, {"tags": "abc"}]}`, []string{
			`f:1:13: secret[0]: found a string; allowed: an object`,
			`f:1:20: secret[1]: found a number; allowed: an object`,
			`f:1:36: secret[3].tags: found a string; allowed: a list`,
		}},
		"unreadable type":         {`{"odd": 1}`, []string{`f:1:9: odd: found 1; allowed: nothing: the program can't read this field`}},
		"long value is truncated": {`{"on": "` + strings.Repeat("x", 99) + `"}`, []string{`f:1:8: on: found "` + strings.Repeat("x", 39) + `...; allowed: true or false`}},
		"too many brackets":       {strings.Repeat("[", 1<<16+1), []string{`f:1:1: (document): found 65537 opening brackets; allowed: at most 65536`}},
		"deepest allowed nesting": {strings.Repeat("[", 1<<16), []string{`f:1:65537: (document): found parsing value: unexpected EOF; allowed: JSON with comments and trailing commas`}},
		"several faults, in order": {"{\"on\": 1,\n\"count\": \"x\",\n\"list\": 1}", []string{
			`f:1:8: on: found 1; allowed: true or false`,
			`f:2:10: count: found "x"; allowed: a whole number from -32768 to 32767`,
			`f:3:9: list: found 1; allowed: a list`,
		}},
	} {
		t.Run(name, func(t *testing.T) { checkFaults(t, c.content, c.want...) })
	}
}

func TestDecodeValues(t *testing.T) {
	var into sample
	faults := jsonc.Decode("f", []byte(`{
		"name": "reef", "count": -2, "size": 255, "ratio": 1e3, "on": true, "since": "2027-01-31T09:30:00Z",
		"addr": "::1", "listen": {"peers": "10.0.0.1:7000", "tags": ["a"]}, "pair": [1, 2], "limits": {"a": 3},
	}`), &into)
	assert.Equal(t, len(faults), 0, faults.Error())
	addr := netip.MustParseAddr("::1")
	want := sample{
		common: common{"reef"}, Count: -2, Size: 255, Ratio: 1000, On: true, Since: time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC),
		Addr: &addr, Listen: inner{netip.MustParseAddrPort("10.0.0.1:7000"), []string{"a"}}, Pair: [2]int{1, 2}, Limits: map[string]int{"a": 3},
	}
	assert.Equal(t, into.Name, want.Name)
	into.Unreadable, want.Unreadable = nil, nil
	assert.Equal(t, *into.Addr, *want.Addr)
	into.Addr = want.Addr
	assert.Assert(t, reflect.DeepEqual(into, want), "%+v", into)
}

func TestDocumentPosition(t *testing.T) {
	var into sample
	d := jsonc.DecodeDocument("f", []byte("{\n  \"listen\": {\n    \"peers\": \"10.0.0.1:1\"},\n  \"list\": [{}, {}],\n  \"on\": 1}"), &into)
	for path, want := range map[string][2]int{
		"listen.peers": {3, 14}, "listen.tags": {2, 13}, "listen.tags[4].x": {2, 13}, "list[1]": {4, 16}, "list[1].peers": {4, 16}, "name": {1, 1},
	} {
		line, column := d.Position(path)
		assert.Equal(t, [2]int{line, column}, want, path)
	}
	d.AddFault("on", "invalid", "valid")
	d.AddFault("name", "nothing", "a name")
	assert.Equal(t, d.Faults().Error(), "f:1:1: name: found nothing; allowed: a name\nf:5:9: on: found 1; allowed: true or false")
}

func TestMembers(t *testing.T) {
	content := "{\n  \"a/b\": {\n    \"on\": 1}, // why\n  \"c\": [], \"c\": 1}"
	parts, faults := jsonc.Members("f", []byte(content))
	assert.Equal(t, faults.Error(), `f:4:12: c: found field "c" again; allowed: each field once`)
	var into sample
	assert.Equal(t, jsonc.Decode("f", parts["a/b"], &into).Error(), "f:3:11: on: found 1; allowed: true or false")
	assert.Equal(t, strings.TrimSpace(string(parts["c"])), "[]")
	_, faults = jsonc.Members("f", []byte("[]"))
	assert.Equal(t, faults.Error(), "f:1:1: (document): found a list; allowed: an object")
}

// FuzzDecode checks that every fault is complete, and that the faults of a document
// are always the same.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `{"name": "a", "name": "b"}`, `{"listen": {"peers": "10.0.0.1:1"}, "list": [{"tags": []}]}`,
		"// c\n{\"on\": true,}", `{"since": 1, "any": [null], "limits": {"": 1}}`, "\xff", `[[[[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var first, second sample
		faults := jsonc.Decode("f", content, &first)
		for _, fault := range faults {
			assert.Assert(t, fault.Line >= 1 && fault.Column >= 1, fault.String())
			assert.Assert(t, fault.Field != "" && fault.Found != "" && fault.Allowed != "", fault.String())
		}
		assert.Equal(t, jsonc.Decode("f", content, &second).Error(), faults.Error())
	})
}
