package emulator

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// phase is how far an attempt has come at an engine.
type phase uint8

const (
	phasePrefill   phase = iota + 1 // queued for prefill, or in it
	phasePrefilled                  // the result waits for its export
	phaseImporting                  // memory and slot reserved, cache on its way
	phaseImported                   // waits for its first decode stream
	phaseDecoding                   // decoding, or waiting for a stream to resume
	phaseFinished                   // memory freed, last tokens being read
)

// work is what an engine holds of one attempt. The engine's mutex guards it,
// but for its channels.
type work struct {
	attempt  identifier.Attempt
	phase    phase
	priority enginewire.Priority
	order    uint64 // order of admission

	model           string
	prompt          string
	generatedText   string
	generatedTokens uint32
	maxTokens       uint32
	seed            Seed

	tokens   uint32 // of prompt and generated text
	cached   uint32 // of these, found in the prefix cache
	computed uint32 // of these, computed by a prefill
	produced uint32 // output tokens, those of earlier attempts included

	pieces int
	slot   bool

	handle    string
	exporting bool
	expiresAt time.Time
	expiry    *timer.Subscription

	stream *stream       // nil: no caller reads
	ready  chan struct{} // closed when the prefill is done
	// ctx ends when the engine gives the attempt up or stops.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// stream is one decode stream's side of a work.
type stream struct {
	change   chan struct{} // holds one signal: something to send
	replaced chan struct{} // closed when another stream took over
}

func newStream() *stream {
	return &stream{
		change:   make(chan struct{}, 1),
		replaced: make(chan struct{}),
	}
}

func (s *stream) signal() {
	select {
	case s.change <- struct{}{}:
	default:
	}
}

// inBatch tells whether the next step may produce a token for w.
func (w *work) inBatch() bool {
	return w.phase == phaseDecoding && w.stream != nil && w.produced < w.maxTokens
}

// before orders works: urgent before patient, then by admission.
func (w *work) before(o *work) int {
	if w.priority != o.priority {
		return int(o.priority) - int(w.priority)
	}
	if w.order < o.order {
		return -1
	}
	return 1
}

// join gives a context that ends with ctx and with w's own.
func (w *work) join(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(w.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cause gives why the engine gave w up, and otherwise for an attempt that is
// still held.
func (w *work) cause(otherwise error) error {
	if w.ctx.Err() == nil {
		return otherwise
	}
	return context.Cause(w.ctx)
}

// wasted gives the prefill tokens that are lost if w is dropped now.
func (w *work) wasted() uint32 {
	if w.produced > w.generatedTokens {
		return 0
	}
	return w.computed
}

func attemptOf(a *enginewire.Attempt) identifier.Attempt {
	return identifier.Attempt{
		Incarnation: identifier.Incarnation(a.GetIncarnation()),
		Sequence:    a.GetSequence(),
	}
}

func wireAttempt(a identifier.Attempt) *enginewire.Attempt {
	return &enginewire.Attempt{Incarnation: uint64(a.Incarnation), Sequence: a.Sequence}
}
