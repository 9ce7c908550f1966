package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// sized is a wish that is late at once and can't start in time behind another.
func sized(k admitter.Key, t identifier.Tokens) admitter.Wish {
	w := wish(k, 0)
	w.Tokens = t
	return w
}

// refuse lets requests of a size expire, grant gives them room.
func refuse(q *admitter.Queue, t identifier.Tokens, count int) {
	for n := range count {
		w := sized(admitter.Key(1000+n), t)
		q.Admit(w)
		q.Expired(w.StartBy)
	}
}

func grant(q *admitter.Queue, t identifier.Tokens, count int) {
	for n := range count {
		w := sized(admitter.Key(2000+n), t)
		q.Granted(&w, at(time.Duration(n)*time.Millisecond))
	}
}

// starving gives a queue that has refused the large requests and served the small.
func starving(small, large identifier.Tokens) *admitter.Queue {
	q := admitter.New(admitter.Options{})
	refuse(q, large, 40)
	grant(q, small, 80)
	return q
}

func TestUnderserved(t *testing.T) {
	const small, large = 5_000, 25_000
	t.Run("nobody is at first", func(t *testing.T) {
		w := sized(1, large)
		is.New(t).True(!admitter.New(admitter.Options{}).Underserved(&w))
	})
	t.Run("nobody is where all get little", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		for range 10 {
			refuse(q, small, 5)
			refuse(q, large, 5)
		}
		w := sized(1, large)
		i.True(!q.Underserved(&w))
	})
	t.Run("a size is that gets much less than others, and goes first", func(t *testing.T) {
		i := is.New(t)
		q := starving(small, large)
		q.Push(sized(1, small), at(0))
		q.Push(sized(2, large), at(0))
		k, ok := q.MostUnderserved()
		i.True(ok)
		i.Equal(k, admitter.Key(2))
		i.Equal(serve(t, q, time.Millisecond), admitter.Key(2))
	})
	t.Run("until it has caught up", func(t *testing.T) {
		i := is.New(t)
		q := starving(small, large)
		grant(q, large, 40)
		w := sized(1, large)
		i.True(!q.Underserved(&w))
	})
	t.Run("those for which an engine is kept are late no more", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		w := sized(1, large)
		w.Kept = true
		q.Admit(w)
		_, ok := q.MostUnderserved()
		i.True(!ok)
		i.Equal(len(q.Expired(at(2*time.Second))), 0)
		i.Equal(len(q.Expired(w.StartBy)), 1)
	})
}
