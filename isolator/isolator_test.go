package isolator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"github.com/jackdawthread/jackdawthread/fingerprinter"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/timer"
)

const waitTimeout = 5 * time.Second

// errBrokenOff is the error of a call whose connection has ended.
var errBrokenOff = classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "no response: %w", io.ErrUnexpectedEOF)

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
	// alternatives are the engines that are registered; none for no limit.
	alternatives []isolator.Engine
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
		Alternatives: func(e isolator.Engine, _ quarantiner.Phase) []isolator.Engine {
			h.mu.Lock()
			defer h.mu.Unlock()
			if len(h.alternatives) == 0 {
				return []isolator.Engine{e, engine(100), engine(101)}
			}
			return h.alternatives
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

// loseAll sends requests with the trait to engines, which break them off when all of them are under
// way. A request that is sent after the first end is on trial.
func (h *host) loseAll(count int, g identifier.Trait) {
	h.is.Helper()
	var calls []*isolator.Call
	for n := range count {
		calls = append(calls, h.enter(n, g))
	}
	for _, c := range calls {
		c.Lost()
	}
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
	h.eventually(func() bool { return h.quarantined(g) })
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
		h.loseAll(3, "a")
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

// TestRequestTrials guards against requests as a whole that are sent again while another one like
// them is under way, and against trials that a request's own calls wait for.
func TestRequestTrials(t *testing.T) {
	traits := quarantiner.RequestTraits(fingerprinter.Fingerprints{Request: "a", Caller: "b"})
	enter := func(h *host, n int, p quarantiner.Phase) (*isolator.Call, error) {
		return h.Enter(context.Background(), engine(n), p, "q", traits)
	}
	onTrial := func(t *testing.T) *host {
		h := newHost(t)
		c, err := enter(h, 0, quarantiner.PhaseDecode)
		h.is.NoErr(err)
		c.Settle(context.Background(), errBrokenOff)
		h.is.True(h.OnTrial(traits))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.connect = nil
		return h
	}
	ends := map[string]func(*isolator.Call){
		"its prefill":             (*isolator.Call).Prefilled,
		"a closed call":           (*isolator.Call).Close,
		"an unreachable endpoint": (*isolator.Call).Unreachable,
	}
	for name, end := range ends {
		t.Run("go on at once after "+name, func(t *testing.T) {
			h := onTrial(t)
			c, err := enter(h, 1, quarantiner.PhasePrefill)
			h.is.NoErr(err)
			end(c)
			started := time.Now()
			_, err = enter(h, 2, quarantiner.PhaseDecode)
			h.is.NoErr(err)
			h.is.True(time.Since(started) < 50*time.Millisecond)
		})
	}
	t.Run("are one at a time", func(t *testing.T) {
		h := onTrial(t)
		_, err := enter(h, 1, quarantiner.PhaseDecode)
		h.is.NoErr(err)
		_, err = enter(h, 2, quarantiner.PhaseDecode)
		h.is.Equal(classifier.Of(err).Reason, classifier.ReasonQuarantined)
		h.is.Equal(classifier.Of(err).Verdict, classifier.VerdictNotRun)
		h.is.True(classifier.Of(err).RetryAfter > 0)
	})
	t.Run("spare a request that is answered", func(t *testing.T) {
		h := onTrial(t)
		h.mu.Lock()
		h.open = 1
		h.mu.Unlock()
		c, err := enter(h, 1, quarantiner.PhaseDecode)
		h.is.NoErr(err)
		c.Completed()
		h.eventually(func() bool { return !h.OnTrial(traits) })
	})
	t.Run("accuse a request whose endpoint ends after its answer", func(t *testing.T) {
		h := onTrial(t)
		for n := 1; n < 3; n++ {
			c, err := enter(h, n, quarantiner.PhaseDecode)
			h.is.NoErr(err)
			h.mu.Lock()
			h.connect = syscall.ECONNREFUSED
			h.mu.Unlock()
			c.Completed()
			time.Sleep(time.Second)
		}
		h.is.True(h.Check(traits) != nil)
	})
	t.Run("don't risk the last endpoint", func(t *testing.T) {
		h := onTrial(t)
		h.mu.Lock()
		h.alternatives = []isolator.Engine{engine(0), engine(1)}
		h.mu.Unlock()
		_, err := enter(h, 1, quarantiner.PhaseDecode)
		h.is.Equal(classifier.Of(err).Reason, classifier.ReasonQuarantined)
		h.mu.Lock()
		h.alternatives = append(h.alternatives, engine(2))
		h.mu.Unlock()
		_, err = enter(h, 1, quarantiner.PhaseDecode)
		h.is.NoErr(err)
	})
}

// TestTrialsOfOtherHosts guards against two hosts that have the same trial.
func TestTrialsOfOtherHosts(t *testing.T) {
	trait := string(quarantiner.RequestTraits(fingerprinter.Fingerprints{Request: "a"})[0])
	ask := func(h *host, from identifier.Incarnation, m peerwire.TrialRequest) (bool, error) {
		payload, err := m.MarshalMsg(nil)
		h.is.NoErr(err)
		reply, err := h.handlers[peerwire.KindTrial](context.Background(), messenger.Peer{Host: "other", Incarnation: from}, payload)
		if err != nil {
			return false, err
		}
		return reply.(*peerwire.TrialReply).Granted, nil
	}
	assert := func(h *host, from identifier.Incarnation, m peerwire.TrialRequest, want bool) {
		h.is.Helper()
		granted, err := ask(h, from, m)
		h.is.NoErr(err)
		h.is.Equal(granted, want)
	}
	first := peerwire.TrialRequest{Trait: trait, Trial: 1, LeaseMs: 5000}
	second := peerwire.TrialRequest{Trait: trait, Trial: 2, LeaseMs: 5000}
	t.Run("are granted to one until it has ended", func(t *testing.T) {
		h := newHost(t)
		assert(h, 2, first, true)
		assert(h, 3, second, false)
		assert(h, 2, first, true) // an extension
		ended := first
		ended.Ended = true
		assert(h, 3, ended, false) // not the holder
		assert(h, 3, second, false)
		assert(h, 2, ended, false)
		assert(h, 3, second, true)
	})
	t.Run("run out", func(t *testing.T) {
		h := newHost(t)
		short := first
		short.LeaseMs = 20
		assert(h, 2, short, true)
		time.Sleep(30 * time.Millisecond)
		assert(h, 3, second, true)
	})
	for name, m := range map[string]peerwire.TrialRequest{
		"no trait":         {Trial: 1},
		"a prompt's part":  {Trait: "a", Trial: 1},
		"a negative lease": {Trait: trait, LeaseMs: -1},
		"an endless trait": {Trait: trait + string(make([]byte, 1000))},
	} {
		t.Run("are rejected with "+name, func(t *testing.T) {
			h := newHost(t)
			_, err := ask(h, 2, m)
			h.is.Equal(classifier.Of(err).Reason, classifier.ReasonBadRequest)
		})
	}
}

// eventually waits until the condition holds.
func (h *host) eventually(condition func() bool) {
	h.is.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		h.is.True(time.Now().Before(end))
		time.Sleep(10 * time.Millisecond)
	}
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

// receiveEnd receives the end of an engine under a request with the trait.
func (h *host) receiveEnd(n int, g string) {
	h.is.Helper()
	_, err := h.receive(&peerwire.CrashNews{Ends: []peerwire.EngineEnd{{
		Engine: fmt.Sprint("e", n), StartID: 1, Calls: []peerwire.BrokenCall{{Request: fmt.Sprint("r", n), Traits: []string{g}}},
	}}})
	h.is.NoErr(err)
}

// receiveBegun receives a begun answer to a request with the trait, in a message with a number.
func (h *host) receiveBegun(g string, sequence uint64) {
	h.is.Helper()
	_, err := h.receive(&peerwire.CrashNews{Begun: []peerwire.BegunCount{{Trait: g, Count: 1}}, Origin: 3, Sequence: sequence})
	h.is.NoErr(err)
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
	// Begun answers speak against a verdict: counted twice, they outweighed the ends.
	t.Run("begun answers that arrive from their host and by way of another one count once", func(t *testing.T) {
		h := newHost(t)
		h.receiveEnd(0, "a")
		for range 5 {
			h.receiveBegun("a", 7)
		}
		for n := 1; n < 4; n++ {
			h.receiveEnd(n, "a")
		}
		h.assertQuarantined("a") // 4 ends, 1 begun answer
	})
	t.Run("begun answers of several messages count together", func(t *testing.T) {
		h := newHost(t)
		h.receiveEnd(0, "a")
		for n := range uint64(2) {
			h.receiveBegun("a", n+1)
		}
		for n := 1; n < 4; n++ {
			h.receiveEnd(n, "a")
		}
		h.assertFree("a")
	})
	t.Run("begun answers of hosts that don't number them count", func(t *testing.T) {
		h := newHost(t)
		h.receiveEnd(0, "a")
		for range 2 {
			h.receiveBegun("a", 0)
		}
		for n := 1; n < 4; n++ {
			h.receiveEnd(n, "a")
		}
		h.assertFree("a")
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
