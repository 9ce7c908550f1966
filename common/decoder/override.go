package decoder

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Override replaces the value of one key, after the file was read.
type Override struct {
	// Origin names the flag or environment variable, for errors.
	Origin string
	// Path of the key, such as "listeners.callers".
	Path string
	// Text of the value; entries of a list are separated by commas.
	Text string
}

// Override sets a key of target, the pointer that was given to Decode. It
// does nothing for a broken document.
func (d *Document) Override(target any, o Override) {
	if d.broken {
		return
	}
	at := place{origin: o.Origin}
	value, ok := find(reflect.ValueOf(target).Elem(), o.Path)
	if !ok {
		d.add(at, o.Path, "unknown key; expected one of "+quoteAll(Paths(target)))
		return
	}
	d.overrides[o.Path] = at
	d.bind(o.Path, tomlValue(o.Text, value.Type()), value)
}

func find(value reflect.Value, path string) (reflect.Value, bool) {
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

// Paths gives the paths of all keys of target, a pointer to a struct, sorted.
func Paths(target any) []string {
	return slices.Sorted(maps.Keys(leaves("", reflect.ValueOf(target).Elem())))
}

func leaves(path string, value reflect.Value) map[string]bool {
	paths := map[string]bool{}
	for key, field := range fieldsOf(value) {
		inner := join(path, key)
		if field.Kind() == reflect.Struct {
			maps.Copy(paths, leaves(inner, field))
			continue
		}
		paths[inner] = true
	}
	return paths
}

// tomlValue gives text as the TOML library would give a value for type t. Text
// that can't be read stays text, which then is reported as a mismatch.
func tomlValue(text string, t reflect.Type) any {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return text
	case t.Kind() == reflect.Slice:
		return listValue(text)
	case t.Kind() == reflect.Bool:
		if truth, err := strconv.ParseBool(text); err == nil {
			return truth
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
