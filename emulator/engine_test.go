package emulator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// bubble is an engine in a synctest bubble, called without a connection.
type bubble struct {
	*Engine
	t     *testing.T
	is    *is.I
	group *grouper.Group
}

func inBubble(t *testing.T, s EngineSettings, f func(b *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		setDefault(&s.Model, testModel)
		e := NewEngine(t.Context(), s, EngineDeps{})
		b := &bubble{e, t, is.New(t), grouper.New(t.Context())}
		f(b)
		b.group.Stop()
		b.is.NoErr(b.group.Wait())
		e.Close()
	})
}

// promptOf returns a prompt with the given number of tokens.
func promptOf(tokens int) string {
	return strings.Repeat("note", tokens)
}

func (b *bubble) prefill(ctx context.Context, sequence uint64, promptTokens int, p enginewire.Priority) (*enginewire.PrefillResponse, error) {
	r := prefillRequest(sequence, fmt.Sprintf("%4d", sequence)+promptOf(promptTokens-1), 100)
	r.Msg.Priority = p
	m, err := b.Prefill(ctx, r)
	if err != nil {
		return nil, err
	}
	return m.Msg, nil
}

func (b *bubble) importLocal(sequence uint64, handle string) error {
	_, err := b.Import(b.t.Context(), connect.NewRequest(&enginewire.ImportRequest{
		Attempt: newAttempt(sequence), Model: testModel, Handle: handle,
	}))
	return err
}

// prefillAndImport prefills and imports an attempt.
func (b *bubble) prefillAndImport(sequence uint64, promptTokens int) {
	b.t.Helper()
	p, err := b.prefill(b.t.Context(), sequence, promptTokens, 0)
	b.is.NoErr(err)
	b.is.NoErr(b.importLocal(sequence, p.GetHandle()))
}

func (b *bubble) cancel(sequence uint64) bool {
	r, err := b.Cancel(b.t.Context(), connect.NewRequest(&enginewire.CancelRequest{Attempt: newAttempt(sequence)}))
	b.is.NoErr(err)
	return r.Msg.GetHeld()
}

// startDecode reads an answer in a separate goroutine.
func (b *bubble) startDecode(ctx context.Context, sequence uint64, offset uint32) *streamReader {
	r := &streamReader{}
	b.group.Run(func(context.Context) {
		err := b.DecodeTo(ctx, attemptFromWire(newAttempt(sequence)), offset, func(m *enginewire.DecodeResponse) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.result.text += m.GetText()
			r.result.tokens += m.GetTokens()
			r.result.receivedAt = append(r.result.receivedAt, time.Now())
			return nil
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.err = err
	})
	return r
}

// streamResult is what a reader has received so far.
type streamResult struct {
	text       string
	tokens     uint32
	receivedAt []time.Time
	err        error
}

type streamReader struct {
	mu     sync.Mutex
	result streamResult
}

func (r *streamReader) snapshot() streamResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func (b *bubble) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bubble) requireNothingHeld() {
	b.t.Helper()
	s := b.Stats()
	b.is.Equal(s.PiecesHeld, 0)
	b.is.Equal(s.SlotsHeld, 0)
	b.is.Equal(len(s.AttemptsHeld), 0)
}

func TestCancelFreesAtEveryStage(t *testing.T) {
	const tokens = 1600 // 200 ms of prefill
	stages := []struct {
		name      string
		setup     func(b *bubble)
		discarded func(uint64) bool
	}{
		{"queued for prefill", func(b *bubble) {
			b.SetFaults(Faults{Stall: true})
			b.group.Run(func(ctx context.Context) { _, _ = b.prefill(ctx, 1, tokens, 0) })
		}, func(n uint64) bool { return n == 0 }},
		{"in prefill", func(b *bubble) {
			b.group.Run(func(ctx context.Context) { _, _ = b.prefill(ctx, 1, tokens, 0) })
			b.advance(100 * time.Millisecond)
		}, func(n uint64) bool { return n > 0 && n < tokens }},
		{"prefilled", func(b *bubble) {
			_, err := b.prefill(b.t.Context(), 1, tokens, 0)
			b.is.NoErr(err)
		}, func(n uint64) bool { return n == tokens }},
		{"imported", func(b *bubble) { b.prefillAndImport(1, tokens) }, func(n uint64) bool { return n == tokens }},
		{"decoding", func(b *bubble) {
			b.prefillAndImport(1, tokens)
			b.startDecode(b.t.Context(), 1, 0)
			b.advance(time.Second)
		}, func(n uint64) bool { return n == 0 }},
	}
	for _, s := range stages {
		t.Run(s.name, func(t *testing.T) {
			inBubble(t, EngineSettings{}, func(b *bubble) {
				s.setup(b)
				synctest.Wait()
				b.is.True(b.Stats().PiecesHeld > 0)
				b.is.True(b.cancel(1))
				b.requireNothingHeld()
				b.is.True(s.discarded(b.Stats().DiscardedTokens))
				b.is.True(!b.cancel(1)) // nothing is left to cancel
			})
		})
	}
}

func TestPrefillResultExpires(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		p, err := b.prefill(b.t.Context(), 1, 800, 0)
		b.is.NoErr(err)
		b.advance(time.Duration(p.GetExpiresInMs())*time.Millisecond - time.Millisecond)
		b.is.True(b.Stats().PiecesHeld > 0)
		b.advance(2 * time.Millisecond)
		b.requireNothingHeld()
		b.is.Equal(b.Stats().DiscardedTokens, uint64(800))
		_, err = b.beginExport(p.GetHandle())
		b.is.Equal(RefusalOf(err), RefusalExpiredHandle)
		b.is.Equal(RefusalOf(b.importLocal(1, p.GetHandle())), RefusalExpiredHandle)
		b.is.Equal(RefusalOf(b.importLocal(1, "no-such")), RefusalUnknownHandle)
		_, err = b.beginExport("no-such")
		b.is.Equal(RefusalOf(err), RefusalUnknownHandle)
	})
}

func TestMalformedPrefillIsRefused(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		for name, m := range map[string]*enginewire.PrefillRequest{
			"no attempt":            {Model: testModel, MaxTokens: 1},
			"no tokens wanted":      {Attempt: newAttempt(1), Model: testModel},
			"nothing left":          {Attempt: newAttempt(1), Model: testModel, MaxTokens: 5, GeneratedTokens: 5},
			"too many tokens":       {Attempt: newAttempt(1), Model: testModel, MaxTokens: math.MaxUint32},
			"generated without end": {Attempt: newAttempt(1), Model: testModel, MaxTokens: math.MaxUint32, GeneratedTokens: math.MaxUint32 - 1},
		} {
			_, err := b.Prefill(b.t.Context(), connect.NewRequest(m))
			if connect.CodeOf(err) != connect.CodeInvalidArgument {
				t.Errorf("%s: error is %v", name, err)
			}
		}
		// A token count that is impossible for the generated text must be
		// treated as mismatching text without generating that many tokens.
		r := prefillRequest(1, "x", maxAnswerTokens)
		r.Msg.GeneratedTokens, r.Msg.GeneratedText = maxAnswerTokens-1, "copper "
		_, err := b.Prefill(b.t.Context(), r)
		b.is.Equal(RefusalOf(err), RefusalMemoryFull)
		b.requireNothingHeld()
	})
}

func TestPrefillCallerDisconnects(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		ctx, cancel := context.WithTimeout(b.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := b.prefill(ctx, 1, 1600, 0)
		b.is.True(errors.Is(err, context.DeadlineExceeded))
		b.requireNothingHeld()
		b.is.True(b.Stats().DiscardedTokens > 0)
	})
}

func TestBrokenStream(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.prefillAndImport(1, 100)
		ctx, cancel := context.WithCancel(b.t.Context())
		first := b.startDecode(ctx, 1, 0)
		b.advance(time.Second)
		cancel()
		synctest.Wait()
		b.is.True(first.snapshot().tokens > 10 && first.snapshot().tokens < 100)
		b.advance(b.settings.StreamGrace / 2)
		rest := b.startDecode(b.t.Context(), 1, first.snapshot().tokens)
		b.advance(10 * time.Second)
		b.is.NoErr(rest.snapshot().err)
		b.is.Equal(first.snapshot().text+rest.snapshot().text, Answer(testModel, "   1"+promptOf(99), 100))
		b.requireNothingHeld()

		b.prefillAndImport(2, 100)
		ctx, cancel = context.WithCancel(b.t.Context())
		b.startDecode(ctx, 2, 0)
		b.advance(time.Second)
		cancel()
		b.advance(b.settings.StreamGrace + time.Millisecond)
		b.requireNothingHeld() // the grace period ends without a reader
		late := b.startDecode(b.t.Context(), 2, 0)
		synctest.Wait()
		b.is.Equal(RefusalOf(late.snapshot().err), RefusalUnknownHandle)
	})
}

func TestFinishedAnswerFreesMemoryBeforeItIsRead(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.prefillAndImport(1, 100)
		b.group.Run(func(context.Context) {
			_ = b.DecodeTo(b.t.Context(), attemptFromWire(newAttempt(1)), 0, func(*enginewire.DecodeResponse) error {
				time.Sleep(time.Minute) // a slow reader
				return nil
			})
		})
		b.advance(10 * time.Second)
		b.is.Equal(b.Stats().Finished, 1)
		b.requireNothingHeld()
		b.advance(10 * time.Minute)
	})
}

func TestSecondStreamReplacesFirst(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.prefillAndImport(1, 100)
		first := b.startDecode(b.t.Context(), 1, 0)
		b.advance(time.Second)
		second := b.startDecode(b.t.Context(), 1, 0)
		b.advance(10 * time.Second)
		b.is.Equal(connect.CodeOf(first.snapshot().err), connect.CodeAborted)
		b.is.NoErr(second.snapshot().err)
		b.is.Equal(second.snapshot().tokens, uint32(100))
		b.requireNothingHeld()
	})
}

func TestPriorities(t *testing.T) {
	t.Run("an urgent prefill overtakes patient ones", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			var mu sync.Mutex
			var order []uint64
			start := func(sequence uint64, p enginewire.Priority) {
				b.group.Run(func(ctx context.Context) {
					_, err := b.prefill(ctx, sequence, 1600, p)
					b.is.NoErr(err)
					mu.Lock()
					defer mu.Unlock()
					order = append(order, sequence)
				})
				synctest.Wait()
			}
			start(1, enginewire.Priority_PRIORITY_PATIENT)
			start(2, enginewire.Priority_PRIORITY_PATIENT)
			start(3, enginewire.Priority_PRIORITY_URGENT)
			b.advance(800 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			b.is.Equal(order, []uint64{3, 1, 2})
		})
	})
	t.Run("a full batch takes urgent requests first", func(t *testing.T) {
		inBubble(t, EngineSettings{Batch: 1}, func(b *bubble) {
			for i, p := range []enginewire.Priority{enginewire.Priority_PRIORITY_PATIENT, enginewire.Priority_PRIORITY_URGENT} {
				m, err := b.prefill(b.t.Context(), uint64(i+1), 100, p)
				b.is.NoErr(err)
				b.is.NoErr(b.importLocal(uint64(i+1), m.GetHandle()))
			}
			patient := b.startDecode(b.t.Context(), 1, 0)
			urgent := b.startDecode(b.t.Context(), 2, 0)
			b.advance(2200 * time.Millisecond)
			b.is.Equal(urgent.snapshot().tokens, uint32(100))
			b.is.True(patient.snapshot().tokens < 10)
			b.advance(3 * time.Second)
			b.is.Equal(patient.snapshot().tokens, uint32(100))
		})
	})
}

func TestCapacityLimits(t *testing.T) {
	t.Run("full memory refuses a prefill", func(t *testing.T) {
		inBubble(t, EngineSettings{Pieces: 10}, func(b *bubble) {
			_, err := b.prefill(b.t.Context(), 1, 11*16, 0)
			b.is.Equal(RefusalOf(err), RefusalMemoryFull)
			b.requireNothingHeld()
		})
	})
	t.Run("full slots refuse an import", func(t *testing.T) {
		inBubble(t, EngineSettings{Slots: 1}, func(b *bubble) {
			b.prefillAndImport(1, 100)
			p, err := b.prefill(b.t.Context(), 2, 100, 0)
			b.is.NoErr(err)
			b.is.Equal(RefusalOf(b.importLocal(2, p.GetHandle())), RefusalSlotsFull)
			b.is.Equal(b.Stats().Refusals[RefusalSlotsFull], 1)
		})
	})
	t.Run("an import takes the pieces of its complete output", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.prefillAndImport(1, 160)
			b.is.Equal(b.Stats().PiecesHeld, (160+100+15)/16)
		})
	})
}

func TestLeaving(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.prefillAndImport(1, 100)
		p, err := b.prefill(b.t.Context(), 2, 100, 0)
		b.is.NoErr(err)
		b.SetLeaving(true)
		b.is.True(b.Stats().LastRequestWhileLeaving.IsZero())
		_, err = b.prefill(b.t.Context(), 3, 100, 0)
		b.is.Equal(RefusalOf(err), RefusalLeaving)
		b.is.True(!b.Stats().LastRequestWhileLeaving.IsZero())
		b.is.NoErr(b.importLocal(2, p.GetHandle())) // admitted work is completed
		first, second := b.startDecode(b.t.Context(), 1, 0), b.startDecode(b.t.Context(), 2, 0)
		b.advance(10 * time.Second)
		b.is.Equal(first.snapshot().tokens, uint32(100))
		b.is.Equal(second.snapshot().tokens, uint32(100))
		b.requireNothingHeld()
	})
}
