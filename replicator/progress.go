package replicator

import (
	"context"
	"errors"
	"time"
)

const (
	// receivingGap is the longest gap between two parts of an answer of the store that counts as
	// receiving it.
	receivingGap = 400 * time.Millisecond
	// maxReadTime bounds a read of the store, however it progresses.
	maxReadTime = 15 * time.Second
	// maxReceivingAge is the age of the confirmation up to which hosts follow a reader that is receiving
	// an answer.
	maxReceivingAge = 4 * time.Second
)

// errStoreSilent reports that nothing of the store's answer has arrived for too long.
var errStoreSilent = errors.New("nothing of the store's answer has arrived in time")

// progressKey is the key of a context's function that notes progress.
type progressKey struct{}

// ReportProgress notes that a part of the store's answer to a call has arrived. A Store calls it with the
// context of the call, which ends if nothing arrives for too long.
func ReportProgress(ctx context.Context) {
	if note, ok := ctx.Value(progressKey{}).(func()); ok {
		note()
	}
}

// whileProgressing returns a context for a read of the store. It ends if nothing has arrived until
// first, or for ReplyMargin after that. How long an answer takes depends on its size.
func (r *Replicator) whileProgressing(ctx context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	silence := time.AfterFunc(first, func() { cancelCause(errStoreSilent) })
	note := func() {
		silence.Reset(r.options.ReplyMargin)
		r.receivedAt.Store(int64(time.Since(r.started)))
	}
	end := func() {
		silence.Stop()
		r.receivedAt.Store(0)
		cancel()
		cancelCause(nil)
	}
	return context.WithValue(ctx, progressKey{}, note), end
}

// receiving reports whether an answer of the store is arriving.
func (r *Replicator) receiving() bool {
	at := time.Duration(r.receivedAt.Load())
	return at > 0 && time.Since(r.started)-at < receivingGap
}
