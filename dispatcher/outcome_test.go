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

// TestOutcome tells what an attempt's end says of its endpoint.
func TestOutcome(t *testing.T) {
	ended := &try{at: &compiler.Endpoint{Name: "decode-1"}}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	fromEngine := func(code connect.Code) error {
		return converter.FromEndpoint(connect.NewWireError(code, errors.New("attempt ended")))
	}
	assertEnding := func(t *testing.T, ctx context.Context, err error, want allocator.Ending) {
		t.Helper()
		is.New(t).Equal(ended.outcome(ctx, err).Ending, want)
	}
	t.Run("an attempt that was canceled at the endpoint is no failure of it", func(t *testing.T) {
		assertEnding(t, t.Context(), fromEngine(connect.CodeCanceled), allocator.EndingCancelled)
	})
	t.Run("an error of the endpoint is", func(t *testing.T) {
		assertEnding(t, t.Context(), fromEngine(connect.CodeInternal), allocator.EndingFailed)
	})
	t.Run("nothing counts once the caller has left", func(t *testing.T) {
		assertEnding(t, canceled, fromEngine(connect.CodeInternal), allocator.EndingCancelled)
	})
	t.Run("an answer is done", func(t *testing.T) {
		assertEnding(t, t.Context(), nil, allocator.EndingDone)
	})
}
