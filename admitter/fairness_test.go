package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// sizedEntry returns a request that needs t tokens of memory.
func sizedEntry(k admitter.Key, t identifier.Tokens) admitter.Entry {
	e := entry(k, 0)
	e.Tokens = t
	return e
}

// refuse lets count requests of a size expire.
func refuse(q *admitter.Queue, t identifier.Tokens, count int) {
	for n := range count {
		e := sizedEntry(admitter.Key(1000+n), t)
		q.Admit(e)
		q.RemoveExpired(e.LatestStart)
	}
}

// grant grants count requests of a size.
func grant(q *admitter.Queue, t identifier.Tokens, count int) {
	for n := range count {
		e := sizedEntry(admitter.Key(2000+n), t)
		q.RecordGrant(&e, at(time.Duration(n)*time.Millisecond))
	}
}

// queueRefusingLarge returns a queue that has refused all large requests and
// granted all small ones.
func queueRefusingLarge(small, large identifier.Tokens) *admitter.Queue {
	q := admitter.New(admitter.Options{})
	refuse(q, large, 40)
	grant(q, small, 80)
	return q
}

func TestUnderserved(t *testing.T) {
	const small, large = 5_000, 25_000
	t.Run("no size is at first", func(t *testing.T) {
		e := sizedEntry(1, large)
		is.New(t).True(!admitter.New(admitter.Options{}).Underserved(&e))
	})
	t.Run("no size is if all have low grant rates", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		for range 10 {
			refuse(q, small, 5)
			refuse(q, large, 5)
		}
		e := sizedEntry(1, large)
		i.True(!q.Underserved(&e))
	})
	t.Run("a size with a much lower grant rate is, and goes first", func(t *testing.T) {
		i := is.New(t)
		q := queueRefusingLarge(small, large)
		q.Push(sizedEntry(1, small), at(0))
		q.Push(sizedEntry(2, large), at(0))
		k, ok := q.MostUnderserved()
		i.True(ok)
		i.Equal(k, admitter.Key(2))
		i.Equal(grantNext(t, q, time.Millisecond), admitter.Key(2))
	})
	t.Run("a size is not once its grant rate has recovered", func(t *testing.T) {
		i := is.New(t)
		q := queueRefusingLarge(small, large)
		grant(q, large, 40)
		e := sizedEntry(1, large)
		i.True(!q.Underserved(&e))
	})
	t.Run("earmarked requests do not count as late", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		e := sizedEntry(1, large)
		e.Earmarked = true
		q.Admit(e)
		_, ok := q.MostUnderserved()
		i.True(!ok)
		i.Equal(len(q.RemoveExpired(at(2*time.Second))), 0)
		i.Equal(len(q.RemoveExpired(e.LatestStart)), 1)
	})
}
