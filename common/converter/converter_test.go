package converter_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// failingHost fails every call with err.
type failingHost struct {
	callerwireconnect.UnimplementedCallerServiceHandler
	err error
}

func (h *failingHost) Call(context.Context, *connect.Request[callerwire.CallRequest]) (*connect.Response[callerwire.CallResponse], error) {
	return nil, converter.ToConnect(h.err)
}

func (h *failingHost) Generate(context.Context, *connect.Request[callerwire.GenerateRequest], *connect.ServerStream[callerwire.GenerateResponse]) error {
	return converter.ToConnect(h.err)
}

func TestRoundTrip(t *testing.T) {
	failures := []*classifier.Error{
		classifier.NotRun(classifier.ReasonQueueFull, 1500*time.Millisecond, "queue is full"),
		classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "engine was lost"),
		classifier.Ran(classifier.ReasonTicketUsed, "ticket was used"),
		{Verdict: classifier.VerdictNotRun, Reason: classifier.ReasonTicketRequired, Ticket: "t-1", Message: "ticket is required"},
	}
	for _, f := range failures {
		t.Run(string(f.Reason), func(t *testing.T) {
			client := serveCaller(t, &failingHost{err: fmt.Errorf("wrapped: %w", f)})
			_, err := client.Call(t.Context(), connect.NewRequest(&callerwire.CallRequest{}))
			assertFailure(t, converter.FromConnect(err), f)
			stream, err := client.Generate(t.Context(), connect.NewRequest(&callerwire.GenerateRequest{}))
			if err == nil {
				stream.Receive()
				err = stream.Err()
			}
			assertFailure(t, converter.FromConnect(err), f)
		})
	}
}

func TestUnclassifiedErrorMayHaveRun(t *testing.T) {
	is := is.New(t)
	failure := converter.FromConnect(converter.ToConnect(errors.New("unexpected")))
	is.Equal(failure.Verdict, classifier.VerdictMayHaveRun)
	is.Equal(failure.Reason, classifier.ReasonInternal)
	is.True(converter.ToConnect(nil) == nil)
	is.True(converter.FromConnect(nil) == nil)
	is.True(converter.FromEndpoint(nil) == nil)
}

func TestRetryAfterHeader(t *testing.T) {
	is := is.New(t)
	err := converter.ToConnect(classifier.NotRun(classifier.ReasonLimit, 1001*time.Millisecond, "limit"))
	is.Equal(err.Meta().Get("Retry-After"), "2")
	is.Equal(err.Code(), connect.CodeResourceExhausted)
}

func TestUnavailableOnlyWhereNotRun(t *testing.T) {
	is := is.New(t)
	mayHaveRun := classifier.MayHaveRun(classifier.ReasonHostUnreachable, 0, "host was lost")
	is.Equal(converter.CodeOf(mayHaveRun), connect.CodeAborted)
	notRun := classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no host")
	is.Equal(converter.CodeOf(notRun), connect.CodeUnavailable)
}

// TestStatusesPromiseNotRun guards against calls that may have run and were answered with a status of
// HTTP that states the opposite, such as 429.
func TestStatusesPromiseNotRun(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, r := range []classifier.Reason{
		classifier.ReasonQueueFull, classifier.ReasonLimit, classifier.ReasonDeadline, classifier.ReasonCanceled,
		classifier.ReasonNoEndpoint, classifier.ReasonEndpointFailed, classifier.ReasonEndpointRefused,
		classifier.ReasonHostUnreachable, classifier.ReasonStopping, classifier.ReasonNotReady,
		classifier.ReasonTicketUnknown, classifier.ReasonTicketUsed, classifier.ReasonTakenOver,
		classifier.ReasonTooLarge, classifier.ReasonInternal, classifier.ReasonAllocatorUnknown,
		classifier.ReasonQuarantined, classifier.ReasonMemory,
	} {
		for _, err := range []error{classifier.MayHaveRun(r, time.Second, "lost"), classifier.Ran(r, "lost")} {
			t.Run(err.Error(), func(t *testing.T) {
				is := is.New(t)
				w := httptest.NewRecorder()
				request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
				request.Header.Set("Content-Type", "application/json")
				is.NoErr(connect.NewErrorWriter().Write(w, request, converter.ToConnect(err)))
				is.True(!slices.Contains(promises, w.Code))
			})
		}
	}
	t.Run("one that has not run is refused with 429", func(t *testing.T) {
		is.New(t).Equal(converter.CodeOf(classifier.NotRun(classifier.ReasonQueueFull, 0, "full")), connect.CodeResourceExhausted)
	})
}

// failingEngine fails every prefill with err, or by aborting the connection if
// err is nil.
type failingEngine struct {
	enginewireconnect.UnimplementedEngineServiceHandler
	err error
}

func (e *failingEngine) Prefill(context.Context, *connect.Request[enginewire.PrefillRequest]) (*connect.Response[enginewire.PrefillResponse], error) {
	if e.err == nil {
		panic(http.ErrAbortHandler)
	}
	return nil, e.err
}

// brokenClient fails every request like a connection that breaks while the
// response is read.
type brokenClient struct {
	cause error
}

func (c brokenClient) Do(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "read", Net: "tcp", Err: c.cause}
}

func TestFromEndpoint(t *testing.T) {
	refusal := connect.NewError(connect.CodeResourceExhausted, errors.New("full"))
	detail, err := connect.NewErrorDetail(&enginewire.RefusalDetail{Reason: "memory-full"})
	is.New(t).NoErr(err)
	refusal.AddDetail(detail)
	t.Run("refusal", func(t *testing.T) {
		err := prefill(t, serveEngine(t, &failingEngine{err: refusal}))
		assertVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonEndpointRefused)
		reason, ok := converter.Refusal(err)
		is.New(t).True(ok && reason == "memory-full")
	})
	t.Run("error without refusal", func(t *testing.T) {
		plain := connect.NewError(connect.CodeResourceExhausted, errors.New("full"))
		err := prefill(t, serveEngine(t, &failingEngine{err: plain}))
		assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
	})
	t.Run("connection reset", func(t *testing.T) {
		err := prefill(t, serveEngine(t, &failingEngine{}))
		assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
	})
	for _, code := range []connect.Code{connect.CodeCanceled, connect.CodeDeadlineExceeded} {
		t.Run(code.String()+" by the endpoint", func(t *testing.T) {
			err := prefill(t, serveEngine(t, &failingEngine{err: connect.NewError(code, errors.New("attempt ended"))}))
			assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
		})
	}
	for _, cause := range []error{syscall.ECONNRESET, syscall.EPIPE} {
		t.Run(cause.Error(), func(t *testing.T) {
			client := enginewireconnect.NewEngineServiceClient(brokenClient{cause}, "http://127.0.0.1:1")
			_, err := client.Prefill(t.Context(), connect.NewRequest(&enginewire.PrefillRequest{}))
			assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
		})
	}
	for cause, reason := range map[error]classifier.Reason{
		context.Canceled:         classifier.ReasonCanceled,
		context.DeadlineExceeded: classifier.ReasonDeadline,
	} {
		t.Run("local "+cause.Error(), func(t *testing.T) {
			client := enginewireconnect.NewEngineServiceClient(brokenClient{cause}, "http://127.0.0.1:1")
			_, err := client.Prefill(t.Context(), connect.NewRequest(&enginewire.PrefillRequest{}))
			assertVerdict(t, err, classifier.VerdictMayHaveRun, reason)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		err := prefill(t, "http://"+closedAddress(t))
		assertVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonEndpointFailed)
	})
	t.Run("redirect to a closed port", func(t *testing.T) {
		target := "http://" + closedAddress(t)
		server := httptest.NewServer(http.RedirectHandler(target, http.StatusTemporaryRedirect))
		t.Cleanup(server.Close)
		err := prefill(t, server.URL)
		assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
	})
}

// TestStatusesFromInBetween guards against taking a status of a proxy, or the detail of another
// service's failure, for an endpoint's or a host's statement that it has not run a call.
func TestStatusesFromInBetween(t *testing.T) {
	foreign := connect.NewError(connect.CodeUnavailable, errors.New("not run"))
	detail, err := connect.NewErrorDetail(&callerwire.FailureDetail{Verdict: callerwire.Verdict_VERDICT_NOT_RUN, Reason: string(classifier.ReasonStopping)})
	is.New(t).NoErr(err)
	foreign.AddDetail(detail)
	t.Run("a failure of a host, from an endpoint", func(t *testing.T) {
		err := prefill(t, serveEngine(t, &failingEngine{err: foreign}))
		assertVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
	})
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		t.Run(fmt.Sprintf("%d to a host", status), func(t *testing.T) {
			assertVerdict(t, prefill(t, server.URL), classifier.VerdictMayHaveRun, classifier.ReasonEndpointFailed)
		})
		t.Run(fmt.Sprintf("%d to a caller", status), func(t *testing.T) {
			client := callerwireconnect.NewCallerServiceClient(server.Client(), server.URL)
			_, err := client.Call(t.Context(), connect.NewRequest(&callerwire.CallRequest{}))
			is.New(t).Equal(converter.FromConnect(err).Verdict, classifier.VerdictMayHaveRun)
		})
	}
}

func TestCanceledAtEndpoint(t *testing.T) {
	t.Run("by the endpoint", func(t *testing.T) {
		err := prefill(t, serveEngine(t, &failingEngine{err: connect.NewError(connect.CodeCanceled, errors.New("canceled"))}))
		is.New(t).True(converter.CanceledAtEndpoint(err))
		is.New(t).True(converter.CanceledAtEndpoint(converter.FromEndpoint(err)))
	})
	t.Run("by the call's own context", func(t *testing.T) {
		client := enginewireconnect.NewEngineServiceClient(brokenClient{context.Canceled}, "http://127.0.0.1:1")
		_, err := client.Prefill(t.Context(), connect.NewRequest(&enginewire.PrefillRequest{}))
		is.New(t).True(!converter.CanceledAtEndpoint(err))
	})
	t.Run("by a connection reset", func(t *testing.T) {
		err := prefill(t, serveEngine(t, &failingEngine{}))
		is.New(t).True(!converter.CanceledAtEndpoint(err))
	})
}

func assertFailure(t *testing.T, got, want *classifier.Error) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Verdict, want.Verdict)
	is.Equal(got.Reason, want.Reason)
	is.Equal(got.RetryAfter, want.RetryAfter)
	is.Equal(got.Ticket, want.Ticket)
	is.Equal(got.Message, want.Message)
}

func assertVerdict(t *testing.T, err error, v classifier.Verdict, r classifier.Reason) {
	t.Helper()
	is := is.New(t)
	failure := converter.FromEndpoint(err)
	is.Equal(failure.Verdict, v)
	is.Equal(failure.Reason, r)
}

func serveCaller(t *testing.T, h *failingHost) callerwireconnect.CallerServiceClient {
	t.Helper()
	_, handler := callerwireconnect.NewCallerServiceHandler(h)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return callerwireconnect.NewCallerServiceClient(server.Client(), server.URL)
}

func serveEngine(t *testing.T, e *failingEngine) string {
	t.Helper()
	_, handler := enginewireconnect.NewEngineServiceHandler(e)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func prefill(t *testing.T, url string) error {
	t.Helper()
	client := enginewireconnect.NewEngineServiceClient(converter.HTTPClient(http.DefaultTransport), url)
	_, err := client.Prefill(t.Context(), connect.NewRequest(&enginewire.PrefillRequest{}))
	return err
}

func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { is.New(t).NoErr(l.Close()) }()
	return l.Addr().String()
}
