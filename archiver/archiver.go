// Package archiver hands declarations on between hosts with few bytes. It
// remembers how the file in force came about, step by step, and sends a peer
// the steps that it lacks; a peer that is too far behind gets the whole file.
//
// # Usage
//
//	archive := archiver.New()
//	keeper.Subscribe(archive.Swap)
//	answer := archive.Answer(ask)                    // at the peer that is asked
//	source, err := archive.Take(current, answer)     // at the host that asked
//
// Steps are kept as they came, so that each host can serve peers that stand
// at any of the revisions between.
package archiver

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/patcher"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// maxSteps bounds the steps that are kept.
	maxSteps = 64
	// maxStepBytes bounds the patches that are kept, in bytes.
	maxStepBytes = 512 << 10
	// smallSteps is the size up to which steps are sent without a look at
	// the size of the whole file, in bytes.
	smallSteps = 16 << 10
)

// Archive holds the file in force and the steps before it. It is safe for
// use by several goroutines.
type Archive struct {
	mu      sync.Mutex
	current *compiler.Fleet
	steps   []peerwire.DeclarationsStep // each goes on from the one before
	taken   []peerwire.DeclarationsStep // of the last Take, until Swap
	whole   []byte                      // current's source, compressed; nil: not asked yet
}

// New gives an empty archive.
func New() *Archive {
	return &Archive{}
}

// Swap notes that next came into force after previous, which may be nil. It
// does nothing if next is noted already.
func (a *Archive) Swap(previous, next *compiler.Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == next {
		return
	}
	a.current = next
	a.whole = nil
	if previous == nil {
		a.steps = nil
		return
	}
	steps := a.taken
	a.taken = nil
	if !joins(steps, previous.Digest, next.Digest) {
		patch := patcher.Diff(previous.Source, next.Source)
		steps = []peerwire.DeclarationsStep{{From: previous.Digest, To: next.Digest, Patch: patch}}
	}
	a.steps = trim(append(a.steps, steps...))
}

// joins tells whether the steps lead from one digest to the other.
func joins(steps []peerwire.DeclarationsStep, from, to uint64) bool {
	if len(steps) == 0 {
		return false
	}
	for _, s := range steps {
		if s.From != from {
			return false
		}
		from = s.To
	}
	return from == to
}

// trim drops the oldest steps until the rest is within the bounds.
func trim(steps []peerwire.DeclarationsStep) []peerwire.DeclarationsStep {
	total := 0
	for i := len(steps) - 1; i >= 0; i-- {
		total += len(steps[i].Patch)
		if total > maxStepBytes || len(steps)-i > maxSteps {
			return append([]peerwire.DeclarationsStep(nil), steps[i+1:]...)
		}
	}
	return steps
}

// Answer gives a peer what it lacks.
func (a *Archive) Answer(ask *peerwire.DeclarationsAsk) *peerwire.Declarations {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return &peerwire.Declarations{}
	}
	answer := &peerwire.Declarations{Revision: a.current.Revision, Digest: a.current.Digest}
	if ask.Revision >= a.current.Revision {
		return answer
	}
	steps := a.stepsFrom(ask)
	if len(steps) > 0 && (patchBytes(steps) <= smallSteps || patchBytes(steps) <= len(a.packed())) {
		answer.Steps = steps
		return answer
	}
	answer.Whole = a.packed()
	return answer
}

// stepsFrom gives the steps that lead from the asker's file to the current
// one, or none.
func (a *Archive) stepsFrom(ask *peerwire.DeclarationsAsk) []peerwire.DeclarationsStep {
	if ask.Revision == 0 {
		return nil
	}
	for i := len(a.steps) - 1; i >= 0; i-- {
		if steps := a.steps[i:]; joins(steps, ask.Digest, a.current.Digest) {
			return steps
		}
	}
	return nil
}

// packed gives the current file, compressed.
func (a *Archive) packed() []byte {
	if a.whole == nil {
		a.whole = compress(a.current.Source)
	}
	return a.whole
}

func patchBytes(steps []peerwire.DeclarationsStep) int {
	total := 0
	for _, s := range steps {
		total += len(s.Patch)
	}
	return total
}

// Take makes the file that a peer answered with. Current is what the asker
// has in force; it may be nil. The result has the answer's digest.
func (a *Archive) Take(current *compiler.Fleet, answer *peerwire.Declarations) ([]byte, error) {
	source, err := unpack(current, answer)
	if err != nil {
		return nil, err
	}
	if digest := xxhash.Sum64(source); digest != answer.Digest {
		return nil, fmt.Errorf("declarations of revision %d have digest %016x, expected %016x", answer.Revision, digest, answer.Digest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taken = answer.Steps
	return source, nil
}

func unpack(current *compiler.Fleet, answer *peerwire.Declarations) ([]byte, error) {
	if len(answer.Steps) == 0 {
		return decompress(answer.Whole)
	}
	if current == nil || !joins(answer.Steps, current.Digest, answer.Digest) {
		return nil, fmt.Errorf("steps to revision %d don't go on from the declarations in force", answer.Revision)
	}
	source := current.Source
	for _, s := range answer.Steps {
		var err error
		if source, err = patcher.Apply(source, s.Patch, decoder.MaxSize); err != nil {
			return nil, eris.Wrapf(err, "step to revision %d", answer.Revision)
		}
	}
	return source, nil
}

func compress(source []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil // never: the level is valid
	}
	_, _ = w.Write(source) // a buffer takes all
	_ = w.Close()
	return packed.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	source, err := io.ReadAll(io.LimitReader(r, decoder.MaxSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress declarations")
	}
	if len(source) > decoder.MaxSize {
		return nil, fmt.Errorf("declarations are longer than %d bytes", decoder.MaxSize)
	}
	return source, nil
}
