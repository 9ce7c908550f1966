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

// Request asks for a model's answer.
type Request struct {
	// ID stays the same over resends; empty: the client draws one.
	ID        identifier.Request
	Service   identifier.Service
	Prompt    string
	MaxTokens identifier.Tokens
	Urgency   callerwire.Urgency
	// ReceivedText and ReceivedTokens are what the caller holds already of
	// an answer to the same ID; the answer goes on behind it.
	ReceivedText   string
	ReceivedTokens identifier.Tokens
}

// Chunk is a part of an answer. Chunks follow each other without gap.
type Chunk struct {
	// Offset is the index in the whole answer of the chunk's first token.
	Offset identifier.Tokens
	Tokens identifier.Tokens
	Text   string
}

// Completion closes a whole answer.
type Completion struct {
	Request identifier.Request
	// TotalTokens of the whole answer, those received earlier included.
	TotalTokens identifier.Tokens
	// Attempts that the last host needed, and Streams that the client opened.
	Attempts int
	Streams  int
}

// errStalled is the cause with which a stream that stalled is canceled.
var errStalled = errors.New("stream stalled")

// generation is one request on its way to the whole answer.
type generation struct {
	client   *Client
	id       identifier.Request
	request  Request
	handle   func(Chunk) error
	text     strings.Builder
	received identifier.Tokens
	verdict  classifier.Verdict
	// ownErr is the error of handle.
	ownErr error
}

// Generate streams the answer to r into handle, in order and without gap or
// repeat, and gives its completion. A stream that breaks is resumed at another
// host. An error of handle ends the request and is returned.
func (c *Client) Generate(ctx context.Context, r Request, handle func(Chunk) error) (Completion, error) {
	if r.ID == "" {
		r.ID = identifier.NewRequest()
	}
	g := &generation{client: c, id: r.ID, request: r, handle: handle, received: r.ReceivedTokens}
	g.text.WriteString(r.ReceivedText)
	if failure := ended(ctx); failure != nil {
		return Completion{}, failure
	}
	c.budget.earn()
	host := c.firstHost()
	for streams := 1; ; streams++ {
		before := g.received
		completion, failure := g.stream(ctx, host+streams-1)
		switch {
		case g.ownErr != nil:
			return Completion{}, g.ownErr
		case failure == nil:
			completion.Streams = streams
			return completion, nil
		}
		g.verdict = classifier.Worst(g.verdict, failure.Verdict)
		if !c.again(ctx, failure, streams, g.received > before) {
			return Completion{}, joined(failure, g.verdict)
		}
	}
}

// again waits for the next attempt and tells whether there is one. A stream
// that made progress is resumed without a delay.
func (c *Client) again(ctx context.Context, failure *classifier.Error, attempts int, progress bool) bool {
	if ctx.Err() != nil || attempts >= c.policy.MaxAttempts || !retryable(failure) {
		return false
	}
	if !c.budget.spend() {
		return false
	}
	wait := c.jitter(c.policy.delay(attempts))
	if progress {
		wait = 0
	}
	return sleep(ctx, max(wait, failure.RetryAfter)) == nil
}

// stream opens one stream and passes on what is new in it.
func (g *generation) stream(ctx context.Context, host int) (Completion, *classifier.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := g.watch(cancel)
	defer alarm.Stop()
	h := g.client.host(host)
	stream, err := h.Generate(ctx, connect.NewRequest(g.wire()))
	if err != nil {
		return Completion{}, h.streamFailure(ctx, err)
	}
	defer func() {
		cancel(nil)        // else closing would wait for the rest
		_ = stream.Close() // the answer is whole or resumed by then
	}()
	for stream.Receive() {
		alarm.Reset(g.stallTimeout())
		completion, failure := g.receive(stream.Msg())
		if failure != nil {
			return Completion{}, failure
		}
		if completion != nil {
			alarm.Reset(closeTimeout)
			stream.Receive() // the end of the stream frees the connection
			return g.complete(completion), nil
		}
	}
	if err := stream.Err(); err != nil {
		return Completion{}, h.streamFailure(ctx, err)
	}
	return Completion{}, classifier.MayHaveRun(reasonBrokenStream, 0, "stream ended before the answer was whole")
}

// closeTimeout bounds the wait for the end of a stream whose answer is whole.
const closeTimeout = time.Second

// never is a stall timeout that no stream reaches.
const never = 365 * 24 * time.Hour

func (g *generation) stallTimeout() time.Duration {
	if d := g.client.policy.StallTimeout; d > 0 {
		return d
	}
	return never
}

// watch cancels the stream when it stalls.
func (g *generation) watch(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(g.stallTimeout(), func() { cancel(errStalled) })
}

func (h *host) streamFailure(ctx context.Context, err error) *classifier.Error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return classifier.MayHaveRun(reasonBrokenStream, 0, "stream stalled: %w", err)
	}
	return h.failed(ctx, err)
}

// wire gives the message for the next stream.
func (g *generation) wire() *callerwire.GenerateRequest {
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

// receive passes on one message's text if it follows what was received, drops
// it if all of it was received, and fails if there is a gap or an overlap.
func (g *generation) receive(m *callerwire.GenerateResponse) (*callerwire.Completion, *classifier.Error) {
	offset, tokens := identifier.Tokens(m.GetTokenOffset()), identifier.Tokens(m.GetTokens())
	switch {
	case tokens == 0 && m.GetText() == "":
	case tokens == 0:
		return nil, broken("chunk at token %d has text but no tokens", offset)
	case offset == g.received:
		if failure := g.pass(Chunk{Offset: offset, Tokens: tokens, Text: m.GetText()}); failure != nil {
			return nil, failure
		}
	case uint64(offset)+uint64(tokens) <= uint64(g.received):
	default:
		return nil, broken("chunk of %d tokens starts at token %d, want %d", tokens, offset, g.received)
	}
	return g.completed(m.GetCompletion())
}

func (g *generation) completed(c *callerwire.Completion) (*callerwire.Completion, *classifier.Error) {
	if c != nil && identifier.Tokens(c.GetTotalTokens()) != g.received {
		return nil, broken("answer has %d tokens, %d were received", c.GetTotalTokens(), g.received)
	}
	return c, nil
}

func (g *generation) pass(chunk Chunk) *classifier.Error {
	g.text.WriteString(chunk.Text)
	g.received += chunk.Tokens
	if g.ownErr = g.handle(chunk); g.ownErr != nil {
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "chunk was refused: %w", g.ownErr)
	}
	return nil
}

func (g *generation) complete(c *callerwire.Completion) Completion {
	return Completion{
		Request:     g.id,
		TotalTokens: identifier.Tokens(c.GetTotalTokens()),
		Attempts:    int(c.GetAttempts()),
	}
}

func broken(format string, args ...any) *classifier.Error {
	return classifier.MayHaveRun(reasonBrokenStream, 0, format, args...)
}
