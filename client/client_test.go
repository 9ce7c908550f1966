package client_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

type (
	generateStream = connect.ServerStream[callerwire.GenerateResponse]
	generateStep   func(context.Context, *callerwire.GenerateRequest, *generateStream) error
	callStep       func(*callerwire.CallRequest) ([]byte, error)
)

// fakeHost answers the n-th request of each method with the n-th step, and
// repeats the last step after that.
type fakeHost struct {
	callerwireconnect.UnimplementedCallerServiceHandler
	generates []generateStep
	calls     []callStep
	generated []*callerwire.GenerateRequest
	called    []*callerwire.CallRequest
	issued    int
	// hosts records the Host header of each request.
	hosts []string
	// named is the request that responses to calls name; nil for that of the call.
	named *string
}

func (h *fakeHost) Generate(ctx context.Context, r *connect.Request[callerwire.GenerateRequest], s *generateStream) error {
	h.generated = append(h.generated, r.Msg)
	step := h.generates[min(len(h.generated), len(h.generates))-1]
	return step(ctx, r.Msg, s)
}

func (h *fakeHost) Call(_ context.Context, r *connect.Request[callerwire.CallRequest]) (*connect.Response[callerwire.CallResponse], error) {
	h.called = append(h.called, r.Msg)
	step := h.calls[min(len(h.called), len(h.calls))-1]
	payload, err := step(r.Msg)
	if err != nil {
		return nil, converter.ToConnect(err)
	}
	id := r.Msg.GetRequestId()
	if h.named != nil {
		id = *h.named
	}
	return connect.NewResponse(&callerwire.CallResponse{RequestId: id, Payload: payload}), nil
}

func (h *fakeHost) IssueTicket(context.Context, *connect.Request[callerwire.IssueTicketRequest]) (*connect.Response[callerwire.IssueTicketResponse], error) {
	h.issued++
	return connect.NewResponse(&callerwire.IssueTicketResponse{Ticket: fmt.Sprint("issued-", h.issued)}), nil
}

// pipeListener accepts in-memory connections, because synctest's virtual time
// doesn't advance while a goroutine is blocked on real network I/O.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.connections <- far
	return near, nil
}

// newClient serves h at two addresses and returns a client for both.
func newClient(t *testing.T, h *fakeHost, policy client.RetryPolicy) *client.Client {
	t.Helper()
	is := is.New(t)
	_, handler := callerwireconnect.NewCallerServiceHandler(h)
	l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.hosts = append(h.hosts, r.Host)
		handler.ServeHTTP(w, r)
	})}
	g := grouper.New(context.Background())
	g.Run(func(context.Context) { _ = server.Serve(l) })
	transport := &http.Transport{DialContext: l.dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		is.NoErr(server.Close())
		is.NoErr(g.Wait())
	})
	c, err := client.New(client.Options{
		Addresses:  []string{"http://one", "http://two"},
		HTTPClient: &http.Client{Transport: transport},
		Customer:   "dealer",
		Retry:      policy,
		Seed:       1,
	})
	is.NoErr(err)
	return c
}

var policy = client.RetryPolicy{
	MaxAttempts:       4,
	BaseDelay:         50 * time.Millisecond,
	MaxDelay:          time.Second,
	StallTimeout:      5 * time.Second,
	MaxOutcomeFetches: 3,
}

func send(offset, tokens uint32, text string) generateStep {
	return func(_ context.Context, r *callerwire.GenerateRequest, s *generateStream) error {
		return s.Send(&callerwire.GenerateResponse{RequestId: r.GetRequestId(), TokenOffset: offset, Tokens: tokens, Text: text})
	}
}

func complete(total uint32) generateStep {
	return func(_ context.Context, r *callerwire.GenerateRequest, s *generateStream) error {
		return s.Send(&callerwire.GenerateResponse{RequestId: r.GetRequestId(), Completion: &callerwire.Completion{TotalTokens: total, Attempts: 1}})
	}
}

// sendNamed sends a chunk that names a request.
func sendNamed(id string) generateStep {
	return func(_ context.Context, _ *callerwire.GenerateRequest, s *generateStream) error {
		return s.Send(&callerwire.GenerateResponse{RequestId: id, Tokens: 1, Text: "foreign "})
	}
}

func fail(err error) generateStep {
	return func(context.Context, *callerwire.GenerateRequest, *generateStream) error {
		return converter.ToConnect(err)
	}
}

func stall(ctx context.Context, _ *callerwire.GenerateRequest, _ *generateStream) error {
	<-ctx.Done()
	return ctx.Err()
}

func reset(context.Context, *callerwire.GenerateRequest, *generateStream) error {
	panic(http.ErrAbortHandler)
}

func sequence(steps ...generateStep) generateStep {
	return func(ctx context.Context, r *callerwire.GenerateRequest, s *generateStream) error {
		for _, step := range steps {
			if err := step(ctx, r, s); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestGenerateResumes(t *testing.T) {
	finish := sequence(send(2, 2, "c d "), complete(4))
	lost := classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "engine was lost")
	breaks := map[string]generateStep{
		"reset":            sequence(send(0, 2, "a b "), reset),
		"failure":          sequence(send(0, 2, "a b "), fail(lost)),
		"early end":        send(0, 2, "a b "),
		"stall":            sequence(send(0, 2, "a b "), stall),
		"gap":              sequence(send(0, 2, "a b "), send(3, 1, "d "), complete(4)),
		"overlap":          sequence(send(0, 2, "a b "), send(1, 2, "b c "), complete(4)),
		"repeated chunk":   sequence(send(0, 2, "a b "), send(0, 2, "a b "), reset),
		"wrong total":      sequence(send(0, 2, "a b "), complete(4)),
		"text, no token":   sequence(send(0, 2, "a b "), send(2, 0, "c "), complete(4)),
		"late first chunk": sequence(send(2, 2, "c d "), send(0, 2, "a b "), complete(4)),
	}
	for name, broken := range breaks {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				whole := sequence(send(0, 2, "a b "), finish)
				h := &fakeHost{generates: []generateStep{broken, func(ctx context.Context, r *callerwire.GenerateRequest, s *generateStream) error {
					if r.GetReceivedTokens() == 0 {
						return whole(ctx, r, s)
					}
					return finish(ctx, r, s)
				}}}
				text, done, err := generate(t, newClient(t, h, policy))
				is.NoErr(err)
				is.Equal(text, "a b c d ")
				is.Equal(done.TotalTokens, identifier.Tokens(4))
				is.Equal(done.Streams, 2)
				is.Equal(h.generated[0].GetRequestId(), h.generated[1].GetRequestId())
				is.True(h.hosts[0] != h.hosts[1])
				if name != "late first chunk" {
					is.Equal(h.generated[1].GetReceivedText(), "a b ")
					is.Equal(h.generated[1].GetReceivedTokens(), uint32(2))
				}
			})
		})
	}
}

func generate(t *testing.T, c *client.Client) (string, client.Completion, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	text := ""
	done, err := c.Generate(ctx, client.Request{Service: "dealer-desk", Prompt: "copper"}, func(chunk client.Chunk) error {
		text += chunk.Text
		return nil
	})
	return text, done, err
}

func TestGenerateWaitsForRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := classifier.NotRun(classifier.ReasonQueueFull, 3*time.Second, "queue is full")
		h := &fakeHost{generates: []generateStep{fail(full), sequence(send(0, 1, "a "), complete(1))}}
		start := time.Now()
		_, _, err := generate(t, newClient(t, h, policy))
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second)
	})
}

func TestGenerateGivesUp(t *testing.T) {
	full := classifier.NotRun(classifier.ReasonQueueFull, time.Second, "queue is full")
	lost := classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "engine was lost")
	cases := []struct {
		name    string
		steps   []generateStep
		change  func(*client.RetryPolicy)
		streams int
		verdict classifier.Verdict
	}{
		{"unknown service", []generateStep{fail(classifier.NotRun(classifier.ReasonUnknownService, 0, "none"))}, nil, 1, classifier.VerdictNotRun},
		{"no retry-after", []generateStep{fail(classifier.NotRun(classifier.ReasonQueueFull, 0, "full"))}, nil, 1, classifier.VerdictNotRun},
		{"retry-after beyond deadline", []generateStep{fail(classifier.NotRun(classifier.ReasonQueueFull, time.Hour, "full"))}, nil, 1, classifier.VerdictNotRun},
		{"the deadline passed", []generateStep{fail(classifier.NotRun(classifier.ReasonDeadline, 0, "late"))}, nil, 1, classifier.VerdictNotRun},
		{"too late for the targets", []generateStep{fail(classifier.NotRun(classifier.ReasonDeadline, time.Second, "late"))}, nil, 4, classifier.VerdictNotRun},
		{"attempts", []generateStep{fail(full)}, nil, 4, classifier.VerdictNotRun},
		{"an attempt may have run", []generateStep{fail(lost), fail(full)}, nil, 4, classifier.VerdictMayHaveRun},
		{"budget", []generateStep{fail(full)}, func(p *client.RetryPolicy) { p.Capacity = 1 }, 2, classifier.VerdictNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := policy
				if c.change != nil {
					c.change(&p)
				}
				h := &fakeHost{generates: c.steps}
				_, _, err := generate(t, newClient(t, h, p))
				is.Equal(classifier.VerdictOf(err), c.verdict)
				is.Equal(len(h.generated), c.streams)
			})
		})
	}
}

func TestGenerateReturnsHandlerError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{generates: []generateStep{sequence(send(0, 1, "a "), stall)}}
		refused := errors.New("handler failed")
		_, err := newClient(t, h, policy).Generate(t.Context(), client.Request{}, func(client.Chunk) error { return refused })
		is.Equal(err, refused)
		is.Equal(len(h.generated), 1)
	})
}

func TestEndedContextIsNotRun(t *testing.T) {
	is := is.New(t)
	c, err := client.New(client.Options{Addresses: []string{"http://127.0.0.1:1"}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Call(ctx, client.CallRequest{})
	is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
}

func TestOptions(t *testing.T) {
	is := is.New(t)
	_, err := client.New(client.Options{})
	is.True(err != nil)
	_, err = client.New(client.Options{Addresses: []string{"http://a"}, Retry: client.RetryPolicy{Ratio: -1}})
	is.True(err != nil)
}
