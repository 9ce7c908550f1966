package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Decode streams the answer of an attempt, starting at a token offset.
func (e *Engine) Decode(ctx context.Context, r *connect.Request[enginewire.DecodeRequest], s *connect.ServerStream[enginewire.DecodeResponse]) error {
	err := e.DecodeTo(ctx, attemptFromWire(r.Msg.GetAttempt()), r.Msg.GetTokenOffset(), s.Send)
	if errors.Is(err, errReset) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// DecodeTo is Decode without a connection: it passes each message to send. If
// it fails, the engine keeps the attempt's memory for StreamGrace so that
// another call can resume the stream.
func (e *Engine) DecodeTo(ctx context.Context, a identifier.Attempt, offset uint32, send func(*enginewire.DecodeResponse) error) error {
	w, s, err := e.attach(a, offset)
	if err != nil {
		return err
	}
	defer e.detach(w, s)
	send = e.faults.Load().injectMessageFaults(send)
	sent := offset
	for {
		end, done := e.progress(w)
		if end > sent || done {
			end, reset := e.truncateByFault(offset, end)
			if err := send(decodeResponse(w, sent, end, done && !reset)); err != nil {
				return err
			}
			if reset {
				return errReset
			}
			sent = end
		}
		if done {
			e.removeFinished(w)
			return nil
		}
		if err := e.awaitTokens(ctx, w, s); err != nil {
			return err
		}
	}
}

// truncateByFault returns the offset at which a stream that began at offset
// ends, and whether a fault resets the stream there.
func (e *Engine) truncateByFault(offset, end uint32) (uint32, bool) {
	limit := e.faults.Load().FailAfterTokens
	if limit == 0 || end < offset+limit {
		return end, false
	}
	return offset + limit, true
}

func decodeResponse(w *workItem, from, to uint32, done bool) *enginewire.DecodeResponse {
	to = max(from, to)
	return &enginewire.DecodeResponse{
		TokenOffset: from,
		Tokens:      to - from,
		Text:        w.seed.Text(from, to),
		Done:        done,
	}
}

// attach registers a new stream for w and ends an earlier one.
func (e *Engine) attach(a identifier.Attempt, offset uint32) (*workItem, *stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.items[a]
	if !ok || w.phase < phaseImported {
		return nil, nil, e.refuse(RefusalUnknownHandle, "engine %q has no import of attempt %s", e.settings.Name, a)
	}
	if offset > w.maxTokens {
		return nil, nil, invalidArgument("token_offset %d exceeds the answer's %d tokens", offset, w.maxTokens)
	}
	if w.stream != nil {
		close(w.stream.replaced)
	}
	e.cancelExpiry(w)
	w.stream = newStream()
	if w.phase == phaseImported {
		w.phase = phaseDecoding
	}
	e.stats.Streams++
	e.wakeStepLoop()
	return w, w.stream, nil
}

// detach starts the grace period of a work item whose stream ended early.
func (e *Engine) detach(w *workItem, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.stream != s {
		return
	}
	w.stream = nil
	if e.items[w.attempt] == w {
		e.scheduleExpiry(w, e.settings.StreamGrace, "broken stream")
	}
}

// progress returns the number of tokens produced so far and whether the answer
// is complete.
func (e *Engine) progress(w *workItem) (end uint32, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.produced, w.produced >= w.maxTokens
}

// markFinished releases the memory of a work item whose last token was
// produced. The caller must hold e.mu.
func (e *Engine) markFinished(w *workItem) {
	w.phase = phaseFinished
	e.releaseMemory(w)
	e.stats.Finished++
}

// removeFinished removes a work item after its last token was sent.
func (e *Engine) removeFinished(w *workItem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(w)
}

func (e *Engine) awaitTokens(ctx context.Context, w *workItem, s *stream) error {
	select {
	case <-s.ready:
		return nil
	case <-s.replaced:
		return connect.NewError(connect.CodeAborted, fmt.Errorf("decode stream of attempt %s was replaced by another stream", w.attempt))
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}
