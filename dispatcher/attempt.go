package dispatcher

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// attempt asks for slots and leads one try through prefill, transfer and
// decode. Whatever an engine may still hold after a failure is canceled.
func (g *generation) attempt(ctx context.Context) error {
	d := g.dispatcher
	grant, err := d.deps.Allocation.Ask(ctx, g.ask())
	if err != nil {
		return err
	}
	t := &try{generation: g, grant: grant}
	err = t.run(ctx)
	if err != nil {
		t.cancel()
		g.exclude = append(g.exclude, t.at.Name)
		d.deps.Log.Debug("attempt-failed",
			zap.String("request", string(g.request.ID)),
			zap.Stringer("attempt", grant.Attempt),
			zap.String("endpoint", string(t.at.Name)),
			zap.Error(err))
	}
	d.deps.Allocation.Release(grant, t.outcome(ctx, err))
	return err
}

func (g *generation) ask() coordinator.Ask {
	_, produced := g.answer.progress()
	return coordinator.Ask{
		Service: g.request.Service,
		Ask: allocator.Ask{
			Attempt:      g.dispatcher.newAttempt(),
			Urgency:      g.request.Urgency,
			Firm:         g.request.Customer.Firm,
			PromptTokens: hasher.CountTokens(g.request.Prompt) + produced,
			MaxTokens:    g.request.MaxTokens - min(produced, g.request.MaxTokens),
			Blocks:       hasher.Blocks(g.request.Prompt),
			Exclude:      g.exclude,
			Resumes:      produced > 0,
		},
	}
}

// try is one attempt with its grant.
type try struct {
	generation *generation
	grant      *coordinator.Grant
	// at is the endpoint that the try is at; it is the one that failed when
	// the try fails.
	at *compiler.Endpoint
	// prefillHolds and decodeHolds tell what may be held at the engines.
	prefillHolds bool
	decodeHolds  bool
}

func (t *try) run(ctx context.Context) error {
	t.at = t.grant.Prefill
	if err := sleeper.Sleep(ctx, t.grant.Wait); err != nil {
		return classifier.NotRun(classifier.ReasonCanceled, 0, "attempt %s ended before its prefill: %w", t.grant.Attempt, err)
	}
	prefilled, err := t.prefill(ctx)
	if err != nil {
		return err
	}
	if err := t.generation.dispatcher.deps.Allocation.Bind(ctx, t.grant); err != nil {
		return err
	}
	t.at = t.grant.Decode
	if err := t.transfer(ctx, prefilled); err != nil {
		return err
	}
	return t.decode(ctx)
}

func (t *try) prefill(ctx context.Context) (*enginewire.PrefillResponse, error) {
	r := &t.generation.request
	text, tokens := t.generation.answer.progress()
	t.prefillHolds = true
	response, err := t.engine().Prefill(ctx, connect.NewRequest(&enginewire.PrefillRequest{
		Attempt:         wireAttempt(t.grant.Attempt),
		Model:           string(r.Service.Model),
		Prompt:          r.Prompt,
		GeneratedText:   text,
		GeneratedTokens: uint32(tokens),
		MaxTokens:       uint32(r.MaxTokens),
		Priority:        wirePriority(r.Urgency),
	}))
	if err != nil {
		return nil, t.failed(err, &t.prefillHolds)
	}
	t.generation.dispatcher.deps.Allocation.Progress(t.grant, allocator.PhasePrefilled)
	return response.Msg, nil
}

func (t *try) transfer(ctx context.Context, p *enginewire.PrefillResponse) error {
	r := &t.generation.request
	t.decodeHolds = true
	_, err := t.engine().Import(ctx, connect.NewRequest(&enginewire.ImportRequest{
		Attempt:          wireAttempt(t.grant.Attempt),
		Model:            string(r.Service.Model),
		Handle:           p.GetHandle(),
		SourceAddress:    string(t.grant.Prefill.Address),
		SourceDataCenter: string(t.grant.Prefill.DataCenter),
		Pieces:           uint32(t.grant.Pieces),
		Priority:         wirePriority(r.Urgency),
	}))
	if err != nil {
		return t.failed(err, &t.decodeHolds)
	}
	t.prefillHolds = false
	t.generation.dispatcher.deps.Allocation.Progress(t.grant, allocator.PhaseTransferred)
	return nil
}

func (t *try) decode(ctx context.Context) error {
	_, offset := t.generation.answer.progress()
	stream, err := t.engine().Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{
		Attempt:     wireAttempt(t.grant.Attempt),
		TokenOffset: uint32(offset),
	}))
	if err != nil {
		return t.failed(err, new(bool))
	}
	defer func() { _ = stream.Close() }() // the outcome is known by then
	for stream.Receive() {
		done, err := t.receive(stream.Msg())
		if err != nil || done {
			return err
		}
	}
	err = stream.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return t.failed(err, new(bool))
}

// receive takes one message of the decode stream.
func (t *try) receive(m *enginewire.DecodeResponse) (done bool, err error) {
	c := Chunk{
		Offset: identifier.Tokens(m.GetTokenOffset()),
		Tokens: identifier.Tokens(m.GetTokens()),
		Text:   m.GetText(),
	}
	if err := t.generation.answer.append(c); err != nil {
		return false, classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "endpoint %q: %w", t.at.Name, err)
	}
	if c.Tokens > 0 {
		t.generation.note(c.Tokens)
	}
	if m.GetDone() {
		t.decodeHolds = false
	}
	return m.GetDone(), nil
}

// failed classifies an endpoint's error. What is proved not to have run holds
// nothing there.
func (t *try) failed(err error, holds *bool) error {
	e := converter.FromEndpoint(err)
	if e.Verdict == classifier.VerdictNotRun {
		*holds = false
	}
	e.Message = "endpoint " + string(t.at.Name) + ": " + e.Message
	return e
}

// cancel drops whatever engines may hold of the try.
func (t *try) cancel() {
	c := t.generation.dispatcher.canceler
	if t.prefillHolds {
		c.cancel(t.grant.Prefill, t.grant.Attempt)
	}
	if t.decodeHolds {
		c.cancel(t.grant.Decode, t.grant.Attempt)
	}
}

func (t *try) outcome(ctx context.Context, err error) allocator.Outcome {
	if err == nil {
		return allocator.Outcome{Ending: allocator.EndingDone}
	}
	if ctx.Err() != nil || converter.CanceledThere(err) {
		return allocator.Outcome{Ending: allocator.EndingCancelled}
	}
	return allocator.Outcome{
		Ending:   allocator.EndingFailed,
		Endpoint: t.at.Name,
		Refused:  classifier.Of(err).Reason == classifier.ReasonEndpointRefused,
	}
}

func (t *try) engine() engineClient {
	return t.generation.dispatcher.deps.Endpoints.Engine(t.at.Address)
}
