package dispatcher

import (
	"context"
	"io"
	"strconv"

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
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// attempt requests slots and runs one attempt: prefill, KV cache transfer and
// decode. After a failure it cancels the attempt at each engine that may still
// hold resources for it.
func (g *generation) attempt(ctx context.Context) error {
	d := g.dispatcher
	if err := d.deps.Isolator.Check(g.traits); err != nil {
		return err
	}
	slots := g.slotRequest()
	grant, err := d.deps.Allocator.Ask(ctx, slots)
	if err != nil {
		d.deps.Log.Debug("slots-not-granted",
			zap.String("request", string(g.request.ID)),
			zap.Stringer("attempt", slots.Attempt),
			zap.Error(err))
		return err
	}
	a := &attempt{generation: g, grant: grant}
	err = a.run(ctx)
	if err != nil {
		err = a.afterPrefill(err)
		a.cancelAtEngines()
		g.excluded = append(g.excluded, a.endpoint.Name)
		d.deps.Log.Debug("attempt-failed",
			zap.String("request", string(g.request.ID)),
			zap.Stringer("attempt", grant.Attempt),
			zap.String("endpoint", string(a.endpoint.Name)),
			zap.Error(err))
	}
	d.deps.Allocator.Release(grant, a.outcome(ctx, err))
	return err
}

func (g *generation) slotRequest() coordinator.SlotRequest {
	_, produced := g.response.progress()
	return coordinator.SlotRequest{
		Service: g.request.Service,
		SlotRequest: allocator.SlotRequest{
			Attempt:      g.dispatcher.newAttempt(),
			Urgency:      g.request.Urgency,
			Firm:         g.request.Customer.Firm,
			PromptTokens: hasher.CountTokens(g.request.Prompt) + produced,
			MaxTokens:    g.request.MaxTokens - min(produced, g.request.MaxTokens),
			Blocks:       hasher.Blocks(g.request.Prompt),
			Exclude:      g.excluded,
			Resumes:      produced > 0,
		},
	}
}

// attempt is one attempt at a generation, with its grant.
type attempt struct {
	generation *generation
	grant      *coordinator.Grant
	// endpoint is the endpoint in use; if the attempt fails, the one that failed.
	endpoint *compiler.Endpoint
	// prefillMayHold and decodeMayHold report whether the prefill and the decode
	// engine may hold resources for the attempt.
	prefillMayHold bool
	decodeMayHold  bool
	// prefilled is set once an engine has run the prefill, a part of the request.
	prefilled bool
	// decoding is the decode at the isolator, and chunks the number received from it.
	decoding *isolator.Call
	chunks   int
}

func (a *attempt) run(ctx context.Context) error {
	a.endpoint = a.grant.Prefill
	if err := sleeper.Sleep(ctx, a.grant.PrefillDelay); err != nil {
		return classifier.NotRun(classifier.ReasonCanceled, 0, "attempt %s was canceled before its prefill: %w", a.grant.Attempt, err)
	}
	prefilled, err := a.prefill(ctx)
	if err != nil {
		return err
	}
	if err := a.generation.dispatcher.deps.Allocator.Bind(ctx, a.grant); err != nil {
		return err
	}
	a.endpoint = a.grant.Decode
	if err := a.transfer(ctx, prefilled); err != nil {
		return err
	}
	return a.decode(ctx)
}

func (a *attempt) prefill(ctx context.Context) (*enginewire.PrefillResponse, error) {
	r := &a.generation.request
	text, tokens := a.generation.response.progress()
	c, err := a.enter(ctx, quarantiner.PhasePrefill)
	if err != nil {
		return nil, err
	}
	a.prefillMayHold = true
	response, err := a.engine().Prefill(ctx, connect.NewRequest(&enginewire.PrefillRequest{
		Attempt:         wireAttempt(a.grant.Attempt),
		Model:           string(r.Service.Model),
		Prompt:          r.Prompt,
		GeneratedText:   text,
		GeneratedTokens: uint32(tokens),
		MaxTokens:       uint32(r.MaxTokens),
		Priority:        wirePriority(r.Urgency),
	}))
	if err != nil {
		err := a.endpointError(err, &a.prefillMayHold)
		c.Settle(ctx, err)
		return nil, err
	}
	c.Prefilled()
	a.prefilled = true
	a.generation.dispatcher.deps.Allocator.Progress(a.grant, allocator.PhasePrefilled)
	return response.Msg, nil
}

func (a *attempt) transfer(ctx context.Context, p *enginewire.PrefillResponse) error {
	r := &a.generation.request
	a.decodeMayHold = true
	_, err := a.engine().Import(ctx, connect.NewRequest(&enginewire.ImportRequest{
		Attempt:          wireAttempt(a.grant.Attempt),
		Model:            string(r.Service.Model),
		Handle:           p.GetHandle(),
		SourceAddress:    string(a.grant.Prefill.Address),
		SourceDataCenter: string(a.grant.Prefill.DataCenter),
		Pieces:           uint32(a.grant.Pieces),
		Priority:         wirePriority(r.Urgency),
	}))
	if err != nil {
		return a.endpointError(err, &a.decodeMayHold)
	}
	a.prefillMayHold = false
	a.generation.dispatcher.deps.Allocator.Progress(a.grant, allocator.PhaseTransferred)
	return nil
}

func (a *attempt) decode(ctx context.Context) error {
	_, offset := a.generation.response.progress()
	c, err := a.enter(ctx, quarantiner.PhaseDecode)
	if err != nil {
		return err
	}
	a.decoding = c
	err = a.receiveAll(ctx, offset)
	c.Settle(ctx, err)
	return err
}

// receiveAll runs the decode from a token offset and receives its stream.
func (a *attempt) receiveAll(ctx context.Context, offset identifier.Tokens) error {
	stream, err := a.engine().Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{
		Attempt:     wireAttempt(a.grant.Attempt),
		TokenOffset: uint32(offset),
	}))
	if err != nil {
		return a.endpointError(err, new(bool))
	}
	defer func() { _ = stream.Close() }() // the outcome is already known
	for stream.Receive() {
		done, err := a.receive(stream.Msg())
		if err != nil || done {
			return err
		}
	}
	err = stream.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return a.endpointError(err, new(bool))
}

// begunChunks is the number of chunks from which on an engine has begun to answer. One
// that the request ends may still have sent the first.
const begunChunks = 2

// enter checks whether a call to the current endpoint may be sent.
func (a *attempt) enter(ctx context.Context, p quarantiner.Phase) (*isolator.Call, error) {
	g := a.generation
	return g.dispatcher.enter(ctx, g.request.Service, a.endpoint, p, g.request.ID, g.traits)
}

// promptTraits returns a trait for each prefix of whole blocks of the prompt, up to
// quarantiner.MaxParts.
func promptTraits(prompt string) []identifier.Trait {
	hashes := hasher.Append(nil, prompt, quarantiner.MaxParts)
	traits := make([]identifier.Trait, len(hashes))
	for n, h := range hashes {
		traits[n] = identifier.Trait(strconv.FormatUint(uint64(h), 16))
	}
	return traits
}

// receive processes one message of the decode stream.
func (a *attempt) receive(m *enginewire.DecodeResponse) (done bool, err error) {
	c := Chunk{
		Offset: identifier.Tokens(m.GetTokenOffset()),
		Tokens: identifier.Tokens(m.GetTokens()),
		Text:   m.GetText(),
	}
	if err := a.generation.response.append(c); err != nil {
		return false, classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "endpoint %q: %w", a.endpoint.Name, err)
	}
	if c.Tokens > 0 {
		a.generation.recordTokens(c.Tokens)
	}
	a.chunks++
	if m.GetDone() {
		a.decodeMayHold = false
	}
	if a.chunks == begunChunks {
		a.decoding.Begun()
	}
	return m.GetDone(), nil
}

// endpointError classifies an error returned by the endpoint. If the attempt is
// proven not to have run there, the endpoint holds no resources for it, and
// mayHold is cleared.
func (a *attempt) endpointError(err error, mayHold *bool) error {
	e := converter.FromEndpoint(err)
	if e.Verdict == classifier.VerdictNotRun {
		*mayHold = false
	}
	e.Message = "endpoint " + string(a.endpoint.Name) + ": " + e.Message
	return e
}

// afterPrefill returns the attempt's error with the verdict of the whole attempt: a refusal of the
// transfer or of the decode says nothing about the prefill before it.
func (a *attempt) afterPrefill(err error) error {
	if !a.prefilled {
		return err
	}
	failure := *classifier.Of(err)
	failure.Verdict = classifier.Worst(failure.Verdict, classifier.VerdictMayHaveRun)
	return &failure
}

// cancelAtEngines cancels the attempt at each engine that may hold resources for
// it. It does not wait.
func (a *attempt) cancelAtEngines() {
	c := a.generation.dispatcher.canceler
	if a.prefillMayHold {
		c.cancel(a.grant.Prefill, a.grant.Attempt)
	}
	if a.decodeMayHold {
		c.cancel(a.grant.Decode, a.grant.Attempt)
	}
}

func (a *attempt) outcome(ctx context.Context, err error) allocator.Outcome {
	if err == nil {
		return allocator.Outcome{Ending: allocator.EndingDone}
	}
	if ctx.Err() != nil || converter.CanceledAtEndpoint(err) {
		return allocator.Outcome{Ending: allocator.EndingCanceled}
	}
	return allocator.Outcome{
		Ending:   allocator.EndingFailed,
		Endpoint: a.endpoint.Name,
		Refused:  classifier.Of(err).Reason == classifier.ReasonEndpointRefused,
	}
}

func (a *attempt) engine() engineClient {
	return a.generation.dispatcher.deps.Endpoints.Engine(a.endpoint.Address)
}
