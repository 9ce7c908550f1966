package dispatcher

import (
	"context"
	"errors"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// TestOutcome checks which outcome is reported to the allocator for each way in
// which an attempt can end.
func TestOutcome(t *testing.T) {
	ended := &attempt{endpoint: &compiler.Endpoint{Name: "decode-1"}}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	fromEngine := func(code connect.Code) error {
		return converter.FromEndpoint(connect.NewWireError(code, errors.New("attempt ended")))
	}
	assertEnding := func(t *testing.T, ctx context.Context, err error, want allocator.Ending) {
		t.Helper()
		is.New(t).Equal(ended.outcome(ctx, err).Ending, want)
	}
	t.Run("a cancellation reported by the endpoint is not an endpoint failure", func(t *testing.T) {
		assertEnding(t, t.Context(), fromEngine(connect.CodeCanceled), allocator.EndingCanceled)
	})
	t.Run("an internal error of the endpoint is an endpoint failure", func(t *testing.T) {
		assertEnding(t, t.Context(), fromEngine(connect.CodeInternal), allocator.EndingFailed)
	})
	t.Run("an endpoint error after the caller's cancellation is not an endpoint failure", func(t *testing.T) {
		assertEnding(t, canceled, fromEngine(connect.CodeInternal), allocator.EndingCanceled)
	})
	t.Run("an attempt without error is done", func(t *testing.T) {
		assertEnding(t, t.Context(), nil, allocator.EndingDone)
	})
}
