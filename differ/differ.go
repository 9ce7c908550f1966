// Package differ lists what changes from one revision of the declarations to
// another.
//
// # Usage
//
//	changes := differ.Compare(older, newer)
//	fmt.Print(differ.Text(changes))
//
// The text has one line for each thing that is added, removed or changed:
//
//   - endpoint desk-4: service=dealer-desk data-center=tw-north-1 ...
//   - endpoint desk-2
//     ~ service dealer-desk: timeout 20s -> 30s, queue-limit 200 -> 300
package differ

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// Verb says what happens to a thing.
type Verb string

// Verbs.
const (
	VerbAdded   Verb = "added"
	VerbRemoved Verb = "removed"
	VerbChanged Verb = "changed"
)

// Kind says what changes.
type Kind string

// Kinds of things, in the order in which they are listed.
const (
	KindFirm            Kind = "firm"
	KindDataCenter      Kind = "data-center"
	KindService         Kind = "service"
	KindEndpoint        Kind = "endpoint"
	KindLink            Kind = "link"
	KindContract        Kind = "contract"
	KindCustomer        Kind = "customer"
	KindDefaultCustomer Kind = "default-customer"
)

// Change is one thing that is added, removed or changed.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Fields are all keys of a thing that is added, none of one that is
	// removed, and those that differ of one that is changed.
	Fields []Field `json:"fields,omitempty"`
}

// Field is a key of a thing. Old is empty where the thing is added.
type Field struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new"`
}

// identity names a thing.
type identity struct {
	kind Kind
	name string
}

// Compare lists the changes from older to newer, by kind and name. Older may
// be nil.
func Compare(older, newer *compiler.Fleet) []Change {
	before, after := map[identity][]Field{}, things(newer)
	if older != nil {
		before = things(older)
	}
	var changes []Change
	for id, fields := range after {
		old, ok := before[id]
		if !ok {
			changes = append(changes, Change{Verb: VerbAdded, Kind: id.kind, Name: id.name, Fields: fields})
			continue
		}
		if changed := changedFields(old, fields); len(changed) > 0 {
			changes = append(changes, Change{Verb: VerbChanged, Kind: id.kind, Name: id.name, Fields: changed})
		}
	}
	for id := range maps.Keys(before) {
		if _, ok := after[id]; !ok {
			changes = append(changes, Change{Verb: VerbRemoved, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(order(a.Kind), order(b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// order gives a kind's place in the list.
func order(k Kind) int {
	return slices.Index([]Kind{
		KindFirm, KindDataCenter, KindService, KindEndpoint, KindLink,
		KindContract, KindCustomer, KindDefaultCustomer,
	}, k)
}

// changedFields compares two lists of the same keys.
func changedFields(older, newer []Field) []Field {
	var changed []Field
	for i, f := range newer {
		if f.New != older[i].New {
			changed = append(changed, Field{Key: f.Key, Old: older[i].New, New: f.New})
		}
	}
	return changed
}

// Text gives the changes for people, one a line.
func Text(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// String gives the change as one line.
func (c Change) String() string {
	head := strings.TrimSpace(fmt.Sprintf("%s %s", c.Kind, c.Name))
	switch c.Verb {
	case VerbAdded:
		return "+ " + head + ": " + joinFields(c.Fields, " ", func(f Field) string { return f.Key + "=" + f.New })
	case VerbRemoved:
		return "- " + head
	default:
		return "~ " + head + ": " + joinFields(c.Fields, ", ", func(f Field) string {
			return f.Key + " " + quoteEmpty(f.Old) + " -> " + quoteEmpty(f.New)
		})
	}
}

func joinFields(fields []Field, separator string, text func(Field) string) string {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = text(f)
	}
	return strings.Join(texts, separator)
}

// quoteEmpty makes an empty value visible.
func quoteEmpty(value string) string {
	if value == "" {
		return `""`
	}
	return value
}
