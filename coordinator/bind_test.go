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
	deliver := func(p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.deliverBinding(want)
	}
	t.Run("engine assigned before the home asks for it", func(t *testing.T) {
		is := is.New(t)
		p := newBindingPool()
		deliver(p)
		deliver(p) // repeated, as by a second allocator
		got, err := p.bind(t.Context(), attempt)
		is.NoErr(err)
		is.Equal(got, want)
	})
	t.Run("engine assigned while the home waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newBindingPool()
			g := grouper.New(t.Context())
			g.Run(func(context.Context) {
				time.Sleep(500 * time.Millisecond)
				deliver(p)
			})
			got, err := p.bind(t.Context(), attempt)
			is.NoErr(err)
			is.Equal(got, want)
			is.NoErr(g.Wait())
		})
	})
	t.Run("no engine assigned within the bind timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			begin := time.Now()
			_, err := newBindingPool().bind(t.Context(), attempt)
			is.True(err != nil)
			is.Equal(time.Since(begin), time.Second)
		})
	})
	t.Run("bindings of a dead home are removed", func(t *testing.T) {
		is := is.New(t)
		p := newBindingPool()
		deliver(p)
		p.removeBindings(attempt.Incarnation)
		is.Equal(len(p.bindings), 0)
	})
}
