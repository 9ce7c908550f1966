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

// singleEngineAllocator grants every request slots at one engine that has both
// roles.
type singleEngineAllocator struct {
	endpoint *compiler.Endpoint
	released chan allocator.Outcome
}

func (a *singleEngineAllocator) Ask(_ context.Context, ask coordinator.SlotRequest) (*coordinator.Grant, error) {
	return &coordinator.Grant{Attempt: ask.Attempt, Prefill: a.endpoint, Decode: a.endpoint, Pieces: 20}, nil
}

func (a *singleEngineAllocator) Bind(context.Context, *coordinator.Grant) error { return nil }

func (a *singleEngineAllocator) Progress(*coordinator.Grant, allocator.Phase) {}

func (a *singleEngineAllocator) Release(_ *coordinator.Grant, o allocator.Outcome) { a.released <- o }

// noObserver discards observations.
type noObserver struct{}

func (noObserver) Observe(Observation) {}

const waitTimeout = 10 * time.Second

// TestSlowCaller checks that a caller that stops reading after its first chunk
// does not slow down the engine, which finishes and frees its memory while the
// caller is still blocked.
func TestSlowCaller(t *testing.T) {
	i := is.New(t)
	g := grouper.New(t.Context())
	engine := emulator.NewEngine(g.Context(), emulator.EngineSettings{Name: "desk-1", Model: "quotes", Scale: 20, ResultTTL: time.Hour}, emulator.EngineDeps{})
	address, err := emulator.Serve(g.Context(), g, "127.0.0.1:0", engine.Handler())
	i.NoErr(err)
	endpoints := connector.New(connector.Options{})
	t.Cleanup(func() {
		endpoints.Close()
		engine.Close()
		g.Stop()
		i.NoErr(g.Wait())
	})
	a := &singleEngineAllocator{endpoint: &compiler.Endpoint{Name: "desk-1", Address: address, Role: compiler.RoleBoth}, released: make(chan allocator.Outcome, 1)}
	d := New(Deps{
		Incarnation: 1, Group: g, Allocator: a, Endpoints: endpoints,
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
	case <-time.After(waitTimeout):
		t.Fatal("the engine did not finish while the caller was blocked")
	}
	i.Equal(engine.Stats().PiecesHeld, 0)
	close(resume)
	i.NoErr(<-finished)
	i.Equal(text, emulator.Answer("quotes", "copper?", 100))
}

// TestCallerDisconnects checks the error when the caller's connection fails on the
// first chunk.
func TestCallerDisconnects(t *testing.T) {
	i := is.New(t)
	d := &Dispatcher{}
	b := newResponseBuffer("", 0)
	i.NoErr(b.append(Chunk{Tokens: 1, Text: "a "}))
	g := &generation{dispatcher: d, request: GenerateRequest{ID: "quote-1"}, response: b}
	err := g.forward(t.Context(), func(Chunk) error { return context.Canceled })
	f := classifier.Of(err)
	i.Equal(f.Verdict, classifier.VerdictMayHaveRun)
	i.Equal(f.Reason, classifier.ReasonCanceled)
}

func awaitClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		t.Fatal("no chunk was received")
	}
}
