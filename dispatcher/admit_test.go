package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// fixedLimits answers each question of Admit the same.
type fixedLimits struct {
	ok         bool
	retryAfter time.Duration
}

func (l fixedLimits) Admit(*compiler.Customer, identifier.Tokens) (bool, time.Duration) {
	return l.ok, l.retryAfter
}

func TestAdmit(t *testing.T) {
	c := &compiler.Customer{Name: "dealers"}
	t.Run("refuses a request above the host's limit and says when to come back", func(t *testing.T) {
		i := is.New(t)
		d := New(Deps{Limits: fixedLimits{ok: true}, MaxRunning: 1})
		d.running.Store(1)
		i.NoErr(d.admit(c, 1))
		d.running.Store(2)
		isRefused(t, d.admit(c, 1), classifier.ReasonQueueFull)
	})
	t.Run("refuses a customer above its limit", func(t *testing.T) {
		d := New(Deps{Limits: fixedLimits{retryAfter: time.Second}})
		isRefused(t, d.admit(c, 1), classifier.ReasonLimit)
	})
}

func isRefused(t *testing.T, err error, reason classifier.Reason) {
	t.Helper()
	i := is.New(t)
	f := classifier.Of(err)
	i.True(f != nil)
	i.Equal(f.Verdict, classifier.VerdictNotRun)
	i.Equal(f.Reason, reason)
	i.True(f.RetryAfter > 0)
}

func TestAnswer(t *testing.T) {
	t.Run("drops what was received and refuses gaps and overlaps", func(t *testing.T) {
		i := is.New(t)
		a := newAnswer("one two ", 2)
		i.NoErr(a.append(Chunk{Offset: 0, Tokens: 2, Text: "one two "}))
		i.NoErr(a.append(Chunk{Offset: 2, Tokens: 1, Text: "three "}))
		i.True(a.append(Chunk{Offset: 4, Tokens: 1, Text: "five "}) != nil)
		i.True(a.append(Chunk{Offset: 2, Tokens: 2, Text: "three four "}) != nil)
		c, finished, err := a.take()
		i.NoErr(err)
		i.True(!finished)
		i.Equal(c, Chunk{Offset: 2, Tokens: 1, Text: "three "})
		text, tokens := a.progress()
		i.Equal(text, "one two three ")
		i.Equal(tokens, identifier.Tokens(3))
	})
	t.Run("joins chunks that a slow caller has not taken", func(t *testing.T) {
		i := is.New(t)
		a := newAnswer("", 0)
		i.NoErr(a.append(Chunk{Offset: 0, Tokens: 1, Text: "a "}))
		i.NoErr(a.append(Chunk{Offset: 1, Tokens: 1, Text: "b "}))
		a.finish(nil)
		c, finished, _ := a.take()
		i.Equal(c, Chunk{Offset: 0, Tokens: 2, Text: "a b "})
		i.True(finished)
	})
}
