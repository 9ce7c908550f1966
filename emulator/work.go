package emulator

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// phase is the processing phase of an attempt at an engine.
type phase uint8

const (
	phasePrefill   phase = iota + 1 // queued for prefill or being prefilled
	phasePrefilled                  // result waits for its export
	phaseImporting                  // memory and slot reserved, KV cache in transfer
	phaseImported                   // waits for its first decode stream
	phaseDecoding                   // decoding, or waiting for a stream to resume
	phaseFinished                   // memory released, last tokens being sent
)

// workItem is the state of one attempt at an engine. The engine's mutex guards
// it, except for its channels.
type workItem struct {
	attempt         identifier.Attempt
	phase           phase
	priority        enginewire.Priority
	admissionNumber uint64 // increases with each admission

	model           string
	prompt          string
	generatedText   string
	generatedTokens uint32
	maxTokens       uint32
	seed            Seed

	tokens   uint32 // of prompt and generated text
	cached   uint32 // tokens found in the prefix cache
	computed uint32 // tokens computed by a prefill
	produced uint32 // output tokens, including those of earlier attempts

	pieces int
	slot   bool

	handle    string
	exporting bool
	expiresAt time.Time
	expiry    *timer.Subscription

	stream *stream       // nil if no caller reads the answer
	ready  chan struct{} // closed when the prefill is complete
	// ctx is canceled when the engine aborts the attempt or stops.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// stream is the engine's side of one decode stream.
type stream struct {
	ready    chan struct{} // capacity 1: signals that there is something to send
	replaced chan struct{} // closed when another stream replaces this one
}

func newStream() *stream {
	return &stream{
		ready:    make(chan struct{}, 1),
		replaced: make(chan struct{}),
	}
}

func (s *stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// canDecode reports whether the next step may produce a token for w.
func (w *workItem) canDecode() bool {
	return w.phase == phaseDecoding && w.stream != nil && w.produced < w.maxTokens
}

// compare orders work items by priority, urgent first, then by admission.
func (w *workItem) compare(o *workItem) int {
	if w.priority != o.priority {
		return int(o.priority) - int(w.priority)
	}
	if w.admissionNumber < o.admissionNumber {
		return -1
	}
	return 1
}

// mergeContext returns a context that is canceled with ctx or with w's own
// context.
func (w *workItem) mergeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(w.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// causeOr returns the cause for which the engine aborted w, or fallback if w
// was not aborted.
func (w *workItem) causeOr(fallback error) error {
	if w.ctx.Err() == nil {
		return fallback
	}
	return context.Cause(w.ctx)
}

// discardedTokens returns the number of prefill tokens that are lost if w is
// aborted now.
func (w *workItem) discardedTokens() uint32 {
	if w.produced > w.generatedTokens {
		return 0
	}
	return w.computed
}

func attemptFromWire(a *enginewire.Attempt) identifier.Attempt {
	return identifier.Attempt{
		Incarnation: identifier.Incarnation(a.GetIncarnation()),
		Sequence:    a.GetSequence(),
	}
}

func attemptToWire(a identifier.Attempt) *enginewire.Attempt {
	return &enginewire.Attempt{Incarnation: uint64(a.Incarnation), Sequence: a.Sequence}
}
