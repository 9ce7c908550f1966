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

// bubble is an engine in virtual time, called without a connection.
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

// promptOf gives a prompt of so many tokens.
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

// ready prefills and imports an attempt.
func (b *bubble) ready(sequence uint64, promptTokens int) {
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

// decode reads an answer in a goroutine of its own.
func (b *bubble) decode(ctx context.Context, sequence uint64, offset uint32) *reader {
	r := &reader{}
	b.group.Run(func(context.Context) {
		err := b.DecodeTo(ctx, attemptOf(newAttempt(sequence)), offset, func(m *enginewire.DecodeResponse) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reading.text += m.GetText()
			r.reading.tokens += m.GetTokens()
			r.reading.at = append(r.reading.at, time.Now())
			return nil
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading.err = err
	})
	return r
}

// reading is what a reader got so far.
type reading struct {
	text   string
	tokens uint32
	at     []time.Time
	err    error
}

type reader struct {
	mu      sync.Mutex
	reading reading
}

func (r *reader) got() reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}

// pass lets time go by until all is quiet again.
func (b *bubble) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bubble) wantFree() {
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
		reach     func(b *bubble)
		discarded func(uint64) bool
	}{
		{"queued for prefill", func(b *bubble) {
			b.SetFaults(Faults{Stall: true})
			b.group.Run(func(ctx context.Context) { _, _ = b.prefill(ctx, 1, tokens, 0) })
		}, func(n uint64) bool { return n == 0 }},
		{"in prefill", func(b *bubble) {
			b.group.Run(func(ctx context.Context) { _, _ = b.prefill(ctx, 1, tokens, 0) })
			b.pass(100 * time.Millisecond)
		}, func(n uint64) bool { return n > 0 && n < tokens }},
		{"prefilled", func(b *bubble) {
			_, err := b.prefill(b.t.Context(), 1, tokens, 0)
			b.is.NoErr(err)
		}, func(n uint64) bool { return n == tokens }},
		{"imported", func(b *bubble) { b.ready(1, tokens) }, func(n uint64) bool { return n == tokens }},
		{"decoding", func(b *bubble) {
			b.ready(1, tokens)
			b.decode(b.t.Context(), 1, 0)
			b.pass(time.Second)
		}, func(n uint64) bool { return n == 0 }},
	}
	for _, s := range stages {
		t.Run(s.name, func(t *testing.T) {
			inBubble(t, EngineSettings{}, func(b *bubble) {
				s.reach(b)
				synctest.Wait()
				b.is.True(b.Stats().PiecesHeld > 0)
				b.is.True(b.cancel(1))
				b.wantFree()
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
		b.pass(time.Duration(p.GetExpiresInMs())*time.Millisecond - time.Millisecond)
		b.is.True(b.Stats().PiecesHeld > 0)
		b.pass(2 * time.Millisecond)
		b.wantFree()
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
		// A count that the text can't have is a wrong start, not work.
		r := prefillRequest(1, "x", maxAnswerTokens)
		r.Msg.GeneratedTokens, r.Msg.GeneratedText = maxAnswerTokens-1, "copper "
		_, err := b.Prefill(b.t.Context(), r)
		b.is.Equal(RefusalOf(err), RefusalMemoryFull)
		b.wantFree()
	})
}

func TestCallerOfPrefillGoes(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		ctx, cancel := context.WithTimeout(b.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := b.prefill(ctx, 1, 1600, 0)
		b.is.True(errors.Is(err, context.DeadlineExceeded))
		b.wantFree()
		b.is.True(b.Stats().DiscardedTokens > 0)
	})
}

func TestBrokenStream(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.ready(1, 100)
		ctx, cancel := context.WithCancel(b.t.Context())
		first := b.decode(ctx, 1, 0)
		b.pass(time.Second)
		cancel()
		synctest.Wait()
		b.is.True(first.got().tokens > 10 && first.got().tokens < 100)
		b.pass(b.settings.StreamGrace / 2)
		rest := b.decode(b.t.Context(), 1, first.got().tokens)
		b.pass(10 * time.Second)
		b.is.NoErr(rest.got().err)
		b.is.Equal(first.got().text+rest.got().text, Answer(testModel, "   1"+promptOf(99), 100))
		b.wantFree()

		b.ready(2, 100)
		ctx, cancel = context.WithCancel(b.t.Context())
		b.decode(ctx, 2, 0)
		b.pass(time.Second)
		cancel()
		b.pass(b.settings.StreamGrace + time.Millisecond)
		b.wantFree() // without a reader, the grace ends
		late := b.decode(b.t.Context(), 2, 0)
		synctest.Wait()
		b.is.Equal(RefusalOf(late.got().err), RefusalUnknownHandle)
	})
}

func TestFinishedAnswerFreesMemoryBeforeItIsRead(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.ready(1, 100)
		b.group.Run(func(context.Context) {
			_ = b.DecodeTo(b.t.Context(), attemptOf(newAttempt(1)), 0, func(*enginewire.DecodeResponse) error {
				time.Sleep(time.Minute) // a slow reader
				return nil
			})
		})
		b.pass(10 * time.Second)
		b.is.Equal(b.Stats().Finished, 1)
		b.wantFree()
		b.pass(10 * time.Minute)
	})
}

func TestSecondStreamReplacesFirst(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.ready(1, 100)
		first := b.decode(b.t.Context(), 1, 0)
		b.pass(time.Second)
		second := b.decode(b.t.Context(), 1, 0)
		b.pass(10 * time.Second)
		b.is.Equal(connect.CodeOf(first.got().err), connect.CodeAborted)
		b.is.NoErr(second.got().err)
		b.is.Equal(second.got().tokens, uint32(100))
		b.wantFree()
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
			b.pass(800 * time.Millisecond)
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
			patient := b.decode(b.t.Context(), 1, 0)
			urgent := b.decode(b.t.Context(), 2, 0)
			b.pass(2200 * time.Millisecond)
			b.is.Equal(urgent.got().tokens, uint32(100))
			b.is.True(patient.got().tokens < 10)
			b.pass(3 * time.Second)
			b.is.Equal(patient.got().tokens, uint32(100))
		})
	})
}

func TestRoom(t *testing.T) {
	t.Run("full memory refuses a prefill", func(t *testing.T) {
		inBubble(t, EngineSettings{Pieces: 10}, func(b *bubble) {
			_, err := b.prefill(b.t.Context(), 1, 11*16, 0)
			b.is.Equal(RefusalOf(err), RefusalMemoryFull)
			b.wantFree()
		})
	})
	t.Run("full slots refuse an import", func(t *testing.T) {
		inBubble(t, EngineSettings{Slots: 1}, func(b *bubble) {
			b.ready(1, 100)
			p, err := b.prefill(b.t.Context(), 2, 100, 0)
			b.is.NoErr(err)
			b.is.Equal(RefusalOf(b.importLocal(2, p.GetHandle())), RefusalSlotsFull)
			b.is.Equal(b.Stats().Refusals[RefusalSlotsFull], 1)
		})
	})
	t.Run("an import takes the pieces of its whole output", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.ready(1, 160)
			b.is.Equal(b.Stats().PiecesHeld, (160+100+15)/16)
		})
	})
}

func TestLeaving(t *testing.T) {
	inBubble(t, EngineSettings{}, func(b *bubble) {
		b.ready(1, 100)
		p, err := b.prefill(b.t.Context(), 2, 100, 0)
		b.is.NoErr(err)
		b.SetLeaving(true)
		b.is.True(b.Stats().LastOfferLeaving.IsZero())
		_, err = b.prefill(b.t.Context(), 3, 100, 0)
		b.is.Equal(RefusalOf(err), RefusalLeaving)
		b.is.True(!b.Stats().LastOfferLeaving.IsZero())
		b.is.NoErr(b.importLocal(2, p.GetHandle())) // what runs is finished
		one, two := b.decode(b.t.Context(), 1, 0), b.decode(b.t.Context(), 2, 0)
		b.pass(10 * time.Second)
		b.is.Equal(one.got().tokens, uint32(100))
		b.is.Equal(two.got().tokens, uint32(100))
		b.wantFree()
	})
}
