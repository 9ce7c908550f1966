package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	crashEngines = 8
	// maxCrashes is how many engines may end before requests are kept away.
	maxCrashes = 5
)

// crashingEngines grants slots at the first engine that has not ended.
type crashingEngines struct {
	endpoints []*compiler.Endpoint
	ended     []atomic.Bool
}

func (c *crashingEngines) Ask(_ context.Context, r coordinator.SlotRequest) (*coordinator.Grant, error) {
	for n, e := range c.endpoints {
		if !c.ended[n].Load() && !slices.Contains(r.Exclude, e.Name) {
			return &coordinator.Grant{Attempt: r.Attempt, Prefill: e, Decode: e, Pieces: 20}, nil
		}
	}
	return nil, classifier.NotRun(classifier.ReasonNoEndpoint, 0, "all engines have ended")
}

func (c *crashingEngines) Bind(context.Context, *coordinator.Grant) error { return nil }

func (c *crashingEngines) Progress(*coordinator.Grant, allocator.Phase) {}

func (c *crashingEngines) Release(*coordinator.Grant, allocator.Outcome) {}

func (c *crashingEngines) crashes() int {
	n := 0
	for k := range c.ended {
		if c.ended[k].Load() {
			n++
		}
	}
	return n
}

// startCrashingEngines starts engines that end as soon as they get a call of the procedure,
// such as Decode.
func startCrashingEngines(t *testing.T, g *grouper.Group, procedure string) *crashingEngines {
	t.Helper()
	c := &crashingEngines{ended: make([]atomic.Bool, crashEngines)}
	for n := range crashEngines {
		name := fmt.Sprintf("desk-%d", n)
		ctx, end := context.WithCancel(g.Context())
		engine := emulator.NewEngine(ctx, emulator.EngineSettings{Name: identifier.Endpoint(name), Model: "quotes", Scale: 20, ResultTTL: time.Hour}, emulator.EngineDeps{})
		t.Cleanup(engine.Close)
		handler := engine.Handler()
		address, err := emulator.Serve(ctx, g, "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/"+procedure) {
				c.ended[n].Store(true)
				end()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
		is.New(t).NoErr(err)
		c.endpoints = append(c.endpoints, &compiler.Endpoint{Name: identifier.Endpoint(name), Address: address, Role: compiler.RoleBoth})
	}
	return c
}

// aloneInFleet is the membership of a host that knows no other.
type aloneInFleet struct{}

func (aloneInFleet) View() *gossiper.View { return &gossiper.View{} }

// newIsolatedDispatcher returns a dispatcher of a host that is alone.
func newIsolatedDispatcher(g *grouper.Group, engines *crashingEngines, endpoints *connector.Connector) *Dispatcher {
	return New(Deps{
		Incarnation: 1, Group: g, Allocator: engines, Endpoints: endpoints,
		Limits: fixedLimits{ok: true}, Observer: noObserver{}, Log: zap.NewNop(),
		Leaving: func(identifier.Endpoint) bool { return false },
		Isolator: isolator.New(isolator.Deps{
			Self: 1, Members: aloneInFleet{}, Connect: endpoints.Reach,
			Registered: func(isolator.Engine) bool { return true },
			Timer:      timer.New(g), Group: g, Log: zap.NewNop(),
		}),
	})
}

// TestCrashingPrompts guards against generations that share a prefix of their prompts
// and end every engine that begins to answer them, one after the other.
func TestCrashingPrompts(t *testing.T) {
	i := is.New(t)
	g := grouper.New(t.Context())
	endpoints := connector.New(connector.Options{})
	t.Cleanup(func() {
		endpoints.Close()
		g.Stop()
		i.NoErr(g.Wait())
	})
	engines := startCrashingEngines(t, g, "Decode")
	d := newIsolatedDispatcher(g, engines, endpoints)
	shared := strings.Repeat("a common introduction ", hasher.BlockBytes/10)
	generate := func(n int) *classifier.Error {
		_, err := d.Generate(t.Context(), GenerateRequest{
			ID: identifier.Request(fmt.Sprintf("quote-%d", n)), Service: &compiler.Service{Name: "desk", Model: "quotes"},
			Customer: &compiler.Customer{Name: "dealers"}, Prompt: shared + fmt.Sprint(n), MaxTokens: 10,
		}, func(Chunk) error { return nil })
		return classifier.Of(err)
	}
	last := &classifier.Error{}
	for n := range 2 * crashEngines {
		last = generate(n)
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d of %d engines ended", engines.crashes(), crashEngines)
	i.Equal(last.Reason, classifier.ReasonQuarantined)
	i.Equal(last.Verdict, classifier.VerdictNotRun)
	i.True(engines.crashes() <= maxCrashes)
}
