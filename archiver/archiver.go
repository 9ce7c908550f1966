// Package archiver transfers declarations between hosts as deltas. It keeps the
// recent steps (patches from one revision to the next) that led to the file in
// force and sends a peer the steps that it lacks; a peer that is too far behind
// gets the whole file.
//
// # Usage
//
//	archive := archiver.New()
//	keeper.Subscribe(archive.Record)
//	answer := archive.Answer(request)            // on the peer
//	source, err := archive.Reconstruct(current, answer) // on the requesting host
//
// Received steps are kept unmerged, so that every host can serve peers that are
// at any of the intermediate revisions.
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
	// maxSteps is the maximum number of steps kept.
	maxSteps = 64
	// maxPatchBytes is the maximum total size of the patches kept, in bytes.
	maxPatchBytes = 512 << 10
	// smallStepBytes is the total patch size up to which steps are sent without
	// compressing the whole file to compare sizes, in bytes.
	smallStepBytes = 16 << 10
)

// Archive holds the file in force and the steps that led to it. It is safe for
// concurrent use.
type Archive struct {
	mu         sync.Mutex
	current    *compiler.Fleet
	steps      []peerwire.DeclarationsStep // contiguous, oldest first
	received   []peerwire.DeclarationsStep // from the last Reconstruct; consumed by Record
	compressed []byte                      // current's source, compressed on first use
}

// New returns an empty archive.
func New() *Archive {
	return &Archive{}
}

// Record records that next has replaced previous, which may be nil, as the fleet
// in force. It does nothing if next is already current.
func (a *Archive) Record(previous, next *compiler.Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == next {
		return
	}
	a.current = next
	a.compressed = nil
	if previous == nil {
		a.steps = nil
		return
	}
	steps := a.received
	a.received = nil
	if !connects(steps, previous.Digest, next.Digest) {
		patch := patcher.Diff(previous.Source, next.Source)
		steps = []peerwire.DeclarationsStep{{From: previous.Digest, To: next.Digest, Patch: patch}}
	}
	a.steps = trimSteps(append(a.steps, steps...))
}

// connects reports whether the steps form a chain between the two digests.
func connects(steps []peerwire.DeclarationsStep, from, to uint64) bool {
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

// trimSteps drops the oldest steps until the rest is within maxSteps and
// maxPatchBytes.
func trimSteps(steps []peerwire.DeclarationsStep) []peerwire.DeclarationsStep {
	total := 0
	for i := len(steps) - 1; i >= 0; i-- {
		total += len(steps[i].Patch)
		if total > maxPatchBytes || len(steps)-i > maxSteps {
			return append([]peerwire.DeclarationsStep(nil), steps[i+1:]...)
		}
	}
	return steps
}

// Answer returns the steps or the file that bring the requesting peer up to date.
func (a *Archive) Answer(ask *peerwire.DeclarationsRequest) *peerwire.Declarations {
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
	if len(steps) > 0 && (patchBytes(steps) <= smallStepBytes || patchBytes(steps) <= len(a.compressedSource())) {
		answer.Steps = steps
		return answer
	}
	answer.Whole = a.compressedSource()
	return answer
}

// stepsFrom returns the steps from the requesting peer's file to the current one;
// nil: they aren't kept.
func (a *Archive) stepsFrom(ask *peerwire.DeclarationsRequest) []peerwire.DeclarationsStep {
	if ask.Revision == 0 {
		return nil
	}
	for i := len(a.steps) - 1; i >= 0; i-- {
		if steps := a.steps[i:]; connects(steps, ask.Digest, a.current.Digest) {
			return steps
		}
	}
	return nil
}

// compressedSource returns the current file, compressed.
func (a *Archive) compressedSource() []byte {
	if a.compressed == nil {
		a.compressed = compress(a.current.Source)
	}
	return a.compressed
}

func patchBytes(steps []peerwire.DeclarationsStep) int {
	total := 0
	for _, s := range steps {
		total += len(s.Patch)
	}
	return total
}

// Reconstruct rebuilds the file from a peer's response. Current is the fleet in
// force on the requesting host; it may be nil. The result is verified against
// the response's digest.
func (a *Archive) Reconstruct(current *compiler.Fleet, answer *peerwire.Declarations) ([]byte, error) {
	source, err := reconstruct(current, answer)
	if err != nil {
		return nil, err
	}
	if digest := xxhash.Sum64(source); digest != answer.Digest {
		return nil, fmt.Errorf("declarations of revision %d have digest %016x, expected %016x", answer.Revision, digest, answer.Digest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received = answer.Steps
	return source, nil
}

func reconstruct(current *compiler.Fleet, answer *peerwire.Declarations) ([]byte, error) {
	if len(answer.Steps) == 0 {
		return decompress(answer.Whole)
	}
	if current == nil || !connects(answer.Steps, current.Digest, answer.Digest) {
		return nil, fmt.Errorf("steps don't lead from the declarations in force to revision %d", answer.Revision)
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
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil // unreachable: the compression level is valid
	}
	_, _ = w.Write(source) // writing to a bytes.Buffer can't fail
	_ = w.Close()
	return compressed.Bytes()
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
