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

// GenerateRequest is a checked request to a model service.
type GenerateRequest struct {
	ID identifier.Request
	// Resendable requests have an id of the caller's, under which it may send
	// them again.
	Resendable bool
	Service    *compiler.Service
	Customer   *compiler.Customer
	Prompt     string
	MaxTokens  identifier.Tokens
	Urgency    compiler.Urgency
	// ReceivedText and ReceivedTokens are what the caller holds of the
	// answer; it goes on behind them.
	ReceivedText   string
	ReceivedTokens identifier.Tokens
}

// Completion closes a whole answer.
type Completion struct {
	Tokens   identifier.Tokens
	Attempts int
}

// Sink passes a chunk to the caller. Its error means that the caller is gone.
type Sink func(Chunk) error

// Generate streams the answer to r into sink.
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
		answer:     newAnswer(r.ReceivedText, r.ReceivedTokens),
		tally:      d.budgets.tally(r.Service),
	}
	err := d.hold(ctx, r.ID, r.Resendable, func(ctx context.Context, ready waiter) error {
		return g.serve(ctx, firstWaiting(ctx, ready, sink))
	})
	d.observe(g, err)
	if err != nil {
		return Completion{}, err
	}
	return Completion{Tokens: g.answer.tokens, Attempts: g.tally.attempts}, nil
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

// generation is one request to a model service on its way.
type generation struct {
	dispatcher *Dispatcher
	request    GenerateRequest
	started    time.Time
	answer     *answer
	tally      tally
	// exclude are the endpoints that failed this request.
	exclude []identifier.Endpoint

	firstToken time.Duration
	firstAt    time.Time
	lastAt     time.Time
	tokens     identifier.Tokens // produced here, without the received ones
}

// serve runs attempts in one goroutine and passes their output on in another,
// so that a slow caller doesn't hold an engine up.
func (g *generation) serve(ctx context.Context, sink Sink) error {
	members := grouper.New(ctx)
	members.Run(func(ctx context.Context) { g.answer.finish(g.run(ctx)) })
	err := g.pass(ctx, sink)
	members.Stop()
	_ = members.Wait() // its members give no error
	return err
}

// pass copies the answer to the sink until it is finished.
func (g *generation) pass(ctx context.Context, sink Sink) error {
	for {
		c, finished, err := g.answer.take()
		if c.Tokens > 0 {
			if sinkErr := sink(c); sinkErr != nil {
				return g.sinkFailure(ctx, sinkErr)
			}
			continue
		}
		if finished {
			return err
		}
		select {
		case <-g.answer.change:
		case <-ctx.Done():
			// The attempt ends at once as well and then finishes the answer.
			<-g.answer.change
		}
	}
}

// sinkFailure says why a chunk was not passed on.
func (g *generation) sinkFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, classifier.VerdictMayHaveRun)
	}
	return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "caller of request %q is gone: %w", g.request.ID, err)
}

// run makes attempts until one succeeds or no more may be made. Generating
// again is always safe: output goes on behind the tokens that were passed on.
func (g *generation) run(ctx context.Context) error {
	for {
		g.tally.attempts++
		err := g.attempt(ctx)
		if err == nil {
			g.tally.succeeded()
			return nil
		}
		if err := g.tally.failed(ctx, err, true); err != nil {
			return err
		}
	}
}

// note times the tokens that came.
func (g *generation) note(n identifier.Tokens) {
	now := time.Now()
	if g.tokens == 0 {
		g.firstToken = now.Sub(g.started)
		g.firstAt = now
	}
	g.tokens += n
	g.lastAt = now
}

func (g *generation) betweenTokens() time.Duration {
	if g.tokens < 2 {
		return 0
	}
	return g.lastAt.Sub(g.firstAt) / time.Duration(g.tokens-1)
}
