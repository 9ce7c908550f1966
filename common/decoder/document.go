// Package decoder decodes TOML files into structs and reports all problems at
// once, each with its file, line, key and the expected value. It is used for
// declarations and for process settings.
//
// # Usage
//
//	type file struct {
//		Name    string        `toml:"name" validate:"required,name"`
//		Timeout time.Duration `toml:"timeout" validate:"gt=0"`
//	}
//	var f file
//	document := decoder.Decode("desk.toml", source, &f)
//	document.Validate(&f)
//	if f.Name == "desk" {
//		document.Addf("name", "expected a name other than %q", f.Name)
//	}
//	err := document.Err() // of type Problems
//
// Unknown keys are problems. Durations are written as strings ("1.6s"). A struct
// that implements [Defaulter] gets its defaults before its keys are decoded.
// The validate tags are those of go-playground/validator, plus "name" and
// "ip-port".
package decoder

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxSize is the maximum size of a file in bytes.
const MaxSize = 1 << 20

// Document is a decoded file with the location of every key and the problems
// found so far.
type Document struct {
	name     string
	source   []byte
	tree     map[string]any
	problems Problems
	// locations maps each key to its location. It is built when the first
	// problem is added.
	locations map[string]location
	// overrides maps each overridden key to the origin of its override.
	overrides map[string]location
	// reported holds the keys that have a problem.
	reported map[problemKey]bool
	// broken is set if the file is too large or not valid TOML, so that
	// nothing was decoded.
	broken bool
}

// problemKey identifies a key that has a problem.
type problemKey struct {
	at  location
	key string
}

// location is the origin and line at which a key was set.
type location struct {
	origin string
	line   int
}

// Decode decodes source into target, a pointer to a struct. Problems are
// collected in the document and reported with name as their origin.
func Decode(name string, source []byte, target any) *Document {
	d := &Document{
		name:      name,
		source:    source,
		tree:      map[string]any{},
		overrides: map[string]location{},
		reported:  map[problemKey]bool{},
	}
	if len(source) > MaxSize {
		d.broken = true
		d.add(location{origin: name}, "", fmt.Sprintf("expected at most %d bytes, got %d", MaxSize, len(source)))
		return d
	}
	if err := toml.Unmarshal(source, &d.tree); err != nil {
		d.broken = true
		d.addSyntaxError(err)
		return d
	}
	d.bindRoot(d.tree, target)
	return d
}

// Undecodable reports whether the file is too large or not valid TOML. Nothing
// was decoded then.
func (d *Document) Undecodable() bool {
	return d.broken
}

// Has reports whether the key at path is set in the file or by an override.
// Array entries are numbered from 0, as in "service[2].name".
func (d *Document) Has(path string) bool {
	if _, ok := d.overrides[path]; ok {
		return true
	}
	value := any(d.tree)
	for part := range strings.SplitSeq(path, ".") {
		key, number, numbered := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		table, _ := value.(map[string]any)
		var ok bool
		if value, ok = table[key]; !ok {
			return false
		}
		if !numbered {
			continue
		}
		entries, _ := value.([]any)
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= len(entries) {
			return false
		}
		value = entries[n]
	}
	return true
}

// Addf adds a problem with the key at path.
func (d *Document) Addf(path, format string, args ...any) {
	d.add(d.locate(path), path, fmt.Sprintf(format, args...))
}

// Err returns all problems as Problems, sorted by line, or nil if there are
// none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems.sorted()
}

func (d *Document) add(at location, path, text string) {
	d.reported[problemKey{at: at, key: stripIndexes(path)}] = true
	d.problems = append(d.problems, Problem{
		Origin: at.origin,
		Line:   at.line,
		Key:    stripIndexes(path),
		Text:   text,
	})
}

func (d *Document) addSyntaxError(err error) {
	at := location{origin: d.name, line: 1}
	key := ""
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		at.line, _ = e.Position()
		key = strings.Join(e.Key(), ".")
	}
	d.add(at, key, "expected TOML: "+strings.TrimPrefix(err.Error(), "toml: "))
}

// locate returns the location of path, or of the closest enclosing table or
// array.
func (d *Document) locate(path string) location {
	if d.locations == nil && !d.broken {
		d.locations = indexLocations(d.name, d.source)
	}
	for path != "" {
		if at, ok := d.overrides[path]; ok {
			return at
		}
		if at, ok := d.locations[path]; ok {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return location{origin: d.name, line: 1}
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// stripIndexes removes array indexes from path, which gives the key as it is
// written in the file.
func stripIndexes(path string) string {
	return arrayIndex.ReplaceAllString(path, "")
}

// join appends a key to the path of its table.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
