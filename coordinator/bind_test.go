package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

func newBindingPool() *pool {
	return &pool{
		deps:     &Deps{Options: Options{BindTimeout: time.Second}},
		bindings: map[identifier.Attempt]chan allocator.Bound{},
	}
}

func TestBind(t *testing.T) {
	attempt := identifier.Attempt{Incarnation: 1, Sequence: 1}
	want := allocator.Bound{Attempt: attempt, Decode: "decode-1", Pieces: 7}
	announce := func(p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.announce(want)
	}
	t.Run("an engine that is named before the home asks", func(t *testing.T) {
		is := is.New(t)
		p := newBindingPool()
		announce(p)
		announce(p) // again, by a second pool
		got, err := p.bind(t.Context(), attempt)
		is.NoErr(err)
		is.Equal(got, want)
	})
	t.Run("an engine that is named after the home asks", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newBindingPool()
			g := grouper.New(t.Context())
			g.Run(func(context.Context) {
				time.Sleep(500 * time.Millisecond)
				announce(p)
			})
			got, err := p.bind(t.Context(), attempt)
			is.NoErr(err)
			is.Equal(got, want)
			is.NoErr(g.Wait())
		})
	})
	t.Run("no engine in the time that the result is kept", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			begin := time.Now()
			_, err := newBindingPool().bind(t.Context(), attempt)
			is.True(err != nil)
			is.Equal(time.Since(begin), time.Second)
		})
	})
	t.Run("nothing stays of a dead home", func(t *testing.T) {
		is := is.New(t)
		p := newBindingPool()
		announce(p)
		p.forgetBindings(attempt.Incarnation)
		is.Equal(len(p.bindings), 0)
	})
}
