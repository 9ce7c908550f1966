// Package differ lists the changes between two revisions of the declarations.
//
// # Usage
//
//	changes := differ.Compare(older, newer)
//	fmt.Print(differ.Text(changes))
//
// The text has one line for each entity that is added, removed or changed:
//
//	// Output:
//	// + endpoint desk-4: service=dealer-desk data-center=tw-north-1 ...
//	// - endpoint desk-2
//	// ~ service dealer-desk: timeout 20s -> 30s, queue-limit 200 -> 300
package differ

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// Verb says how an entity changes.
type Verb string

// Values of Verb.
const (
	VerbAdded   Verb = "added"
	VerbRemoved Verb = "removed"
	VerbChanged Verb = "changed"
)

// Kind is the type of an entity.
type Kind string

// Kinds of entities, in the order in which changes are listed.
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

// Change describes an entity that is added, removed or changed.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Fields lists all keys of an added entity, the differing keys of a changed
	// one, and none of a removed one.
	Fields []Field `json:"fields,omitempty"`
}

// Field is a key of an entity with its values. Old is empty if the entity is
// added.
type Field struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new"`
}

// entityKey identifies an entity.
type entityKey struct {
	kind Kind
	name string
}

// Compare returns the changes from older to newer, sorted by kind and name. If
// older is nil, everything is added.
func Compare(older, newer *compiler.Fleet) []Change {
	oldEntities, newEntities := map[entityKey][]Field{}, entities(newer)
	if older != nil {
		oldEntities = entities(older)
	}
	var changes []Change
	for id, fields := range newEntities {
		old, ok := oldEntities[id]
		if !ok {
			changes = append(changes, Change{Verb: VerbAdded, Kind: id.kind, Name: id.name, Fields: fields})
			continue
		}
		if changed := changedFields(old, fields); len(changed) > 0 {
			changes = append(changes, Change{Verb: VerbChanged, Kind: id.kind, Name: id.name, Fields: changed})
		}
	}
	for id := range maps.Keys(oldEntities) {
		if _, ok := newEntities[id]; !ok {
			changes = append(changes, Change{Verb: VerbRemoved, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// kindOrder returns the position of a kind in the listing.
func kindOrder(k Kind) int {
	return slices.Index([]Kind{
		KindFirm, KindDataCenter, KindService, KindEndpoint, KindLink,
		KindContract, KindCustomer, KindDefaultCustomer,
	}, k)
}

// changedFields returns the fields whose values differ. Both lists must have the
// same keys in the same order.
func changedFields(older, newer []Field) []Field {
	var changed []Field
	for i, f := range newer {
		if f.New != older[i].New {
			changed = append(changed, Field{Key: f.Key, Old: older[i].New, New: f.New})
		}
	}
	return changed
}

// Text formats the changes for display, one per line.
func Text(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// String formats the change as one line.
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

// quoteEmpty shows an empty value as "".
func quoteEmpty(value string) string {
	if value == "" {
		return `""`
	}
	return value
}
