package dispatcher

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// GenerateRequest is a validated request to a model service.
type GenerateRequest struct {
	ID identifier.Request
	// Resendable is true if the caller chose the ID, under which it may resend the
	// request.
	Resendable bool
	Service    *compiler.Service
	Customer   *compiler.Customer
	Prompt     string
	MaxTokens  identifier.Tokens
	Urgency    compiler.Urgency
	// ReceivedText and ReceivedTokens are the part of the response that the caller
	// already has. Generation resumes after it.
	ReceivedText   string
	ReceivedTokens identifier.Tokens
}

// Completion summarizes a complete response.
type Completion struct {
	Tokens   identifier.Tokens
	Attempts int
}

// Sink sends a chunk to the caller. An error means that the caller has
// disconnected.
type Sink func(Chunk) error

// Generate streams the response to r into sink.
func (d *Dispatcher) Generate(ctx context.Context, r GenerateRequest, sink Sink) (Completion, error) {
	d.running.Add(1)
	defer d.running.Add(-1)
	started := time.Now()
	if err := d.admit(r.Customer, hasher.CountTokens(r.Prompt)+r.MaxTokens); err != nil {
		d.observe(&generation{request: r, started: started}, err)
		return Completion{}, err
	}
	g := &generation{
		dispatcher: d,
		request:    r,
		started:    started,
		response:   newResponseBuffer(r.ReceivedText, r.ReceivedTokens),
		retries:    d.budgets.newRetryState(r.Service),
		traits:     append(promptTraits(r.Prompt), requestTraits("generate", r.Service, r.Customer, []byte(r.Prompt))...),
	}
	err := d.serveAsHome(ctx, r.ID, r.Resendable, func(ctx context.Context, wait waitFunc) error {
		return g.serve(ctx, delayFirstChunk(ctx, wait, sink))
	})
	d.observe(g, err)
	if err != nil {
		return Completion{}, err
	}
	return Completion{Tokens: g.response.tokens, Attempts: g.retries.attempts}, nil
}

func (d *Dispatcher) observe(g *generation, err error) {
	d.deps.Observer.Observe(Observation{
		Service:       g.request.Service,
		FirstToken:    g.firstToken,
		BetweenTokens: g.betweenTokens(),
		Tokens:        g.tokens,
		Duration:      time.Since(g.started),
		Err:           err,
	})
}

// generation is a request to a model service in progress.
type generation struct {
	dispatcher *Dispatcher
	request    GenerateRequest
	started    time.Time
	response   *responseBuffer
	retries    retryState
	// traits are the leading parts of the prompt, which other prompts may share, and the
	// request as a whole.
	traits []identifier.Trait
	// excluded are the endpoints at which an attempt of this request failed.
	excluded []identifier.Endpoint

	firstToken   time.Duration
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokens       identifier.Tokens // generated for this call, without the received ones
}

// serve runs attempts in one goroutine and forwards their output in another, so
// that a slow caller doesn't block an engine.
func (g *generation) serve(ctx context.Context, sink Sink) error {
	group := grouper.New(ctx)
	group.Run(func(ctx context.Context) { g.response.finish(g.run(ctx)) })
	err := g.forward(ctx, sink)
	group.Stop()
	_ = group.Wait() // the goroutine returns no error
	return err
}

// forward copies the response to the sink until it is finished.
func (g *generation) forward(ctx context.Context, sink Sink) error {
	for {
		c, finished, err := g.response.take()
		if c.Tokens > 0 {
			if sinkErr := sink(c); sinkErr != nil {
				return g.sinkError(ctx, sinkErr)
			}
			continue
		}
		if finished {
			return err
		}
		select {
		case <-g.response.changed:
		case <-ctx.Done():
			// The attempt sees the same context, ends and finishes the response.
			<-g.response.changed
		}
	}
}

// sinkError returns the error for a chunk that could not be sent to the caller.
func (g *generation) sinkError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, classifier.VerdictMayHaveRun)
	}
	return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "caller of request %q disconnected: %w", g.request.ID, err)
}

// run makes attempts until one succeeds or no retry is allowed. Retrying a
// generation is always safe: a new attempt resumes after the tokens that were
// already received.
func (g *generation) run(ctx context.Context) error {
	for {
		g.retries.attempts++
		err := g.attempt(ctx)
		if err == nil {
			g.retries.recordSuccess()
			return nil
		}
		if err := g.retries.handleFailure(ctx, err, true); err != nil {
			return err
		}
	}
}

// recordTokens counts n received tokens and records the time.
func (g *generation) recordTokens(n identifier.Tokens) {
	now := time.Now()
	if g.tokens == 0 {
		g.firstToken = now.Sub(g.started)
		g.firstTokenAt = now
	}
	g.tokens += n
	g.lastTokenAt = now
}

// betweenTokens returns the mean inter-token latency.
func (g *generation) betweenTokens() time.Duration {
	if g.tokens < 2 {
		return 0
	}
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(g.tokens-1)
}
