package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// fixedLimits returns the same result from every call of Admit.
type fixedLimits struct {
	ok         bool
	retryAfter time.Duration
}

func (l fixedLimits) Admit(*compiler.Customer, identifier.Tokens) (bool, time.Duration) {
	return l.ok, l.retryAfter
}

func TestAdmit(t *testing.T) {
	c := &compiler.Customer{Name: "dealers"}
	t.Run("refuses a request above the host's limit with a retry-after", func(t *testing.T) {
		i := is.New(t)
		d := New(Deps{Limits: fixedLimits{ok: true}, MaxConcurrent: 1})
		d.running.Store(1)
		i.NoErr(d.admit(c, 1))
		d.running.Store(2)
		requireRefused(t, d.admit(c, 1), classifier.ReasonQueueFull)
	})
	t.Run("refuses a request above its customer's limit", func(t *testing.T) {
		d := New(Deps{Limits: fixedLimits{retryAfter: time.Second}})
		requireRefused(t, d.admit(c, 1), classifier.ReasonLimit)
	})
}

func requireRefused(t *testing.T, err error, reason classifier.Reason) {
	t.Helper()
	i := is.New(t)
	f := classifier.Of(err)
	i.True(f != nil)
	i.Equal(f.Verdict, classifier.VerdictNotRun)
	i.Equal(f.Reason, reason)
	i.True(f.RetryAfter > 0)
}

func TestResponseBuffer(t *testing.T) {
	t.Run("ignores duplicate chunks and rejects gaps and partial overlaps", func(t *testing.T) {
		i := is.New(t)
		b := newResponseBuffer("one two ", 2)
		i.NoErr(b.append(Chunk{Offset: 0, Tokens: 2, Text: "one two "}))
		i.NoErr(b.append(Chunk{Offset: 2, Tokens: 1, Text: "three "}))
		i.True(b.append(Chunk{Offset: 4, Tokens: 1, Text: "five "}) != nil)
		i.True(b.append(Chunk{Offset: 2, Tokens: 2, Text: "three four "}) != nil)
		c, finished, err := b.take()
		i.NoErr(err)
		i.True(!finished)
		i.Equal(c, Chunk{Offset: 2, Tokens: 1, Text: "three "})
		text, tokens := b.progress()
		i.Equal(text, "one two three ")
		i.Equal(tokens, identifier.Tokens(3))
	})
	t.Run("merges chunks that a slow caller has not read yet", func(t *testing.T) {
		i := is.New(t)
		b := newResponseBuffer("", 0)
		i.NoErr(b.append(Chunk{Offset: 0, Tokens: 1, Text: "a "}))
		i.NoErr(b.append(Chunk{Offset: 1, Tokens: 1, Text: "b "}))
		b.finish(nil)
		c, finished, _ := b.take()
		i.Equal(c, Chunk{Offset: 0, Tokens: 2, Text: "a b "})
		i.True(finished)
	})
}
