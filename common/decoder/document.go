// Package decoder decodes TOML files into structs and reports every fault at
// once, each with file, line, key and what is expected. Declarations and
// process settings share it.
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
// Unknown keys are faults. Durations are written as text ("1.6s"). A struct
// that implements [Defaulter] is given its defaults before its keys are read.
// Checks by tag are those of go-playground/validator, beside "name" and
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

// MaxSize bounds a file, in bytes.
const MaxSize = 1 << 20

// Document is a decoded file: the place of every key, and the faults.
type Document struct {
	name     string
	source   []byte
	tree     map[string]any
	problems Problems
	// places holds the place of each key; it is made at the first fault.
	places map[string]place
	// overrides holds the origin of each key that was overridden.
	overrides map[string]place
	// faults holds the places and keys that have a problem.
	faults map[fault]bool
	// broken is set when the file is no TOML, so that nothing was decoded.
	broken bool
}

// fault names a key that has a problem.
type fault struct {
	at  place
	key string
}

// place is where a key was set.
type place struct {
	origin string
	line   int
}

// Decode reads source into target, a pointer to a struct. Faults are kept in
// the document; name is used in their texts.
func Decode(name string, source []byte, target any) *Document {
	d := &Document{
		name:      name,
		source:    source,
		tree:      map[string]any{},
		overrides: map[string]place{},
		faults:    map[fault]bool{},
	}
	if len(source) > MaxSize {
		d.broken = true
		d.add(place{origin: name}, "", fmt.Sprintf("expected at most %d bytes, got %d", MaxSize, len(source)))
		return d
	}
	if err := toml.Unmarshal(source, &d.tree); err != nil {
		d.broken = true
		d.addSyntax(err)
		return d
	}
	d.bindRoot(d.tree, target)
	return d
}

// Broken tells whether the file is no TOML; then nothing was decoded.
func (d *Document) Broken() bool {
	return d.broken
}

// Has tells whether the key at path was given. Entries of arrays are
// numbered from 0, as in "service[2].name".
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

// Addf adds a fault of the key at path.
func (d *Document) Addf(path, format string, args ...any) {
	d.add(d.locate(path), path, fmt.Sprintf(format, args...))
}

// Err gives all faults as Problems, sorted by line, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems.sorted()
}

func (d *Document) add(at place, path, text string) {
	d.faults[fault{at: at, key: display(path)}] = true
	d.problems = append(d.problems, Problem{
		Origin: at.origin,
		Line:   at.line,
		Key:    display(path),
		Text:   text,
	})
}

func (d *Document) addSyntax(err error) {
	at := place{origin: d.name, line: 1}
	key := ""
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		at.line, _ = e.Position()
		key = strings.Join(e.Key(), ".")
	}
	d.add(at, key, "expected TOML: "+strings.TrimPrefix(err.Error(), "toml: "))
}

// locate gives the place of path, or of the nearest table around it.
func (d *Document) locate(path string) place {
	if d.places == nil && !d.broken {
		d.places = index(d.name, d.source)
	}
	for path != "" {
		if at, ok := d.overrides[path]; ok {
			return at
		}
		if at, ok := d.places[path]; ok {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return place{origin: d.name, line: 1}
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// display gives path as it is written in the file.
func display(path string) string {
	return arrayIndex.ReplaceAllString(path, "")
}

// join appends a key to the path of its table.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
