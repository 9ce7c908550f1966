// Package earmarker keeps engines for requests that get too little. Room that
// becomes free at an engine is seldom enough for a large request, and smaller
// ones that wait behind it would take it each time; so an engine is kept for the
// large one until enough is free there. The package decides only: it has no I/O,
// no clock and no goroutines.
//
// # Usage
//
//	m := earmarker.New()
//	if m.Spare(engines) {
//		m.Keep(key, engine)
//	}
//	others := m.Others(key) // engines that a search for key leaves alone
//	m.Release(key)
package earmarker

import (
	"maps"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// enginesPerEarmark bounds the engines that are kept, to one of so many; at
// least one may be.
const enginesPerEarmark = 4

// Earmarks holds the engines that are kept. It is not safe for concurrent use.
type Earmarks struct {
	kept map[admitter.Key]identifier.Endpoint
}

// New gives Earmarks without any.
func New() *Earmarks {
	return &Earmarks{kept: map[admitter.Key]identifier.Endpoint{}}
}

// Spare tells whether one more of so many engines may be kept.
func (m *Earmarks) Spare(engines int) bool {
	return len(m.kept) < max(1, engines/enginesPerEarmark)
}

// Keep keeps an engine for a request.
func (m *Earmarks) Keep(k admitter.Key, e identifier.Endpoint) {
	m.kept[k] = e
}

// Kept gives the engine that is kept for a request.
func (m *Earmarks) Kept(k admitter.Key) (identifier.Endpoint, bool) {
	e, ok := m.kept[k]
	return e, ok
}

// All gives the requests for which engines are kept.
func (m *Earmarks) All() map[admitter.Key]identifier.Endpoint {
	return maps.Clone(m.kept)
}

// Others gives the engines that are kept for other requests than k.
func (m *Earmarks) Others(k admitter.Key) []identifier.Endpoint {
	var others []identifier.Endpoint
	for o, e := range m.kept {
		if o != k {
			others = append(others, e)
		}
	}
	return others
}

// Release lets all use a request's engine again.
func (m *Earmarks) Release(k admitter.Key) {
	delete(m.kept, k)
}
