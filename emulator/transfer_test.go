package emulator

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// conditionTimeout bounds how long a test waits for a condition.
const conditionTimeout = 5 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %s", what, conditionTimeout)
		}
	}
}

// enginePair is a prefill and a decode engine connected by a link.
type enginePair struct {
	prefill, decode *testEngine
	link            *Link
}

func serveEnginePair(t *testing.T, decode EngineSettings) *enginePair {
	t.Helper()
	key := compiler.LinkKey{From: "a", To: "b"}
	links := NewLinks(nil, 1)
	decode.Name, decode.Role, decode.DataCenter = "d1", compiler.RoleDecode, "b"
	return &enginePair{
		prefill: serveEngine(t, EngineSettings{Name: "p1", Role: compiler.RolePrefill, DataCenter: "a", Scale: 1, PrefillRate: 1e6}, EngineDeps{Links: links}),
		decode:  serveEngine(t, decode, EngineDeps{Links: links}),
		link:    links.Link(key),
	}
}

func TestTransfer(t *testing.T) {
	const tokens = 10
	t.Run("a full decode engine refuses before it pulls", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{Slots: 1})
		is.NoErr(prefillAndImport(t.Context(), p.prefill, p.decode, 1, promptOf(100), tokens))
		err := prefillAndImport(t.Context(), p.prefill, p.decode, 2, promptOf(100), tokens)
		is.Equal(RefusalOf(err), RefusalSlotsFull)
		is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
		is.Equal(p.prefill.Stats().Exported, 1)
	})
	t.Run("the link bounds the rate", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{})
		p.link.SetRate(400)
		start := time.Now()
		is.NoErr(prefillAndImport(t.Context(), p.prefill, p.decode, 1, promptOf(88*16), tokens))
		is.True(time.Since(start) >= 190*time.Millisecond) // 80 pieces after the first burst
	})
	t.Run("cancel at the decode engine ends a stalled transfer", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{})
		p.link.SetStalled(true)
		g := grouper.New(t.Context())
		g.Go(func(ctx context.Context) error {
			return prefillAndImport(ctx, p.prefill, p.decode, 1, promptOf(100), tokens)
		})
		eventually(t, "the start of the import", func() bool { return p.decode.Stats().SlotsHeld == 1 })
		_, err := p.decode.client.Cancel(t.Context(), connect.NewRequest(&enginewire.CancelRequest{Attempt: newAttempt(1)}))
		is.NoErr(err)
		is.Equal(connect.CodeOf(g.Wait()), connect.CodeCanceled)
		requireNothingHeld(t, p.decode)
		eventually(t, "the release of the prefill result", func() bool { return p.prefill.Stats().PiecesHeld == 0 })
		is.Equal(p.prefill.Stats().DiscardedTokens, uint64(100))
	})
	t.Run("a caller that disconnects ends a stalled transfer", func(t *testing.T) {
		p := serveEnginePair(t, EngineSettings{})
		p.link.SetStalled(true)
		g := grouper.New(t.Context())
		g.Run(func(ctx context.Context) { _ = prefillAndImport(ctx, p.prefill, p.decode, 1, promptOf(100), tokens) })
		eventually(t, "the start of the import", func() bool { return p.decode.Stats().SlotsHeld == 1 })
		g.Stop()
		_ = g.Wait()
		eventually(t, "the release of memory", func() bool {
			return p.decode.Stats().PiecesHeld == 0 && p.prefill.Stats().PiecesHeld == 0
		})
	})
	t.Run("a stalled transfer resumes when the stall ends", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{})
		p.link.SetStalled(true)
		g := grouper.New(t.Context())
		g.Go(func(ctx context.Context) error {
			return prefillAndImport(ctx, p.prefill, p.decode, 1, promptOf(100), tokens)
		})
		eventually(t, "the start of the import", func() bool { return p.decode.Stats().SlotsHeld == 1 })
		time.Sleep(20 * time.Millisecond)
		is.Equal(p.decode.Stats().Imported, 0)
		p.link.SetStalled(false)
		is.NoErr(g.Wait())
		text, err := decodeAll(t.Context(), p.decode, 1, 0)
		is.NoErr(err)
		is.Equal(text, Answer(testModel, promptOf(100), tokens))
	})
	t.Run("an import from an unreachable engine releases its resources", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{})
		_, err := p.decode.client.Import(t.Context(), connect.NewRequest(&enginewire.ImportRequest{
			Attempt: newAttempt(1), Model: testModel, Handle: "x", SourceAddress: "127.0.0.1:1", Pieces: 10,
		}))
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
		is.Equal(RefusalOf(err), Refusal(""))
		requireNothingHeld(t, p.decode)
	})
	t.Run("an expired handle is reported to the importer", func(t *testing.T) {
		is := is.New(t)
		p := serveEnginePair(t, EngineSettings{})
		r, err := p.prefill.client.Prefill(t.Context(), prefillRequest(1, promptOf(100), tokens))
		is.NoErr(err)
		eventually(t, "the expiry of the prefill result", func() bool { return p.prefill.Stats().Expired == 1 })
		_, err = p.decode.client.Import(t.Context(), connect.NewRequest(&enginewire.ImportRequest{
			Attempt: newAttempt(1), Model: testModel, Handle: r.Msg.GetHandle(), SourceAddress: string(p.prefill.address),
		}))
		is.Equal(RefusalOf(err), RefusalExpiredHandle)
		requireNothingHeld(t, p.decode)
	})
}

func TestResetStreamResumes(t *testing.T) {
	is := is.New(t)
	e := serveEngine(t, EngineSettings{Name: "b1", StreamGrace: 5 * time.Minute}, EngineDeps{})
	is.NoErr(prefillAndImport(t.Context(), e, e, 1, promptOf(100), 60))
	e.SetFaults(Faults{FailAfterTokens: 25})
	first, err := decodeAll(t.Context(), e, 1, 0)
	is.True(err != nil)
	is.Equal(first, Answer(testModel, promptOf(100), 25))
	e.SetFaults(Faults{})
	rest, err := decodeAll(t.Context(), e, 1, 25)
	is.NoErr(err)
	is.Equal(first+rest, Answer(testModel, promptOf(100), 60))
	requireNothingHeld(t, e)
}

func TestResumeWithWrongTextChangesAnswer(t *testing.T) {
	is := is.New(t)
	matching := newPrefill(&enginewire.PrefillRequest{Model: testModel, Prompt: "x", GeneratedTokens: 2, GeneratedText: Answer(testModel, "x", 2), MaxTokens: 9})
	mismatching := newPrefill(&enginewire.PrefillRequest{Model: testModel, Prompt: "x", GeneratedTokens: 2, GeneratedText: Answer(testModel, "x", 3), MaxTokens: 9})
	is.Equal(matching.seed.Text(2, 9), AnswerSeed(testModel, "x").Text(2, 9))
	is.True(mismatching.seed.Text(2, 9) != matching.seed.Text(2, 9))
}

func TestKilledEngineLosesState(t *testing.T) {
	is := is.New(t)
	g := grouper.New(t.Context())
	fleet := &compiler.Fleet{Endpoints: map[identifier.Endpoint]*compiler.Endpoint{
		"e1": {Name: "e1", Role: compiler.RoleBoth},
		"l1": {Name: "l1", Role: compiler.RolePlain},
	}}
	site, err := StartSite(g.Context(), g, SiteSettings{Fleet: fleet, EphemeralPorts: true, Engine: EngineSettings{Model: testModel}})
	is.NoErr(err)
	old, plain := site.Engine("e1"), site.Plain("l1")
	address := site.Addresses()["e1"]
	is.NoErr(site.Kill("e1"))
	is.NoErr(site.Kill("l1"))
	_, err = old.Prefill(t.Context(), prefillRequest(1, "x", 1))
	is.True(err != nil)
	is.NoErr(site.Restart("e1"))
	is.NoErr(site.Restart("l1"))
	is.True(site.Engine("e1") != old)
	is.Equal(site.Plain("l1"), plain) // its record of executions is kept
	is.Equal(site.Addresses()["e1"], address)
	is.True(site.Kill("e9") != nil)
	g.Stop()
	is.NoErr(g.Wait())
}
