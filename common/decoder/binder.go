package decoder

import (
	"encoding"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Defaulter is implemented by structs whose defaults aren't all zero values.
type Defaulter interface {
	// SetDefaults sets the defaults. It is called before the given keys are
	// decoded.
	SetDefaults()
}

func (d *Document) bindRoot(tree map[string]any, target any) {
	value := reflect.ValueOf(target).Elem()
	setDefaults(value)
	d.bindTable("", tree, value)
}

// setDefaults calls SetDefaults on value and on the structs in its fields.
func setDefaults(value reflect.Value) {
	if value.Kind() != reflect.Struct || !value.CanAddr() {
		return
	}
	if s, ok := value.Addr().Interface().(Defaulter); ok {
		s.SetDefaults()
	}
	for _, field := range value.Fields() {
		if field.CanSet() {
			setDefaults(field)
		}
	}
}

// bindTable sets value's fields from the keys of table.
func (d *Document) bindTable(path string, table map[string]any, value reflect.Value) {
	fields := fieldsOf(value)
	for _, key := range slices.Sorted(maps.Keys(table)) {
		keyPath := join(path, key)
		field, ok := fields[key]
		if !ok {
			d.Addf(keyPath, "unknown key; expected one of %s", quoteAll(slices.Sorted(maps.Keys(fields))))
			continue
		}
		d.bind(keyPath, table[key], field)
	}
}

// fieldsOf returns the fields of a struct by TOML key.
func fieldsOf(value reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for field, v := range value.Fields() {
		if key := field.Tag.Get("toml"); key != "" && key != "-" {
			fields[key] = v
		}
	}
	return fields
}

// bind sets value from source, a value decoded by the TOML library.
func (d *Document) bind(path string, source any, value reflect.Value) {
	if u, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.bindText(path, source, u)
		return
	}
	if value.Type() == reflect.TypeFor[time.Duration]() {
		d.bindDuration(path, source, value)
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		d.bindStruct(path, source, value)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		setDefaults(value.Elem())
		d.bind(path, source, value.Elem())
	case reflect.Slice:
		d.bindSlice(path, source, value)
	default:
		d.bindScalar(path, source, value)
	}
}

func (d *Document) bindStruct(path string, source any, value reflect.Value) {
	table, ok := source.(map[string]any)
	if !ok {
		d.addMismatch(path, "a table", source)
		return
	}
	d.bindTable(path, table, value)
}

func (d *Document) bindSlice(path string, source any, value reflect.Value) {
	entries, ok := source.([]any)
	if !ok {
		d.addMismatch(path, "an array", source)
		return
	}
	slice := reflect.MakeSlice(value.Type(), len(entries), len(entries))
	for i, entry := range entries {
		setDefaults(slice.Index(i))
		d.bind(entryPath(path, i), entry, slice.Index(i))
	}
	value.Set(slice)
}

func (d *Document) bindText(path string, source any, u encoding.TextUnmarshaler) {
	text, ok := source.(string)
	if !ok {
		d.addMismatch(path, "text", source)
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.Addf(path, "%s", err)
	}
}

func (d *Document) bindDuration(path string, source any, value reflect.Value) {
	text, ok := source.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.addMismatch(path, `a duration with its unit, such as "1.6s"`, source)
		return
	}
	value.SetInt(int64(duration))
}

// bindScalar sets a string, a boolean or a number.
func (d *Document) bindScalar(path string, source any, value reflect.Value) {
	switch value.Kind() {
	case reflect.String:
		if text, ok := source.(string); ok {
			value.SetString(text)
			return
		}
		d.addMismatch(path, "text", source)
	case reflect.Bool:
		if b, ok := source.(bool); ok {
			value.SetBool(b)
			return
		}
		d.addMismatch(path, "true or false", source)
	case reflect.Float64:
		d.bindFloat(path, source, value)
	default:
		d.bindInteger(path, source, value)
	}
}

func (d *Document) bindFloat(path string, source any, value reflect.Value) {
	switch n := source.(type) {
	case int64:
		value.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.addMismatch(path, "a finite number", source)
			return
		}
		value.SetFloat(n)
	default:
		d.addMismatch(path, "a number", source)
	}
}

func (d *Document) bindInteger(path string, source any, value reflect.Value) {
	n, ok := source.(int64)
	switch {
	case !ok:
		d.addMismatch(path, "a whole number", source)
	case value.CanInt() && !value.OverflowInt(n):
		value.SetInt(n)
	case value.CanUint() && n >= 0 && !value.OverflowUint(uint64(n)):
		value.SetUint(uint64(n))
	default:
		d.addMismatch(path, "a whole number within the key's range", source)
	}
}

func (d *Document) addMismatch(path, expected string, source any) {
	d.Addf(path, "expected %s, got %s", expected, describe(source))
}

// describe formats a TOML value for an error message.
func describe(source any) string {
	switch v := source.(type) {
	case string:
		return fmt.Sprintf("%q", truncate(v))
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return fmt.Sprintf("%v", v)
	}
}

// maxQuotedBytes bounds the length of strings quoted in error messages.
const maxQuotedBytes = 64

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

func quoteAll(keys []string) string {
	quoted := make([]string, len(keys))
	for i, key := range keys {
		quoted[i] = fmt.Sprintf("%q", key)
	}
	return strings.Join(quoted, ", ")
}
