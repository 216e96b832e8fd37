package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// The decoder walks the syntax tree and the Go type together in one pass. It does not
// use encoding/json, which stops at the first fault and silently accepts duplicate
// fields and field names in another case. Such mistakes are hard for operators to
// find.

// maxShownBytes is the maximum number of bytes of a value in a fault.
const maxShownBytes = 40

// decodeInto decodes the syntax tree into the value that into points to.
func decodeInto(d *Document, tree hujson.Value, into any) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		d.addFaultAt(0, rootField, "a target that can't be set", "a pointer")
		return
	}
	d.decodeValue(tree, rootPath, target.Elem())
}

// decodeValue decodes one value into target.
func (d *Document) decodeValue(v hujson.Value, path string, target reflect.Value) {
	d.offsets[path] = v.StartOffset
	if target.Kind() == reflect.Pointer {
		d.decodePointer(v, path, target)
		return
	}
	switch decoder := target.Addr().Interface().(type) {
	case *span:
		*decoder = span{v.StartOffset, v.EndOffset}
		return
	case json.Unmarshaler:
		if err := decoder.UnmarshalJSON(standardJSON(v)); err != nil {
			d.addMismatch(v, path, describeType(target.Type()))
		}
		return
	case encoding.TextUnmarshaler:
		if v.Value.Kind() != '"' || decoder.UnmarshalText([]byte(unquoted(v))) != nil {
			d.addMismatch(v, path, describeType(target.Type()))
		}
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, path, target)
	case reflect.Map:
		d.decodeMap(v, path, target)
	case reflect.Slice, reflect.Array:
		d.decodeList(v, path, target)
	default:
		if !decodeScalar(v, target) {
			d.addMismatch(v, path, describeType(target.Type()))
		}
	}
}

func (d *Document) decodePointer(v hujson.Value, path string, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.decodeValue(v, path, target.Elem())
}

func (d *Document) decodeObject(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addMismatch(v, path, "an object")
		return
	}
	fields := fieldsOf(target)
	for _, member := range d.members(object, path) {
		memberPath := join(path, member.name)
		f, ok := fields[member.name]
		if !ok {
			d.addFaultAt(member.offset, memberPath, fmt.Sprintf("unknown field %q", truncate(member.name)), allowedNames(member.name, fields))
			continue
		}
		if f.hidden {
			d.hidden = append(d.hidden, memberPath)
		}
		d.decodeValue(member.value, memberPath, f.value)
	}
}

func (d *Document) decodeMap(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || target.Type().Key().Kind() != reflect.String {
		d.addMismatch(v, path, "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, member := range d.members(object, path) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(member.value, join(path, member.name), element)
		target.SetMapIndex(reflect.ValueOf(member.name).Convert(target.Type().Key()), element)
	}
}

func (d *Document) decodeList(v hujson.Value, path string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addMismatch(v, path, describeType(target.Type()))
		return
	}
	if target.Kind() == reflect.Slice {
		target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	} else if len(array.Elements) != target.Len() {
		d.addMismatch(v, path, describeType(target.Type()))
		return
	}
	for i, element := range array.Elements {
		d.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

// member is one member of an object, with its name unquoted.
type member struct {
	name   string
	offset int
	value  hujson.Value
}

// members returns the members of an object. A duplicate member is a fault.
func (d *Document) members(object *hujson.Object, path string) []member {
	var members []member
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := unquoted(m.Name)
		if seen[name] {
			d.addFaultAt(m.Name.StartOffset, join(path, name), fmt.Sprintf("field %q again", truncate(name)), "each field once")
			continue
		}
		seen[name] = true
		members = append(members, member{name, m.Name.StartOffset, m.Value})
	}
	return members
}

// decodeScalar decodes a string, number or boolean and reports whether it fits the
// target.
func decodeScalar(v hujson.Value, target reflect.Value) bool {
	kind := v.Value.Kind()
	switch target.Kind() {
	case reflect.String:
		target.SetString(unquoted(v))
		return kind == '"'
	case reflect.Bool:
		target.SetBool(kind == 't')
		return kind == 't' || kind == 'f'
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, err := strconv.ParseInt(literalText(v), 10, target.Type().Bits())
		target.SetInt(n)
		return kind == '0' && err == nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(literalText(v), 10, target.Type().Bits())
		target.SetUint(n)
		return kind == '0' && err == nil
	case reflect.Float32, reflect.Float64:
		n, err := strconv.ParseFloat(literalText(v), target.Type().Bits())
		target.SetFloat(n)
		return kind == '0' && err == nil
	case reflect.Interface:
		return json.Unmarshal(standardJSON(v), target.Addr().Interface()) == nil
	}
	return false
}

// addMismatch adds a fault for a value that doesn't fit its field.
func (d *Document) addMismatch(v hujson.Value, path, allowed string) {
	field := path
	if path == rootPath {
		field = rootField
	}
	d.mismatched[path] = true
	found := display(v)
	if d.isHidden(path) {
		found = kindOf(v)
	}
	d.addFaultAt(v.StartOffset, field, found, allowed)
}

func (d *Document) isHidden(path string) bool {
	return slices.ContainsFunc(d.hidden, func(hidden string) bool { return strings.HasPrefix(path, hidden) })
}

// display returns the text of a value in a fault. Long values are truncated.
func display(v hujson.Value) string {
	if _, ok := v.Value.(hujson.Literal); !ok {
		return kindOf(v)
	}
	return truncate(literalText(v))
}

// kindOf describes the kind of a value without its content.
func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	}
	return literalText(v)
}

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}

var (
	addrPortType = reflect.TypeFor[netip.AddrPort]()
	addrType     = reflect.TypeFor[netip.Addr]()
	prefixType   = reflect.TypeFor[netip.Prefix]()
	timeType     = reflect.TypeFor[time.Time]()
)

// describeType returns a description of the values that the type accepts.
func describeType(t reflect.Type) string {
	switch t {
	case addrPortType:
		return `an IP address and port, such as "10.0.0.1:7000"`
	case addrType:
		return `an IP address, such as "10.0.0.1"`
	case prefixType:
		return `an IP prefix, such as "10.0.0.0/8"`
	case timeType:
		return `a time, such as "2027-01-31T09:30:00Z"`
	}
	if pointer := reflect.PointerTo(t); pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "text that names " + t.Name()
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		limit := int64(1)<<(t.Bits()-1) - 1
		return fmt.Sprintf("a whole number from %d to %d", -limit-1, limit)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number from 0 to %d", ^uint64(0)>>(64-t.Bits()))
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Array:
		return fmt.Sprintf("a list of %d", t.Len())
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	return "nothing: the program can't read this field"
}

func literalText(v hujson.Value) string {
	literal, _ := v.Value.(hujson.Literal)
	return string(literal)
}

func unquoted(v hujson.Value) string {
	literal, _ := v.Value.(hujson.Literal)
	if literal.Kind() == '"' && bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// standardJSON returns a value as JSON without comments and trailing commas.
func standardJSON(v hujson.Value) []byte {
	clone := v.Clone()
	clone.Minimize()
	return clone.Pack()
}
