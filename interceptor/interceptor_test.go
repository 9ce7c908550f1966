package interceptor_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/excluder"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/interceptor"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

// fakeGossip records reports; its view has no marks.
type fakeGossip struct {
	mu       sync.Mutex
	reported map[identifier.Endpoint]identifier.Revision
}

func (g *fakeGossip) ReportLeaving(e identifier.Endpoint, start identifier.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported[e] = start
}

func (g *fakeGossip) View() *gossiper.View {
	return &gossiper.View{}
}

// bench is an Interceptor with its dependencies.
type bench struct {
	*interceptor.Interceptor
	is     *is.I
	gossip *fakeGossip
	logs   *observer.ObservedLogs
	a, b   *registrar.Endpoint
}

func newBench(t *testing.T) *bench {
	t.Helper()
	g := grouper.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // its goroutines return no errors
	})
	core, logs := observer.New(zap.InfoLevel)
	b := &bench{
		is: is.New(t), gossip: &fakeGossip{reported: map[identifier.Endpoint]identifier.Revision{}}, logs: logs,
		a: &registrar.Endpoint{Name: "a", Service: "desk", StartID: 5},
		b: &registrar.Endpoint{Name: "b", Service: "desk"},
	}
	r := registrar.New()
	r.SetEndpoints([]*registrar.Endpoint{b.a, b.b})
	b.Interceptor = interceptor.New(interceptor.Deps{Registry: r, Gossip: b.gossip, Timer: timer.New(g), Log: zap.New(core)})
	return b
}

func (b *bench) requireLogged(events ...string) {
	b.is.Helper()
	for _, e := range events {
		b.is.True(b.logs.FilterMessage(e).Len() == 1)
	}
}

func TestNotices(t *testing.T) {
	t.Run("of leaving are logged, counted and reported once", func(t *testing.T) {
		b := newBench(t)
		for range 3 {
			b.Observe(b.a, excluder.Notice{Leaving: true})
		}
		b.requireLogged("endpoint-leaving")
		b.is.Equal(b.gossip.reported, map[identifier.Endpoint]identifier.Revision{"a": 5})
		b.is.Equal(b.Stats().Leaving, 1)
		b.is.Equal(b.Stats().LeavingNotices, uint64(1))
	})
	t.Run("of leaving without a start ID aren't reported", func(t *testing.T) {
		b := newBench(t)
		b.Observe(b.b, excluder.Notice{Leaving: true})
		b.is.Equal(len(b.gossip.reported), 0)
	})
	t.Run("of pauses stop calls, and end", func(t *testing.T) {
		b := newBench(t)
		b.Observe(b.a, excluder.Notice{Pause: 300 * time.Millisecond})
		err := b.Check(b.a, "q1")
		b.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		b.is.Equal(classifier.Of(err).Reason, classifier.ReasonEndpointExcluded)
		b.is.True(classifier.Of(err).RetryAfter > 0) // for a request without further attempts
		b.is.True(!b.Allows(b.a))
		b.is.NoErr(b.Check(b.b, "q1"))
		b.requireLogged("endpoint-paused", "call-stopped")
		b.is.Equal(b.logs.FilterField(zap.String("request", "q1")).Len(), 1)
		b.is.Equal(b.Stats().StoppedCalls, uint64(1))
		time.Sleep(600 * time.Millisecond)
		b.is.NoErr(b.Check(b.a, "q1"))
		b.requireLogged("endpoint-resumed")
	})
	t.Run("of malformed pauses are logged and counted", func(t *testing.T) {
		b := newBench(t)
		b.Observe(b.a, excluder.Notice{Malformed: "soon"})
		b.requireLogged("pause-unreadable")
		b.is.Equal(b.Stats().MalformedPauses, uint64(1))
	})
}

func TestRetryAfter(t *testing.T) {
	t.Run("is the earliest end of the pauses, spread a little", func(t *testing.T) {
		b := newBench(t)
		b.Observe(b.a, excluder.Notice{Pause: 20 * time.Second})
		b.Observe(b.b, excluder.Notice{Pause: 10 * time.Second})
		began := time.Now()
		different := map[time.Duration]bool{}
		for range 100 {
			wait := b.RetryAfter([]*registrar.Endpoint{b.a, b.b}, time.Second)
			b.is.True(wait > 10*time.Second-time.Since(began) && wait < 11100*time.Millisecond)
			different[wait] = true
		}
		b.is.True(len(different) > 50)
	})
	t.Run("is around the given time if an endpoint isn't paused", func(t *testing.T) {
		b := newBench(t)
		b.Observe(b.a, excluder.Notice{Pause: 20 * time.Second})
		wait := b.RetryAfter([]*registrar.Endpoint{b.a, b.b}, time.Second)
		b.is.True(wait >= 500*time.Millisecond && wait <= 1500*time.Millisecond)
	})
}
