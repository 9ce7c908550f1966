// Package deduper recognizes messages that arrive more than once.
//
// # Usage
//
//	d := deduper.New()
//	if !d.Accept(m.Origin, m.Sequence) { return } // it has arrived before
//	d.Prune(isMember)                             // at intervals
//
// Each process numbers its messages, from 1.
package deduper

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Deduper remembers which messages of each process have arrived. It is not safe for concurrent
// use.
type Deduper struct {
	processes map[identifier.Incarnation]window
}

// window has the last numbers that arrived from a process.
type window struct {
	highest uint64
	// seen has a bit for each of the numbers up to the highest, which is bit 0.
	seen uint64
}

// New returns a Deduper to which nothing has arrived.
func New() *Deduper {
	return &Deduper{processes: map[identifier.Incarnation]window{}}
}

// Accept records a message of a process, and reports whether it is a new one. Messages may arrive out
// of order; one that is far behind counts as a repeated one.
func (d *Deduper) Accept(from identifier.Incarnation, sequence uint64) bool {
	w := d.processes[from]
	if sequence > w.highest {
		w.seen <<= sequence - w.highest // 0 if all are far behind
		w.highest = sequence
	}
	bit := uint64(1) << (w.highest - sequence)
	if bit == 0 || sequence == 0 || w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	d.processes[from] = w
	return true
}

// Prune forgets the processes for which keep returns false.
func (d *Deduper) Prune(keep func(identifier.Incarnation) bool) {
	for i := range d.processes {
		if !keep(i) {
			delete(d.processes, i)
		}
	}
}
