package emulator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// event is something that happens to an engine at random.
type event struct {
	kind     string
	sequence uint64
	tokens   int
	wait     time.Duration
}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:     rapid.SampledFrom([]string{"prefill", "prefill", "import", "import", "decode", "decode", "break", "cancel", "leave", "reset"}).Draw(t, "kind"),
			sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			tokens:   rapid.IntRange(1, 600).Draw(t, "tokens"),
			wait:     time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "events")
}

// callers are those that call the engine of one generated run.
type callers struct {
	*bubble
	handles map[uint64]string
	ends    map[uint64][]context.CancelFunc
	found   error
}

func (c *callers) apply(v event) {
	ctx, cancel := context.WithCancel(c.t.Context())
	switch v.kind {
	case "prefill":
		if p, err := c.prefill(ctx, v.sequence, v.tokens, enginewire.Priority(v.tokens%3)); err == nil {
			c.handles[v.sequence] = p.GetHandle()
		}
	case "import":
		_ = c.importLocal(v.sequence, c.handles[v.sequence]) // may be refused
	case "decode":
		c.decode(ctx, v.sequence, uint32(v.tokens%100))
		c.ends[v.sequence] = append(c.ends[v.sequence], cancel)
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
	c.pass(v.wait)
	c.checkBooks(v)
}

func (c *callers) breakStreams(sequence uint64) {
	for _, end := range c.ends[sequence] {
		end()
	}
}

// checkBooks compares the memory in use with what the attempts hold.
func (c *callers) checkBooks(v event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pieces, slots := 0, 0
	for _, w := range c.works {
		pieces += w.pieces
		if w.slot {
			slots++
		}
	}
	m := c.memory
	if m.piecesUsed != pieces || m.slotsUsed != slots || pieces > m.pieces || slots > m.slots {
		c.found = fmt.Errorf("after %+v memory is %+v, attempts hold %d pieces and %d slots", v, m, pieces, slots)
	}
	if c.stats.DiscardedTokens > c.stats.PrefillTokens {
		c.found = fmt.Errorf("after %+v %d tokens were discarded of %d computed", v, c.stats.DiscardedTokens, c.stats.PrefillTokens)
	}
}

func TestMemoryIsFreeOnceCallersAreGone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var found error
		inBubble(t, EngineSettings{Slots: 3, Pieces: 60}, func(b *bubble) {
			c := &callers{b, make(map[uint64]string), make(map[uint64][]context.CancelFunc), nil}
			for _, v := range events {
				c.apply(v)
			}
			for sequence := range c.ends {
				c.breakStreams(sequence)
			}
			b.pass(b.settings.StreamGrace + b.settings.ImportKeep + b.settings.ResultKeep)
			if s := b.Stats(); s.PiecesHeld != 0 || s.SlotsHeld != 0 || len(s.AttemptsHeld) != 0 || len(b.works) != 0 {
				c.found = fmt.Errorf("at the end %d pieces and %d slots are held by %v", s.PiecesHeld, s.SlotsHeld, s.AttemptsHeld)
			}
			found = c.found
		})
		if found != nil {
			rt.Fatal(found)
		}
	})
}
