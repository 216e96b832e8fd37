package jsonc

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// field is a settable field of a struct.
type field struct {
	value reflect.Value
	// hidden is true for fields that may contain a secret. Their values must not appear
	// in faults.
	hidden bool
}

// hiddenTag marks a hidden field, in the form `jsonc:"hidden"`.
const hiddenTag = "hidden"

// fieldsOf returns the settable fields of a struct by their JSON names. It includes
// the fields of embedded structs, unless the struct has a field of the same name.
func fieldsOf(target reflect.Value) map[string]field {
	fields := map[string]field{}
	var embedded []reflect.Value
	for i := range target.NumField() {
		structField := target.Type().Field(i)
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		switch {
		case name == "-":
			continue
		case structField.Anonymous && name == "" && structField.Type.Kind() == reflect.Struct:
			embedded = append(embedded, target.Field(i))
			continue
		case !structField.IsExported():
			continue
		case name == "":
			name = structField.Name
		}
		fields[name] = field{target.Field(i), structField.Tag.Get("jsonc") == hiddenTag}
	}
	for _, embeddedStruct := range embedded {
		for name, f := range fieldsOf(embeddedStruct) {
			if _, defined := fields[name]; !defined {
				fields[name] = f
			}
		}
	}
	return fields
}

// join returns the path of a member. Names with characters other than letters, digits,
// '_' and '-' are quoted, because the keys of a map may contain dots.
func join(path, name string) string {
	plain := name != "" && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) < 0
	switch {
	case !plain:
		return fmt.Sprintf("%s[%q]", path, name)
	case path == rootPath:
		return name
	}
	return path + "." + name
}

// allowedNames returns a list of the fields, and suggests the one closest to name.
func allowedNames(name string, fields map[string]field) string {
	names := slices.Sorted(maps.Keys(fields))
	if len(names) == 0 {
		return "no fields"
	}
	list := "the fields " + strings.Join(names, ", ")
	if suggestion := closest(name, names); suggestion != "" {
		return fmt.Sprintf("%s (did you mean %q?)", list, suggestion)
	}
	return list
}

// maxComparedBytes is the maximum length of a name that is compared with the allowed
// ones.
const maxComparedBytes = 64

// closest returns the name with the smallest edit distance, or "" if all differ in
// more than a third of their letters.
func closest(name string, names []string) string {
	best, bestDistance := "", maxComparedBytes
	if len(name) > maxComparedBytes {
		return best
	}
	for _, other := range names {
		distance := editDistance(strings.ToLower(name), other)
		if distance < bestDistance && distance <= (len(other)+2)/3 {
			best, bestDistance = other, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two names.
func editDistance(a, b string) int {
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		diagonal := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = distances[j+1]
			distances[j+1] = min(replace, distances[j]+1, distances[j+1]+1)
		}
	}
	return distances[len(b)]
}

// FieldPaths returns the paths of all fields that Decode accepts for the struct. The
// elements of a list "keys" have the path "keys[]". Tests use it to check the pages
// that document the fields.
func FieldPaths(structValue any) []string {
	return fieldPaths(reflect.New(reflect.TypeOf(structValue)).Elem(), rootPath)
}

func fieldPaths(target reflect.Value, path string) []string {
	switch target.Kind() {
	case reflect.Slice:
		return fieldPaths(reflect.New(target.Type().Elem()).Elem(), path+"[]")
	case reflect.Struct:
		if _, isText := target.Addr().Interface().(encoding.TextUnmarshaler); !isText {
			break
		}
		return []string{path}
	default:
		return []string{path}
	}
	var all []string
	for name, f := range fieldsOf(target) {
		all = append(all, fieldPaths(f.value, join(path, name))...)
	}
	slices.Sort(all)
	return all
}
