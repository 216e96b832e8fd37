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
	// hidden fields may hold a secret, so that faults don't show them.
	hidden bool
}

// hiddenTag marks a field as hidden: `jsonc:"hidden"`.
const hiddenTag = "hidden"

// fieldsOf returns the settable fields of a struct by their names in JSON.
// Fields of an embedded struct count as its own, and its own go first.
func fieldsOf(target reflect.Value) map[string]field {
	fields := map[string]field{}
	var embedded []reflect.Value
	for i := range target.NumField() {
		of := target.Type().Field(i)
		name, _, _ := strings.Cut(of.Tag.Get("json"), ",")
		switch {
		case name == "-":
			continue
		case of.Anonymous && name == "" && of.Type.Kind() == reflect.Struct:
			embedded = append(embedded, target.Field(i))
			continue
		case !of.IsExported():
			continue
		case name == "":
			name = of.Name
		}
		fields[name] = field{target.Field(i), of.Tag.Get("jsonc") == hiddenTag}
	}
	for _, inner := range embedded {
		for name, f := range fieldsOf(inner) {
			if _, taken := fields[name]; !taken {
				fields[name] = f
			}
		}
	}
	return fields
}

// join returns the path of a member. A name that is no plain word is quoted,
// as the keys of a map may hold dots.
func join(path, name string) string {
	plain := name != "" && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) < 0
	switch {
	case !plain:
		return fmt.Sprintf("%s[%q]", path, name)
	case path == root:
		return name
	}
	return path + "." + name
}

// allowedNames lists the known fields, the one most like name first.
func allowedNames(name string, known map[string]field) string {
	names := slices.Sorted(maps.Keys(known))
	if len(names) == 0 {
		return "no fields"
	}
	list := "the fields " + strings.Join(names, ", ")
	if near := nearest(name, names); near != "" {
		return fmt.Sprintf("%s (did you mean %q?)", list, near)
	}
	return list
}

// maxNearBytes bounds a name that is compared with the known ones.
const maxNearBytes = 64

// nearest returns the name that differs least, or nothing when all differ in
// more than a third of their letters.
func nearest(name string, names []string) string {
	best, bestDistance := "", maxNearBytes
	if len(name) > maxNearBytes {
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

// editDistance counts the letters to insert, remove or replace between two
// names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// FieldPaths returns the paths of all fields that Decode knows in the struct, the
// elements of lists as "keys[]". The pages that list them are tested with it.
func FieldPaths(of any) []string {
	return paths(reflect.New(reflect.TypeOf(of)).Elem(), root)
}

func paths(target reflect.Value, at string) []string {
	switch target.Kind() {
	case reflect.Slice:
		return paths(reflect.New(target.Type().Elem()).Elem(), at+"[]")
	case reflect.Struct:
		if _, isText := target.Addr().Interface().(encoding.TextUnmarshaler); !isText {
			break
		}
		return []string{at}
	default:
		return []string{at}
	}
	var all []string
	for name, f := range fieldsOf(target) {
		all = append(all, paths(f.value, join(at, name))...)
	}
	slices.Sort(all)
	return all
}
