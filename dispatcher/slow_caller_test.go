package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/emulator"
)

// oneEngine grants everything at one engine of both roles.
type oneEngine struct {
	endpoint *compiler.Endpoint
	released chan allocator.Outcome
}

func (a *oneEngine) Ask(_ context.Context, ask coordinator.Ask) (*coordinator.Grant, error) {
	return &coordinator.Grant{Attempt: ask.Attempt, Prefill: a.endpoint, Decode: a.endpoint, Pieces: 20}, nil
}

func (a *oneEngine) Bind(context.Context, *coordinator.Grant) error { return nil }

func (a *oneEngine) Progress(*coordinator.Grant, allocator.Phase) {}

func (a *oneEngine) Release(_ *coordinator.Grant, o allocator.Outcome) { a.released <- o }

// noObserver drops observations.
type noObserver struct{}

func (noObserver) Observe(Observation) {}

const waitBound = 10 * time.Second

// TestSlowCaller has a caller stop reading after its first chunk: the engine
// goes on at its own speed and is free long before the caller is.
func TestSlowCaller(t *testing.T) {
	i := is.New(t)
	g := grouper.New(t.Context())
	engine := emulator.NewEngine(g.Context(), emulator.EngineSettings{Name: "desk-1", Model: "quotes", Scale: 20, ResultKeep: time.Hour}, emulator.EngineDeps{})
	address, err := emulator.Serve(g.Context(), g, "127.0.0.1:0", engine.Handler())
	i.NoErr(err)
	endpoints := connector.New(connector.Options{})
	t.Cleanup(func() {
		endpoints.Close()
		engine.Close()
		g.Stop()
		i.NoErr(g.Wait())
	})
	a := &oneEngine{endpoint: &compiler.Endpoint{Name: "desk-1", Address: address, Role: compiler.RoleBoth}, released: make(chan allocator.Outcome, 1)}
	d := New(Deps{
		Incarnation: 1, Group: g, Allocation: a, Endpoints: endpoints,
		Limits: fixedLimits{ok: true}, Observer: noObserver{}, Log: zap.NewNop(),
	})
	request := GenerateRequest{
		ID: "quote-1", Service: &compiler.Service{Name: "desk", Model: "quotes"}, Customer: &compiler.Customer{Name: "dealers"},
		Prompt: "copper?", MaxTokens: 100,
	}

	blocked, resume := make(chan struct{}), make(chan struct{})
	var text string
	finished := make(chan error, 1)
	g.Run(func(ctx context.Context) {
		first := true
		_, err := d.Generate(ctx, request, func(c Chunk) error {
			text += c.Text
			if first {
				first = false
				close(blocked)
				<-resume
			}
			return nil
		})
		finished <- err
	})
	awaitClosed(t, blocked)
	select {
	case o := <-a.released:
		i.Equal(o.Ending, allocator.EndingDone)
	case <-time.After(waitBound):
		t.Fatal("the engine waits for the caller")
	}
	i.Equal(engine.Stats().PiecesHeld, 0)
	close(resume)
	i.NoErr(<-finished)
	i.Equal(text, emulator.Answer("quotes", "copper?", 100))
}

// TestCallerGone has a caller's connection fail on its first chunk.
func TestCallerGone(t *testing.T) {
	i := is.New(t)
	d := &Dispatcher{}
	a := newAnswer("", 0)
	i.NoErr(a.append(Chunk{Tokens: 1, Text: "a "}))
	gone := &generation{dispatcher: d, request: GenerateRequest{ID: "quote-1"}, answer: a}
	err := gone.pass(t.Context(), func(Chunk) error { return context.Canceled })
	f := classifier.Of(err)
	i.Equal(f.Verdict, classifier.VerdictMayHaveRun)
	i.Equal(f.Reason, classifier.ReasonCanceled)
}

func awaitClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitBound):
		t.Fatal("no chunk came")
	}
}
