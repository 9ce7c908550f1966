package isolator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/timer"
)

const waitTimeout = 5 * time.Second

// host is an Isolator without other hosts.
type host struct {
	*isolator.Isolator
	is *is.I
	// handlers are those of messages from other hosts.
	handlers map[peerwire.Kind]messenger.Handler

	mu sync.Mutex
	// connect is the result of connections to engines, and open the number of idle ones that
	// are open.
	connect error
	open    int
	gone    []identifier.Endpoint
}

// View implements isolator.Members.
func (h *host) View() *gossiper.View { return &gossiper.View{} }

// Handle implements isolator.Registry.
func (h *host) Handle(k peerwire.Kind, f messenger.Handler) { h.handlers[k] = f }

// handle handles news of another host.
func (h *host) handle(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	return h.handlers[peerwire.KindCrashNews](ctx, from, payload)
}

func newHost(t *testing.T) *host {
	t.Helper()
	g := grouper.New(t.Context())
	h := &host{is: is.New(t), handlers: map[peerwire.Kind]messenger.Handler{}, connect: syscall.ECONNREFUSED}
	h.Isolator = isolator.New(isolator.Deps{
		Self: 1, Members: h,
		Connect: func(context.Context, identifier.Address) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.connect
		},
		Idle: func(identifier.Address) int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.open
		},
		Registered: func(e isolator.Engine) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return !slices.Contains(h.gone, e.Name)
		},
		Timer: timer.New(g), Group: g, Log: zap.NewNop(),
	})
	h.Register(h)
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // its goroutines return no error
	})
	return h
}

// engine returns the n-th engine.
func engine(n int) isolator.Engine {
	return isolator.Engine{Service: "s", Name: identifier.Endpoint(fmt.Sprint("e", n)), StartID: 1}
}

// enter begins a call with the trait to an engine.
func (h *host) enter(n int, g identifier.Trait) *isolator.Call {
	h.is.Helper()
	c, err := h.Enter(context.Background(), engine(n), quarantiner.PhaseDecode, identifier.Request(fmt.Sprint("q", n)), []identifier.Trait{g})
	h.is.NoErr(err)
	return c
}

// lose sends a request with the trait to an engine, which breaks it off.
func (h *host) lose(n int, g identifier.Trait) {
	h.is.Helper()
	h.enter(n, g).Lost()
}

// answerWrongly sends a request with the trait to an engine, whose answer is wrong.
func (h *host) answerWrongly(n int, g identifier.Trait) {
	h.is.Helper()
	h.enter(n, g).Wrong()
}

func (h *host) quarantined(g identifier.Trait) bool {
	return h.Check([]identifier.Trait{g}) != nil
}

func (h *host) assertQuarantined(g identifier.Trait) {
	h.is.Helper()
	end := time.Now().Add(waitTimeout)
	for !h.quarantined(g) {
		h.is.True(time.Now().Before(end))
		time.Sleep(10 * time.Millisecond)
	}
}

// assertFree checks that the trait isn't quarantined once the evidence has settled.
func (h *host) assertFree(g identifier.Trait) {
	h.is.Helper()
	time.Sleep(600 * time.Millisecond)
	h.is.True(!h.quarantined(g))
}

func TestEnds(t *testing.T) {
	t.Run("quarantine what three engines ended under", func(t *testing.T) {
		h := newHost(t)
		for n := range 3 {
			h.lose(n, "a")
		}
		h.assertQuarantined("a")
		err := classifier.Of(h.Check([]identifier.Trait{"b", "a"}))
		h.is.Equal(err.Verdict, classifier.VerdictNotRun)
		h.is.Equal(err.Reason, classifier.ReasonQuarantined)
		h.is.True(err.RetryAfter > 0)
		h.is.Equal(len(h.Stats().Traits), 1)
	})
	t.Run("quarantine what three engines ended under after wrong answers", func(t *testing.T) {
		h := newHost(t)
		for n := range 3 {
			h.answerWrongly(n, "a")
		}
		h.assertQuarantined("a")
	})
	t.Run("are not shown by wrong answers of engines with open connections", func(t *testing.T) {
		h := newHost(t)
		h.open = 1
		for n := range 3 {
			h.answerWrongly(n, "a")
		}
		h.assertFree("a")
	})
	t.Run("are shown by the removal of engines", func(t *testing.T) {
		h := newHost(t)
		h.connect = errors.New("timeout")
		for n := range 3 {
			h.lose(n, "a")
		}
		h.assertFree("a")
		h.mu.Lock()
		h.gone = []identifier.Endpoint{"e0", "e1", "e2"}
		h.mu.Unlock()
		h.assertQuarantined("a")
	})
	t.Run("are not shown by reset connections", func(t *testing.T) {
		h := newHost(t)
		h.connect = nil
		for n := range 10 {
			h.lose(n, "a")
		}
		h.assertFree("a")
	})
}

func TestTrials(t *testing.T) {
	enter := func(h *host) (*isolator.Call, error) {
		return h.Enter(context.Background(), engine(1), quarantiner.PhaseDecode, "q", []identifier.Trait{"a"})
	}
	onTrial := func(t *testing.T) (*host, *isolator.Call) {
		h := newHost(t)
		h.lose(0, "a")
		time.Sleep(100 * time.Millisecond) // until the end is known
		c, err := enter(h)
		h.is.NoErr(err)
		return h, c
	}
	t.Run("are one at a time", func(t *testing.T) {
		h, _ := onTrial(t)
		_, err := enter(h)
		h.is.Equal(classifier.Of(err).Reason, classifier.ReasonQuarantined)
		h.is.Equal(classifier.Of(err).Verdict, classifier.VerdictNotRun)
	})
	for name, end := range map[string]func(*isolator.Call){
		"answer that begins": (*isolator.Call).Begun,
		"closed call":        (*isolator.Call).Close,
	} {
		t.Run("end with a "+name, func(t *testing.T) {
			h, c := onTrial(t)
			end(c)
			_, err := enter(h)
			h.is.NoErr(err)
		})
	}
	t.Run("end with a lost call whose engine goes on", func(t *testing.T) {
		h, c := onTrial(t)
		h.mu.Lock()
		h.connect = nil
		h.mu.Unlock()
		c.Lost()
		_, err := enter(h)
		h.is.NoErr(err)
	})
	t.Run("go on after the end of an engine until the evidence has settled", func(t *testing.T) {
		h, c := onTrial(t)
		c.Lost()
		_, err := enter(h)
		h.is.Equal(classifier.Of(err).Reason, classifier.ReasonQuarantined)
		time.Sleep(400 * time.Millisecond)
		_, err = enter(h)
		h.is.NoErr(err)
	})
	t.Run("aren't waited for by other requests", func(t *testing.T) {
		h, _ := onTrial(t)
		_, err := h.Enter(context.Background(), engine(1), quarantiner.PhaseDecode, "q", []identifier.Trait{"b"})
		h.is.NoErr(err)
	})
}

func (h *host) receive(m *peerwire.CrashNews) (*peerwire.CrashNews, error) {
	payload, err := m.MarshalMsg(nil)
	h.is.NoErr(err)
	reply, err := h.handle(context.Background(), messenger.Peer{Host: "other", Incarnation: 2}, payload)
	if err != nil {
		return nil, err
	}
	return reply.(*peerwire.CrashNews), nil
}

func TestNewsOfOtherHosts(t *testing.T) {
	t.Run("ends count like own ones", func(t *testing.T) {
		h := newHost(t)
		h.lose(0, "a")
		for n := 1; n < 3; n++ {
			_, err := h.receive(&peerwire.CrashNews{Ends: []peerwire.EngineEnd{{
				Engine: fmt.Sprint("e", n), StartID: 1, Calls: []peerwire.BrokenCall{{Request: fmt.Sprint("r", n), Traits: []string{"a"}}},
			}}})
			h.is.NoErr(err)
		}
		h.assertQuarantined("a")
	})
	t.Run("verdicts are taken over and passed on to a host that asks", func(t *testing.T) {
		h := newHost(t)
		_, err := h.receive(&peerwire.CrashNews{Verdicts: []peerwire.TraitVerdict{{Trait: "a", Ends: 3, Requests: 3}}})
		h.is.NoErr(err)
		h.is.True(h.quarantined("a"))
		reply, err := h.receive(&peerwire.CrashNews{Want: true})
		h.is.NoErr(err)
		h.is.Equal(len(reply.Verdicts), 1)
		h.is.Equal(reply.Verdicts[0].Trait, "a")
	})
	long := string(make([]byte, 1000))
	nonsense := map[string]*peerwire.CrashNews{
		"trait without a name": {Verdicts: []peerwire.TraitVerdict{{}}},
		"endless trait":        {Verdicts: []peerwire.TraitVerdict{{Trait: long}}},
		"unknown phase":        {Begun: []peerwire.BegunCount{{Trait: "a", Phase: 9}}},
		"negative count":       {Begun: []peerwire.BegunCount{{Trait: "a", Count: -1}}},
		"endless engine":       {Ends: []peerwire.EngineEnd{{Engine: long}}},
		"endless request":      {Ends: []peerwire.EngineEnd{{Calls: []peerwire.BrokenCall{{Request: long}}}}},
		"too many verdicts":    {Verdicts: make([]peerwire.TraitVerdict, 10_000)},
	}
	for name, m := range nonsense {
		t.Run("are rejected with a "+name, func(t *testing.T) {
			h := newHost(t)
			_, err := h.receive(m)
			h.is.Equal(classifier.Of(err).Reason, classifier.ReasonBadRequest)
		})
	}
	t.Run("are rejected if they are no message", func(t *testing.T) {
		h := newHost(t)
		_, err := h.handle(context.Background(), messenger.Peer{}, msgp.AppendString(nil, "x"))
		h.is.Equal(classifier.Of(err).Reason, classifier.ReasonBadRequest)
	})
	t.Run("with times out of range do no harm", func(t *testing.T) {
		h := newHost(t)
		_, err := h.receive(&peerwire.CrashNews{Verdicts: []peerwire.TraitVerdict{{Trait: "a", AgeMs: -1 << 62, LastSeenMs: 1 << 62}}})
		h.is.NoErr(err)
		h.is.True(!h.quarantined("a"))
	})
}
