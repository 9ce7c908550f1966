package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// A stream was interrupted if it was moved from a silent engine, which would have gone
// on, to one that failed.
func TestReplacementThatFails(t *testing.T) {
	i := is.New(t)
	url := startEngines(t, zap.NewNop(), sends(silence, firstEvent, lastEvent), fails)
	body, err := io.ReadAll(get(context.Background(), t, url))
	i.NoErr(err)
	i.Equal(string(body), firstEvent+lastEvent)
}

// A stream that was complete was thrown away if its replacement got ready before its
// end was looked at.
func TestEndBesideReplacement(t *testing.T) {
	for n := range 8 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			core, _ := observer.New(zap.InfoLevel)
			// Holds the request's goroutine, as a host that gets no processor time does.
			hold := zap.Hooks(func(e zapcore.Entry) error {
				if e.Message == "stream-stalled" {
					time.Sleep(silence - minStallTimeout + 50*time.Millisecond)
				}
				return nil
			})
			url := startEngines(t, zap.New(core, hold), sends(silence, firstEvent+lastEvent, ""), fails)
			body, err := io.ReadAll(get(context.Background(), t, url))
			i.NoErr(err)
			i.Equal(string(body), firstEvent+lastEvent)
		})
	}
}

// The response of an engine was closed while an error response was still being read
// for a caller who had left. The race detector reports it.
func TestErrorResponseWithoutCaller(t *testing.T) {
	f := newEngineForwarder(t, zap.NewNop(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusInternalServerError)
		sends(5*time.Millisecond, "12345", "12345")(w, nil)
	})
	const callers, requests = 8, 200
	group := grouper.New(context.Background())
	for c := range callers {
		group.Run(func(ctx context.Context) {
			for n := range requests {
				patience := 5*time.Millisecond + time.Duration((7*n+c)%40)*50*time.Microsecond
				ctx, cancel := context.WithTimeout(ctx, patience)
				r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/1", nil)
				r.Host = "test.example"
				f.ServeHTTP(httptest.NewRecorder(), r)
				cancel()
			}
		})
	}
	is.New(t).NoErr(group.Wait())
}

// A complete event was held back until the rest of the next one arrived.
func TestEventBeforePartOfTheNext(t *testing.T) {
	i := is.New(t)
	url := startEngines(t, zap.NewNop(), sends(time.Second, firstEvent+lastEvent[:8], lastEvent[8:]))
	began := time.Now()
	event := make([]byte, len(firstEvent))
	_, err := io.ReadFull(get(context.Background(), t, url), event)
	i.NoErr(err)
	i.Equal(string(event), firstEvent)
	i.True(time.Since(began) < 500*time.Millisecond)
}

func TestReadyResponse(t *testing.T) {
	i := is.New(t)
	failed := &endpointResponse{err: classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "failed")}
	answered := &endpointResponse{status: http.StatusOK}
	responses := make(chan *endpointResponse, 2)
	i.Equal(readyResponse(responses), nil)
	responses <- failed
	responses <- answered
	i.Equal(readyResponse(responses), answered)
}
