package emulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

const (
	testModel = "notes"
	fastScale = 50
)

// testEngine is an engine with a client that reaches it over TCP.
type testEngine struct {
	*Engine
	client  enginewireconnect.EngineServiceClient
	address identifier.Address
}

func serveEngine(t *testing.T, s EngineSettings, d EngineDeps) *testEngine {
	t.Helper()
	is := is.New(t)
	g := grouper.New(t.Context())
	setDefault(&s.Model, testModel)
	setDefault(&s.Scale, fastScale)
	e := NewEngine(g.Context(), s, d)
	address, err := Serve(g.Context(), g, ephemeralAddress, e.Handler())
	is.NoErr(err)
	client := NewHTTPClient()
	t.Cleanup(func() {
		e.Close()
		g.Stop()
		is.NoErr(g.Wait())
		client.CloseIdleConnections()
	})
	return &testEngine{e, enginewireconnect.NewEngineServiceClient(client, "http://"+string(address)), address}
}

func newAttempt(sequence uint64) *enginewire.Attempt {
	return &enginewire.Attempt{Incarnation: 7, Sequence: sequence}
}

func prefillRequest(sequence uint64, prompt string, tokens uint32) *connect.Request[enginewire.PrefillRequest] {
	return connect.NewRequest(&enginewire.PrefillRequest{
		Attempt: newAttempt(sequence), Model: testModel, Prompt: prompt, MaxTokens: tokens,
	})
}

// prefillAndImport runs a prefill at from and imports its result at to.
func prefillAndImport(ctx context.Context, from, to *testEngine, sequence uint64, prompt string, tokens uint32) error {
	p, err := from.client.Prefill(ctx, prefillRequest(sequence, prompt, tokens))
	if err != nil {
		return err
	}
	_, err = to.client.Import(ctx, connect.NewRequest(&enginewire.ImportRequest{
		Attempt: newAttempt(sequence), Model: testModel, Handle: p.Msg.GetHandle(),
		SourceAddress: string(from.address), Pieces: p.Msg.GetPieces(),
	}))
	return err
}

// decodeAll reads an answer from an offset to its end.
func decodeAll(ctx context.Context, e *testEngine, sequence uint64, offset uint32) (string, error) {
	s, err := e.client.Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{Attempt: newAttempt(sequence), TokenOffset: offset}))
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }() // errors are reported by s.Err
	var text strings.Builder
	done := false
	for s.Receive() {
		text.WriteString(s.Msg().GetText())
		done = s.Msg().GetDone()
	}
	if s.Err() == nil && !done {
		return text.String(), connect.NewError(connect.CodeDataLoss, errReset)
	}
	return text.String(), s.Err()
}

func requireNothingHeld(t *testing.T, engines ...*testEngine) {
	t.Helper()
	is := is.New(t)
	for _, e := range engines {
		s := e.Stats()
		is.Equal(s.PiecesHeld, 0)
		is.Equal(s.SlotsHeld, 0)
		is.Equal(len(s.AttemptsHeld), 0)
	}
}

func TestAnswer(t *testing.T) {
	prompt := strings.Repeat("copper price in Taoyuan ", 40)
	const tokens = 60
	// Expiry is tested elsewhere. With the tests' scale, a result would expire
	// after 16 ms, which is too short on a busy machine.
	const resultTTL = time.Hour
	t.Run("by one engine of both roles", func(t *testing.T) {
		is := is.New(t)
		e := serveEngine(t, EngineSettings{Name: "b1", ResultTTL: resultTTL}, EngineDeps{})
		is.NoErr(prefillAndImport(t.Context(), e, e, 1, prompt, tokens))
		text, err := decodeAll(t.Context(), e, 1, 0)
		is.NoErr(err)
		is.Equal(text, Answer(testModel, prompt, tokens))
		requireNothingHeld(t, e)
	})
	t.Run("by a prefill and a decode engine", func(t *testing.T) {
		is := is.New(t)
		p := serveEngine(t, EngineSettings{Name: "p1", Role: compiler.RolePrefill, ResultTTL: resultTTL}, EngineDeps{})
		d := serveEngine(t, EngineSettings{Name: "d1", Role: compiler.RoleDecode}, EngineDeps{})
		is.NoErr(prefillAndImport(t.Context(), p, d, 1, prompt, tokens))
		text, err := decodeAll(t.Context(), d, 1, 0)
		is.NoErr(err)
		is.Equal(text, Answer(testModel, prompt, tokens))
		requireNothingHeld(t, p, d)
		is.Equal(p.Stats().DiscardedTokens, uint64(0))
	})
	t.Run("resumed by another attempt", func(t *testing.T) {
		is := is.New(t)
		e := serveEngine(t, EngineSettings{Name: "b1"}, EngineDeps{})
		r := prefillRequest(2, prompt, tokens)
		r.Msg.GeneratedTokens = 25
		r.Msg.GeneratedText = Answer(testModel, prompt, 25)
		p, err := e.client.Prefill(t.Context(), r)
		is.NoErr(err)
		_, err = e.client.Import(t.Context(), connect.NewRequest(&enginewire.ImportRequest{
			Attempt: newAttempt(2), Model: testModel, Handle: p.Msg.GetHandle(),
		}))
		is.NoErr(err)
		text, err := decodeAll(t.Context(), e, 2, 25)
		is.NoErr(err)
		is.Equal(Answer(testModel, prompt, 25)+text, Answer(testModel, prompt, tokens))
	})
}
