package decoder

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Override replaces the value of one key after the file has been decoded.
type Override struct {
	// Origin names the flag or environment variable in error messages.
	Origin string
	// Path is the path of the key, such as "listeners.callers".
	Path string
	// Text is the value. List entries are separated by commas.
	Text string
}

// Override applies o to target, the pointer that was passed to Decode. It does
// nothing if the document is broken.
func (d *Document) Override(target any, o Override) {
	if d.broken {
		return
	}
	at := location{origin: o.Origin}
	value, ok := findField(reflect.ValueOf(target).Elem(), o.Path)
	if !ok {
		d.add(at, o.Path, "unknown key; expected one of "+quoteAll(Paths(target)))
		return
	}
	d.overrides[o.Path] = at
	d.bind(o.Path, tomlValue(o.Text, value.Type()), value)
}

func findField(value reflect.Value, path string) (reflect.Value, bool) {
	for part := range strings.SplitSeq(path, ".") {
		if value.Kind() != reflect.Struct {
			return value, false
		}
		field, ok := fieldsOf(value)[part]
		if !ok {
			return value, false
		}
		value = field
	}
	return value, value.Kind() != reflect.Struct
}

// Paths returns the sorted paths of all keys of target, a pointer to a struct.
func Paths(target any) []string {
	return slices.Sorted(maps.Keys(leafPaths("", reflect.ValueOf(target).Elem())))
}

func leafPaths(path string, value reflect.Value) map[string]bool {
	paths := map[string]bool{}
	for key, field := range fieldsOf(value) {
		keyPath := join(path, key)
		if field.Kind() == reflect.Struct {
			maps.Copy(paths, leafPaths(keyPath, field))
			continue
		}
		paths[keyPath] = true
	}
	return paths
}

// tomlValue converts text to the value that the TOML library would return for
// type t. Text that can't be parsed is returned as a string, which bind then
// reports as a type mismatch.
func tomlValue(text string, t reflect.Type) any {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return text
	case t.Kind() == reflect.Slice:
		return listValue(text)
	case t.Kind() == reflect.Bool:
		if parsed, err := strconv.ParseBool(text); err == nil {
			return parsed
		}
	case t.Kind() == reflect.Float64:
		if n, err := strconv.ParseFloat(text, 64); err == nil {
			return n
		}
	case t.Kind() != reflect.String:
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			return n
		}
	}
	return text
}

func listValue(text string) []any {
	if text == "" {
		return []any{}
	}
	var entries []any
	for entry := range strings.SplitSeq(text, ",") {
		entries = append(entries, strings.TrimSpace(entry))
	}
	return entries
}
