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

// Decode streams an attempt's answer from a token on.
func (e *Engine) Decode(ctx context.Context, r *connect.Request[enginewire.DecodeRequest], s *connect.ServerStream[enginewire.DecodeResponse]) error {
	err := e.DecodeTo(ctx, attemptOf(r.Msg.GetAttempt()), r.Msg.GetTokenOffset(), s.Send)
	if errors.Is(err, errReset) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// DecodeTo is Decode without a connection: it hands each message to send. If
// it fails, the attempt's memory is kept for the stream grace, and another
// call may resume it.
func (e *Engine) DecodeTo(ctx context.Context, a identifier.Attempt, offset uint32, send func(*enginewire.DecodeResponse) error) error {
	w, s, err := e.attach(a, offset)
	if err != nil {
		return err
	}
	defer e.detach(w, s)
	send = e.faults.Load().disturbed(send)
	sent := offset
	for {
		end, done := e.progress(w)
		if end > sent || done {
			end, reset := e.cutByFault(offset, end)
			if err := send(decodeResponse(w, sent, end, done && !reset)); err != nil {
				return err
			}
			if reset {
				return errReset
			}
			sent = end
		}
		if done {
			e.complete(w)
			return nil
		}
		if err := e.awaitTokens(ctx, w, s); err != nil {
			return err
		}
	}
}

// cutByFault gives where a stream that began at offset ends, and whether it is
// reset there.
func (e *Engine) cutByFault(offset, end uint32) (uint32, bool) {
	limit := e.faults.Load().FailAfterTokens
	if limit == 0 || end < offset+limit {
		return end, false
	}
	return offset + limit, true
}

func decodeResponse(w *work, from, to uint32, done bool) *enginewire.DecodeResponse {
	to = max(from, to)
	return &enginewire.DecodeResponse{
		TokenOffset: from,
		Tokens:      to - from,
		Text:        w.seed.Text(from, to),
		Done:        done,
	}
}

// attach makes a new stream the one that reads w; an older one ends.
func (e *Engine) attach(a identifier.Attempt, offset uint32) (*work, *stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.works[a]
	if !ok || w.phase < phaseImported {
		return nil, nil, e.refuse(RefusalUnknownHandle, "engine %q has no import of attempt %s", e.settings.Name, a)
	}
	if offset > w.maxTokens {
		return nil, nil, invalid("token_offset %d is behind the answer's %d tokens", offset, w.maxTokens)
	}
	if w.stream != nil {
		close(w.stream.replaced)
	}
	e.stopExpiry(w)
	w.stream = newStream()
	if w.phase == phaseImported {
		w.phase = phaseDecoding
	}
	e.stats.Streams++
	e.wake()
	return w, w.stream, nil
}

// detach starts the grace of a work whose stream ended too early.
func (e *Engine) detach(w *work, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.stream != s {
		return
	}
	w.stream = nil
	if e.works[w.attempt] == w {
		e.expire(w, e.settings.StreamGrace, "broken stream")
	}
}

// progress gives the tokens that can be sent, and whether they are all.
func (e *Engine) progress(w *work) (end uint32, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.produced, w.produced >= w.maxTokens
}

// finish frees the memory of a work whose last token is out. The mutex is
// held.
func (e *Engine) finish(w *work) {
	w.phase = phaseFinished
	e.free(w)
	e.stats.Finished++
}

// complete forgets a work whose last token was sent.
func (e *Engine) complete(w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(w)
}

func (e *Engine) awaitTokens(ctx context.Context, w *work, s *stream) error {
	select {
	case <-s.change:
		return nil
	case <-s.replaced:
		return connect.NewError(connect.CodeAborted, fmt.Errorf("another stream reads attempt %s", w.attempt))
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}
