package client

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// Request describes a request to a model service.
type Request struct {
	// ID identifies the request across retries. If empty, the client generates
	// one.
	ID        identifier.Request
	Service   identifier.Service
	Prompt    string
	MaxTokens identifier.Tokens
	Urgency   callerwire.Urgency
	// ReceivedText and ReceivedTokens are the part of the answer to the same
	// ID that the caller already has. The stream continues after it.
	ReceivedText   string
	ReceivedTokens identifier.Tokens
}

// Chunk is a part of an answer. Chunks are contiguous.
type Chunk struct {
	// Offset is the index of the chunk's first token in the complete answer.
	Offset identifier.Tokens
	Tokens identifier.Tokens
	Text   string
}

// Completion summarizes a complete answer.
type Completion struct {
	Request identifier.Request
	// TotalTokens counts the tokens of the complete answer, including those
	// in Request.ReceivedTokens.
	TotalTokens identifier.Tokens
	// Attempts is the number of attempts that the last host made.
	Attempts int
	// Streams is the number of streams that the client opened.
	Streams int
}

// errStalled is the cancellation cause of a stream that exceeded StallTimeout.
var errStalled = errors.New("stream stalled")

// generation holds the state of a request across its streams.
type generation struct {
	client   *Client
	id       identifier.Request
	request  Request
	handle   func(Chunk) error
	text     strings.Builder
	received identifier.Tokens
	verdict  classifier.Verdict
	// handlerErr is the error returned by handle.
	handlerErr error
}

// Generate passes the chunks of the answer to handle, in order and without gaps
// or duplicates, and returns the completion. A broken stream is resumed on
// another host. If handle returns an error, the request ends with that error.
func (c *Client) Generate(ctx context.Context, r Request, handle func(Chunk) error) (Completion, error) {
	if r.ID == "" {
		r.ID = identifier.NewRequest()
	}
	g := &generation{client: c, id: r.ID, request: r, handle: handle, received: r.ReceivedTokens}
	g.text.WriteString(r.ReceivedText)
	if failure := contextFailure(ctx); failure != nil {
		return Completion{}, failure
	}
	c.budget.deposit()
	host := c.firstHostIndex()
	for streams := 1; ; streams++ {
		receivedBefore := g.received
		completion, failure := g.stream(ctx, host+streams-1)
		switch {
		case g.handlerErr != nil:
			return Completion{}, g.handlerErr
		case failure == nil:
			completion.Streams = streams
			return completion, nil
		}
		g.verdict = classifier.Worst(g.verdict, failure.Verdict)
		if !c.waitForRetry(ctx, failure, streams, g.received > receivedBefore) {
			return Completion{}, withWorstVerdict(failure, g.verdict)
		}
	}
}

// waitForRetry waits until the next attempt is due. It returns false if the
// request must not be retried. A stream that made progress is resumed without
// backoff.
func (c *Client) waitForRetry(ctx context.Context, failure *classifier.Error, attempts int, progress bool) bool {
	if ctx.Err() != nil || attempts >= c.policy.MaxAttempts || !retryable(failure) {
		return false
	}
	if !c.budget.withdraw() {
		return false
	}
	wait := c.jitter(c.policy.backoff(attempts))
	if progress {
		wait = 0
	}
	return sleep(ctx, max(wait, failure.RetryAfter)) == nil
}

// stream opens a stream and delivers the chunks that haven't been received yet.
func (g *generation) stream(ctx context.Context, host int) (Completion, *classifier.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := g.startStallTimer(cancel)
	defer stallTimer.Stop()
	h := g.client.host(host)
	stream, err := h.Generate(ctx, connect.NewRequest(g.streamRequest()))
	if err != nil {
		return Completion{}, h.streamFailure(ctx, err)
	}
	defer func() {
		cancel(nil)        // otherwise Close would drain the rest of the stream
		_ = stream.Close() // irrelevant: the answer is complete or will be resumed
	}()
	for first := true; stream.Receive(); first = false {
		stallTimer.Reset(g.stallTimeout())
		completion, failure := g.receive(stream.Msg(), first)
		if failure != nil {
			return Completion{}, failure
		}
		if completion != nil {
			stallTimer.Reset(closeTimeout)
			stream.Receive() // reading to the end releases the connection for reuse
			return g.completionOf(completion), nil
		}
	}
	if err := stream.Err(); err != nil {
		return Completion{}, h.streamFailure(ctx, err)
	}
	return Completion{}, classifier.MayHaveRun(reasonBrokenStream, 0, "stream ended before the answer was complete")
}

// closeTimeout limits the wait for the end of the stream after the completion.
const closeTimeout = time.Second

// noStallTimeout is used when StallTimeout is 0; no stream lasts that long.
const noStallTimeout = 365 * 24 * time.Hour

func (g *generation) stallTimeout() time.Duration {
	if d := g.client.policy.StallTimeout; d > 0 {
		return d
	}
	return noStallTimeout
}

// startStallTimer starts a timer that cancels the stream once it stalls.
func (g *generation) startStallTimer(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(g.stallTimeout(), func() { cancel(errStalled) })
}

func (h *host) streamFailure(ctx context.Context, err error) *classifier.Error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return classifier.MayHaveRun(reasonBrokenStream, 0, "stream stalled: %w", err)
	}
	return h.recordFailure(ctx, err)
}

// streamRequest returns the message that opens the next stream.
func (g *generation) streamRequest() *callerwire.GenerateRequest {
	return &callerwire.GenerateRequest{
		RequestId:      string(g.id),
		Service:        string(g.request.Service),
		Customer:       string(g.client.customer),
		Prompt:         g.request.Prompt,
		MaxTokens:      uint32(g.request.MaxTokens),
		Urgency:        g.request.Urgency,
		ReceivedText:   g.text.String(),
		ReceivedTokens: uint32(g.received),
	}
}

// receive delivers a message's text if it continues what was received, ignores
// it if it is a duplicate, and fails on a gap or a partial overlap. The first
// message of a stream has to name the request.
func (g *generation) receive(m *callerwire.GenerateResponse, first bool) (*callerwire.Completion, *classifier.Error) {
	if first {
		if failure := checkRequest(m.GetRequestId(), g.id); failure != nil {
			return nil, failure
		}
	}
	offset, tokens := identifier.Tokens(m.GetTokenOffset()), identifier.Tokens(m.GetTokens())
	switch {
	case tokens == 0 && m.GetText() == "":
	case tokens == 0:
		return nil, brokenStreamFailure("chunk at token %d has text but no tokens", offset)
	case offset == g.received:
		if failure := g.deliver(Chunk{Offset: offset, Tokens: tokens, Text: m.GetText()}); failure != nil {
			return nil, failure
		}
	case uint64(offset)+uint64(tokens) <= uint64(g.received):
	default:
		return nil, brokenStreamFailure("chunk of %d tokens starts at token %d, want %d", tokens, offset, g.received)
	}
	return g.checkCompletion(m.GetCompletion())
}

func (g *generation) checkCompletion(c *callerwire.Completion) (*callerwire.Completion, *classifier.Error) {
	if c != nil && identifier.Tokens(c.GetTotalTokens()) != g.received {
		return nil, brokenStreamFailure("completion reports %d tokens, %d were received", c.GetTotalTokens(), g.received)
	}
	return c, nil
}

func (g *generation) deliver(chunk Chunk) *classifier.Error {
	g.text.WriteString(chunk.Text)
	g.received += chunk.Tokens
	if g.handlerErr = g.handle(chunk); g.handlerErr != nil {
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "chunk handler failed: %w", g.handlerErr)
	}
	return nil
}

func (g *generation) completionOf(c *callerwire.Completion) Completion {
	return Completion{
		Request:     g.id,
		TotalTokens: identifier.Tokens(c.GetTotalTokens()),
		Attempts:    int(c.GetAttempts()),
	}
}

func brokenStreamFailure(format string, args ...any) *classifier.Error {
	return classifier.MayHaveRun(reasonBrokenStream, 0, format, args...)
}
