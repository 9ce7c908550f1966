package dispatcher

import (
	"context"
	"errors"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// step is a step of a generation at an engine.
type step int

const (
	stepPrefill step = iota
	stepImport
	stepDecode
	stepSecondToken
)

// refusingEngine performs generations, and refuses one step of each.
type refusingEngine struct {
	enginewireconnect.UnimplementedEngineServiceHandler
	refused step
}

func (e refusingEngine) refuse(at step) error {
	if e.refused != at {
		return nil
	}
	err := connect.NewError(connect.CodeResourceExhausted, errors.New("refused"))
	detail, detailErr := connect.NewErrorDetail(&enginewire.RefusalDetail{Reason: "memory-full"})
	if detailErr != nil {
		return detailErr
	}
	err.AddDetail(detail)
	return err
}

func (e refusingEngine) Prefill(context.Context, *connect.Request[enginewire.PrefillRequest]) (*connect.Response[enginewire.PrefillResponse], error) {
	return connect.NewResponse(&enginewire.PrefillResponse{Handle: "h"}), e.refuse(stepPrefill)
}

func (e refusingEngine) Import(context.Context, *connect.Request[enginewire.ImportRequest]) (*connect.Response[enginewire.ImportResponse], error) {
	return connect.NewResponse(&enginewire.ImportResponse{}), e.refuse(stepImport)
}

func (e refusingEngine) Decode(_ context.Context, _ *connect.Request[enginewire.DecodeRequest], s *connect.ServerStream[enginewire.DecodeResponse]) error {
	if err := e.refuse(stepDecode); err != nil {
		return err
	}
	if err := s.Send(&enginewire.DecodeResponse{Tokens: 1, Text: "text"}); err != nil {
		return err
	}
	return e.refuse(stepSecondToken)
}

// generateAt runs a generation at an engine, and returns its error.
func generateAt(t *testing.T, e refusingEngine) error {
	t.Helper()
	i := is.New(t)
	g := grouper.New(context.Background())
	_, handler := enginewireconnect.NewEngineServiceHandler(e)
	address, err := emulator.Serve(g.Context(), g, "127.0.0.1:0", handler)
	i.NoErr(err)
	endpoints := connector.New(connector.Options{})
	t.Cleanup(func() {
		endpoints.Close()
		g.Stop()
		i.NoErr(g.Wait())
	})
	const maxAttempts = 10 // more than the retry budget allows
	d := New(Deps{
		Incarnation: 1, Group: g, Endpoints: endpoints, Limits: fixedLimits{ok: true}, Observer: noObserver{}, Log: zap.NewNop(),
		Allocator: &singleEngineAllocator{
			endpoint: &compiler.Endpoint{Name: "desk-1", Address: address, Role: compiler.RoleBoth},
			released: make(chan allocator.Outcome, maxAttempts),
		},
	})
	_, err = d.Generate(t.Context(), GenerateRequest{
		ID: "quote-1", Service: &compiler.Service{Name: "desk", Model: "quotes"}, Customer: &compiler.Customer{Name: "dealers"},
		Prompt: "copper?", MaxTokens: 100,
	}, func(Chunk) error { return nil })
	return err
}

// TestVerdictAfterPrefill guards against generations that were reported as not run, as the last
// step of them was refused, though an engine had run their prefill or even sent tokens.
func TestVerdictAfterPrefill(t *testing.T) {
	cases := []struct {
		name    string
		refused step
		want    classifier.Verdict
	}{
		{"the prefill is refused", stepPrefill, classifier.VerdictNotRun},
		{"the transfer is refused", stepImport, classifier.VerdictMayHaveRun},
		{"the decode is refused", stepDecode, classifier.VerdictMayHaveRun},
		{"a refusal after a token", stepSecondToken, classifier.VerdictMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			err := generateAt(t, refusingEngine{refused: c.refused})
			i.True(err != nil)
			i.Equal(classifier.VerdictOf(err), c.want)
		})
	}
}
