package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// fakeSlots implements Slots by a function.
type fakeSlots struct {
	acquire func(ctx context.Context, r reserver.SlotRequest) (reserver.Slot, error)

	mu       sync.Mutex
	requests []reserver.SlotRequest
	granted  int
	ended    []reserver.SlotOutcome
}

func (s *fakeSlots) SharesSlots(identifier.Service) bool { return true }

func (s *fakeSlots) AcquireSlot(ctx context.Context, r reserver.SlotRequest) (reserver.Slot, error) {
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	slot, err := s.acquire(ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.granted++
	}
	return slot, err
}

func (s *fakeSlots) EndSlot(_ reserver.Slot, o reserver.SlotOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, o)
}

// countingEndpoints counts the calls to each endpoint, which takes a time for them.
type countingEndpoints struct {
	httpEngines
	took map[identifier.Endpoint]time.Duration

	mu    sync.Mutex
	calls map[identifier.Endpoint]int
}

func (c *countingEndpoints) Forward(ctx context.Context, e *registrar.Endpoint, call *Call) (*exchanger.Response, error) {
	c.mu.Lock()
	c.calls[e.Name]++
	c.mu.Unlock()
	time.Sleep(c.took[e.Name])
	return c.httpEngines.Forward(ctx, e, call)
}

func (c *countingEndpoints) Load(*exchanger.Response) (placer.Load, bool) {
	return placer.Load{Running: 1, Slots: 2, Slowdown: 1.5}, true
}

func (c *countingEndpoints) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls["p1"] + c.calls["p2"]
}

// slotSite is a host that forwards to two endpoints whose slots are shared.
type slotSite struct {
	*countingEndpoints
	forwarder *Forwarder
	registry  *registrar.Registrar
	budget    *fixedBudget
	group     *grouper.Group
	slots     *fakeSlots
	endpoints []*registrar.Endpoint
}

func newSlotSite(t *testing.T, kind registrar.Kind) *slotSite {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("done")) // the caller has left if it fails
	}))
	t.Cleanup(server.Close)
	s := &slotSite{group: grouper.New(context.Background()), slots: &fakeSlots{}, budget: &fixedBudget{left: 10}}
	t.Cleanup(func() {
		s.group.Stop()
		_ = s.group.Wait() // its goroutines return no errors
	})
	s.countingEndpoints = &countingEndpoints{
		httpEngines: httpEngines{exchanger.New(exchanger.Options{})}, calls: map[identifier.Endpoint]int{}, took: map[identifier.Endpoint]time.Duration{},
	}
	address := identifier.Address(strings.TrimPrefix(server.URL, "http://"))
	s.endpoints = []*registrar.Endpoint{
		{Name: "p1", Service: "desk", Address: address, Slots: 2},
		{Name: "p2", Service: "desk", Address: address, Slots: 2},
	}
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, []*registrar.Route{{
		Name: "quotes", Host: "test.example", Prefix: "/", Kind: kind, Timeout: time.Second,
		Attempts: 2, Objective: hedgeObjective, Splits: []registrar.Split{{Service: "desk"}},
	}}, []*registrar.Service{{Name: "desk"}}, registrar.Limits{}))
	registry.SetEndpoints(s.endpoints)
	s.registry = registry
	s.forwarder = New(Deps{
		Registry: registry, Endpoints: s.countingEndpoints, Dialect: plainDialect{}, Budget: s.budget, Slots: s.slots,
		Placer: placer.New(placer.Options{}, 1), Observer: ignoredObservations{}, AwaitConfirmation: func(context.Context) {},
		Group: s.group, Log: zap.NewNop(),
	}, Options{})
	return s
}

// grant makes the slot host grant a slot at an endpoint.
func (s *slotSite) grant(at int) {
	s.slots.acquire = func(context.Context, reserver.SlotRequest) (reserver.Slot, error) {
		return reserver.Slot{Endpoint: s.endpoints[at], Expected: time.Millisecond}, nil
	}
}

// fail makes requests to the slot host fail.
func (s *slotSite) fail(err error) {
	s.slots.acquire = func(context.Context, reserver.SlotRequest) (reserver.Slot, error) { return reserver.Slot{}, err }
}

// noSlot is the refusal of a request for which there is no slot.
func noSlot(retryAfter time.Duration) error {
	return classifier.NotRun(classifier.ReasonQueueFull, retryAfter, "refused: %w", reserver.ErrNoSlot)
}

// request sends a request and returns the response once all its calls have ended.
func (s *slotSite) request() *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/1", nil)
	r.Host = "test.example"
	w := httptest.NewRecorder()
	s.forwarder.ServeHTTP(w, r)
	s.group.Stop()
	_ = s.group.Wait() // its goroutines return no errors
	return w
}

func TestSharedSlots(t *testing.T) {
	t.Run("a call goes to the endpoint of its slot, which ends once", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindUnrepeatable)
		s.grant(1)
		i.Equal(s.request().Code, http.StatusOK)
		i.Equal(s.calls, map[identifier.Endpoint]int{"p2": 1})
		i.Equal(len(s.slots.ended), 1)
		i.Equal(s.slots.ended[0].Verdict, placer.VerdictSuccess)
		i.Equal(s.slots.ended[0].Load.Slowdown, 1.5)
	})
	t.Run("an endpoint's entry may change while the request waits", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindUnrepeatable)
		s.slots.acquire = func(context.Context, reserver.SlotRequest) (reserver.Slot, error) {
			changed := *s.endpoints[1]
			changed.Slots++
			return reserver.Slot{Endpoint: &changed}, nil
		}
		i.Equal(s.request().Code, http.StatusOK)
		i.Equal(len(s.slots.requests), 1)
		i.Equal(s.calls, map[identifier.Endpoint]int{"p2": 1})
	})
	for name, after := range map[string]func(s *slotSite) []*registrar.Endpoint{
		"leaving": func(s *slotSite) []*registrar.Endpoint {
			leaving := *s.endpoints[0]
			leaving.Leaving = true
			return []*registrar.Endpoint{&leaving, s.endpoints[1]}
		},
		"gone": func(s *slotSite) []*registrar.Endpoint { return s.endpoints[1:] },
	} {
		t.Run("a slot is returned if its endpoint is "+name+" when it is granted", func(t *testing.T) {
			i := is.New(t)
			s := newSlotSite(t, registrar.KindUnrepeatable)
			s.slots.acquire = func(context.Context, reserver.SlotRequest) (reserver.Slot, error) {
				s.registry.SetEndpoints(after(s))
				return reserver.Slot{Endpoint: s.endpoints[min(1, s.slots.granted)]}, nil
			}
			i.Equal(s.request().Code, http.StatusOK)
			i.Equal(s.calls, map[identifier.Endpoint]int{"p2": 1})
			i.Equal(len(s.slots.ended), 2)
			i.Equal(s.slots.ended[0].Verdict, placer.VerdictNone)
		})
	}
	// A link's full queue and a host that ends have other reasons than an unreachable one.
	for _, r := range []classifier.Reason{classifier.ReasonHostUnreachable, classifier.ReasonQueueFull, classifier.ReasonCanceled, classifier.ReasonDeadline} {
		t.Run("without a host that grants slots, a call is sent once: "+string(r), func(t *testing.T) {
			i := is.New(t)
			s := newSlotSite(t, registrar.KindUnrepeatable)
			s.fail(classifier.NotRun(r, 0, "not asked"))
			i.Equal(s.request().Code, http.StatusOK)
			i.Equal(s.count(), 1)
		})
	}
	t.Run("a request that gets no slot is refused, and told when to return", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindIdempotent)
		s.fail(noSlot(time.Second))
		w := s.request()
		i.Equal(w.Code, http.StatusServiceUnavailable)
		i.True(w.Header().Get("Retry-After") != "")
		i.Equal(s.count(), 0)
	})
	t.Run("a request doesn't wait for a slot past its deadline", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindUnrepeatable)
		s.slots.acquire = func(ctx context.Context, _ reserver.SlotRequest) (reserver.Slot, error) {
			<-ctx.Done()
			return reserver.Slot{}, classifier.NotRun(classifier.ReasonCanceled, 0, "canceled")
		}
		i.True(s.request().Code >= http.StatusInternalServerError)
		i.Equal(s.count(), 0)
	})
	t.Run("an endpoint that failed is excluded from the next slot", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindIdempotent)
		s.endpoints[0].Address = "127.0.0.1:1" // refuses connections
		s.slots.acquire = func(_ context.Context, r reserver.SlotRequest) (reserver.Slot, error) {
			return reserver.Slot{Endpoint: s.endpoints[len(r.Exclude)]}, nil
		}
		i.Equal(s.request().Code, http.StatusOK)
		i.Equal(s.slots.requests[1].Exclude, []identifier.Endpoint{"p1"})
		i.Equal(len(s.slots.ended), s.slots.granted)
	})
	t.Run("a hedge waits until a slot is free", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindIdempotent)
		s.took["p1"] = 10 * hedgeRetryDelay
		tries := 0
		s.slots.acquire = func(_ context.Context, r reserver.SlotRequest) (reserver.Slot, error) {
			if !r.NoWait {
				return reserver.Slot{Endpoint: s.endpoints[0]}, nil
			}
			if tries++; tries == 1 {
				return reserver.Slot{}, noSlot(0)
			}
			return reserver.Slot{Endpoint: s.endpoints[1]}, nil
		}
		i.Equal(s.request().Code, http.StatusOK)
		i.Equal(tries, 2)
		i.Equal(s.calls, map[identifier.Endpoint]int{"p1": 1, "p2": 1})
		i.Equal(len(s.slots.ended), 2)
	})
	t.Run("a response is not held back by the choice of a hedge", func(t *testing.T) {
		i := is.New(t)
		s := newSlotSite(t, registrar.KindIdempotent)
		s.took["p1"] = 5 * hedgeObjective
		s.slots.acquire = func(ctx context.Context, r reserver.SlotRequest) (reserver.Slot, error) {
			if r.NoWait {
				<-ctx.Done() // when the response has arrived
				i.True(errors.Is(ctx.Err(), context.Canceled))
				if s.slots.granted == 1 {
					return reserver.Slot{Endpoint: s.endpoints[1]}, nil
				}
			}
			return reserver.Slot{Endpoint: s.endpoints[0]}, nil
		}
		i.Equal(s.request().Code, http.StatusOK)
		i.Equal(s.calls, map[identifier.Endpoint]int{"p1": 1}) // the hedge was not sent
		i.Equal(len(s.slots.ended), 2)
		i.Equal(s.budget.returned, 1)
	})
}
