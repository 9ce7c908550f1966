// Package earmarker dedicates engines to requests of underserved sizes. The
// memory that one completed request frees is seldom enough for a large request,
// and smaller requests behind it in the queue would take it each time. An engine
// is therefore earmarked for the large request and accepts no others until
// enough memory is free. The package holds policy only: it does no I/O, reads no
// clock and starts no goroutines.
//
// # Usage
//
//	m := earmarker.New()
//	if m.CanEarmark(engines) {
//		m.Earmark(key, engine)
//	}
//	others := m.EnginesOfOthers(key) // to exclude from a search for key
//	m.Release(key)
package earmarker

import (
	"maps"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// enginesPerEarmark limits earmarks to one for every enginesPerEarmark engines,
// with a minimum of one.
const enginesPerEarmark = 4

// Earmarks maps requests to the engines earmarked for them. It is not safe for
// concurrent use.
type Earmarks struct {
	engines map[admitter.Key]identifier.Endpoint
}

// New returns an empty set of earmarks.
func New() *Earmarks {
	return &Earmarks{engines: map[admitter.Key]identifier.Endpoint{}}
}

// CanEarmark reports whether a pool with the given number of engines allows
// another earmark.
func (m *Earmarks) CanEarmark(engines int) bool {
	return len(m.engines) < max(1, engines/enginesPerEarmark)
}

// Earmark dedicates engine e to request k.
func (m *Earmarks) Earmark(k admitter.Key, e identifier.Endpoint) {
	m.engines[k] = e
}

// Engine returns the engine that is earmarked for request k.
func (m *Earmarks) Engine(k admitter.Key) (identifier.Endpoint, bool) {
	e, ok := m.engines[k]
	return e, ok
}

// All returns a copy of all earmarks.
func (m *Earmarks) All() map[admitter.Key]identifier.Endpoint {
	return maps.Clone(m.engines)
}

// EnginesOfOthers returns the engines that are earmarked for requests other
// than k.
func (m *Earmarks) EnginesOfOthers(k admitter.Key) []identifier.Endpoint {
	var others []identifier.Endpoint
	for o, e := range m.engines {
		if o != k {
			others = append(others, e)
		}
	}
	return others
}

// Release removes the earmark of request k.
func (m *Earmarks) Release(k admitter.Key) {
	delete(m.engines, k)
}
