package emulator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// engineEvent is a randomly generated event of an engine.
type engineEvent struct {
	kind     string
	sequence uint64
	tokens   int
	wait     time.Duration
}

func drawEvents(t *rapid.T) []engineEvent {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) engineEvent {
		return engineEvent{
			kind:     rapid.SampledFrom([]string{"prefill", "prefill", "import", "import", "decode", "decode", "break", "cancel", "leave", "reset"}).Draw(t, "kind"),
			sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			tokens:   rapid.IntRange(1, 600).Draw(t, "tokens"),
			wait:     time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "events")
}

// randomCallers holds the state of the callers in one generated run.
type randomCallers struct {
	*bubble
	handles   map[uint64]string
	cancels   map[uint64][]context.CancelFunc
	violation error
}

func (c *randomCallers) apply(v engineEvent) {
	ctx, cancel := context.WithCancel(c.t.Context())
	switch v.kind {
	case "prefill":
		if p, err := c.prefill(ctx, v.sequence, v.tokens, enginewire.Priority(v.tokens%3)); err == nil {
			c.handles[v.sequence] = p.GetHandle()
		}
	case "import":
		_ = c.importLocal(v.sequence, c.handles[v.sequence]) // may be refused
	case "decode":
		c.startDecode(ctx, v.sequence, uint32(v.tokens%100))
		c.cancels[v.sequence] = append(c.cancels[v.sequence], cancel)
		cancel = func() {}
	case "break":
		c.breakStreams(v.sequence)
	case "cancel":
		c.cancel(v.sequence)
	case "leave":
		c.SetLeaving(v.tokens%2 == 0)
	case "reset":
		c.SetFaults(Faults{FailAfterTokens: uint32(v.tokens % 50)})
	}
	cancel()
	c.advance(v.wait)
	c.checkAccounting(v)
}

func (c *randomCallers) breakStreams(sequence uint64) {
	for _, end := range c.cancels[sequence] {
		end()
	}
}

// checkAccounting compares the memory in use with the sum over all attempts.
func (c *randomCallers) checkAccounting(v engineEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pieces, slots := 0, 0
	for _, w := range c.items {
		pieces += w.pieces
		if w.slot {
			slots++
		}
	}
	m := c.memory
	if m.piecesUsed != pieces || m.slotsUsed != slots || pieces > m.pieces || slots > m.slots {
		c.violation = fmt.Errorf("after %+v memory is %+v, attempts hold %d pieces and %d slots", v, m, pieces, slots)
	}
	if c.stats.DiscardedTokens > c.stats.PrefillTokens {
		c.violation = fmt.Errorf("after %+v %d tokens were discarded of %d computed", v, c.stats.DiscardedTokens, c.stats.PrefillTokens)
	}
}

func TestMemoryIsFreeOnceCallersAreGone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var violation error
		inBubble(t, EngineSettings{Slots: 3, Pieces: 60}, func(b *bubble) {
			c := &randomCallers{b, make(map[uint64]string), make(map[uint64][]context.CancelFunc), nil}
			for _, v := range events {
				c.apply(v)
			}
			for sequence := range c.cancels {
				c.breakStreams(sequence)
			}
			b.advance(b.settings.StreamGrace + b.settings.ImportTTL + b.settings.ResultTTL)
			if s := b.Stats(); s.PiecesHeld != 0 || s.SlotsHeld != 0 || len(s.AttemptsHeld) != 0 || len(b.items) != 0 {
				c.violation = fmt.Errorf("at the end %d pieces and %d slots are held by %v", s.PiecesHeld, s.SlotsHeld, s.AttemptsHeld)
			}
			violation = c.violation
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
