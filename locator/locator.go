// Package locator ensures that a request which its caller resends to another
// entry host is answered only once. The host that serves a request is its home;
// after a resend, the host that received the request last becomes the home. Each
// request ID has a directory host, chosen by rendezvous hashing over the live
// entry hosts, which stores the request's home as soft state.
//
// # Usage
//
//	held := l.Hold(request, cancel)
//	defer held.End()
//	...
//	if err := held.Wait(ctx); err != nil { return err } // before the first byte
//
// The previous home's cancel function is called, which closes its call without an
// answer. A host that can't reach the directory answers anyway, on the assumption
// that a network partition also separates the previous home from its caller. A
// directory starts empty after it moves to another host; homes then claim their
// running requests again.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// claimTimeout limits how long the first byte waits for the directory.
	claimTimeout = 250 * time.Millisecond
	sendTimeout  = 2 * time.Second
	// maxDirectoryEntries limits the requests in a directory.
	maxDirectoryEntries = 200_000
)

// ErrTakenOver is the cancellation cause of a request that was received again,
// here or at another host.
var ErrTakenOver = classifier.MayHaveRun(classifier.ReasonTakenOver, 0, "the caller resent the request; a newer call answers it")

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry registers handlers for messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership provides the current view of the entry hosts and its changes.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps are the dependencies of a Locator.
type Deps struct {
	Self    identifier.Incarnation
	Members Membership
	Links   Links
	Group   *grouper.Group
	Log     *zap.Logger
}

// Locator tracks the requests served by this host and holds its directory. It is
// safe for concurrent use.
type Locator struct {
	deps Deps

	mu        sync.Mutex
	requests  map[identifier.Request]*HeldRequest
	directory *Directory
}

// HeldRequest is a request whose home is this host.
type HeldRequest struct {
	locator  *Locator
	request  identifier.Request
	received time.Time
	cancel   context.CancelCauseFunc
	claimed  chan struct{} // closed once the claim succeeded or failed
	// directoryHost is the host that the request was last claimed at, guarded by
	// locator.mu.
	directoryHost identifier.Incarnation
}

// New returns a Locator without requests that follows membership changes.
func New(d Deps) *Locator {
	l := &Locator{
		deps:      d,
		requests:  make(map[identifier.Request]*HeldRequest),
		directory: NewDirectory(maxDirectoryEntries),
	}
	d.Members.Subscribe(l.onViewChange)
	return l
}

// Register registers the handlers for messages from other entry hosts.
func (l *Locator) Register(r Registry) {
	r.Handle(peerwire.KindLocate, l.handleLocate)
	r.Handle(peerwire.KindDrop, l.handleDrop)
}

// Hold makes this host the home of a request. It calls cancel with ErrTakenOver
// when the request is received again, here or at another host.
func (l *Locator) Hold(r identifier.Request, cancel context.CancelCauseFunc) *HeldRequest {
	h := &HeldRequest{locator: l, request: r, received: time.Now(), cancel: cancel, claimed: make(chan struct{})}
	if owner, ok := l.deps.Members.View().FleetOwner(directoryKey(r)); ok {
		h.directoryHost = owner.Incarnation
	}
	l.mu.Lock()
	previous := l.requests[r]
	l.requests[r] = h
	l.mu.Unlock()
	if previous != nil {
		previous.cancel(ErrTakenOver)
	}
	l.deps.Group.Run(func(ctx context.Context) {
		defer close(h.claimed)
		l.claim(ctx, h)
	})
	return h
}

// Wait blocks until the claim has succeeded, after which no earlier home answers
// the request, or has failed. It returns the cancellation cause if ctx has ended.
func (h *HeldRequest) Wait(ctx context.Context) error {
	select {
	case <-h.claimed:
		return context.Cause(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// End marks the request as complete and removes it from its directory.
func (h *HeldRequest) End() {
	l := h.locator
	l.mu.Lock()
	current := l.requests[h.request] == h
	if current {
		delete(l.requests, h.request)
	}
	l.mu.Unlock()
	if current {
		l.deps.Group.Run(func(ctx context.Context) { l.deregister(ctx, h) })
	}
}

// claim registers this host at the request's directory and makes the previous
// home drop the request.
func (l *Locator) claim(ctx context.Context, h *HeldRequest) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := l.reportHome(ctx, h, false)
	if err != nil {
		l.deps.Log.Debug("request-claim-failed", zap.String("request", string(h.request)), zap.Error(err))
		return
	}
	if answer.Replaced {
		h.cancel(ErrTakenOver)
		return
	}
	if answer.Previous != 0 {
		l.sendDrop(ctx, h.request, answer.Previous)
	}
}

// reportHome tells the request's directory that this host is its home or, if
// ended is true, that it no longer is.
func (l *Locator) reportHome(ctx context.Context, h *HeldRequest, ended bool) (ClaimResult, error) {
	owner, ok := l.deps.Members.View().FleetOwner(directoryKey(h.request))
	if !ok || owner.Incarnation == l.deps.Self {
		return l.updateDirectory(h.request, l.deps.Self, h.received, ended), nil
	}
	message := peerwire.LocateRequest{
		Request: string(h.request),
		AgeMs:   uint32(time.Since(h.received).Milliseconds()),
		Ended:   ended,
	}
	if ended {
		return ClaimResult{}, l.deps.Links.Send(ctx, owner.Address, peerwire.KindLocate, &message)
	}
	var reply peerwire.LocateReply
	if err := l.deps.Links.Call(ctx, owner.Address, peerwire.KindLocate, &message, &reply); err != nil {
		return ClaimResult{}, err
	}
	return ClaimResult{Previous: identifier.Incarnation(reply.Previous), Replaced: reply.Replaced}, nil
}

func (l *Locator) deregister(ctx context.Context, h *HeldRequest) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// If this fails, the entry stays until its home dies or claims it again.
	_, _ = l.reportHome(ctx, h, true)
}

// updateDirectory records or removes an entry in this host's directory.
func (l *Locator) updateDirectory(r identifier.Request, home identifier.Incarnation, received time.Time, ended bool) ClaimResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ended {
		l.directory.Remove(r, home)
		return ClaimResult{}
	}
	return l.directory.Claim(r, home, received)
}

// sendDrop tells the previous home to close its call.
func (l *Locator) sendDrop(ctx context.Context, r identifier.Request, home identifier.Incarnation) {
	m, ok := l.deps.Members.View().ByIncarnation(home)
	if !ok {
		return
	}
	if home == l.deps.Self {
		return // Hold has already canceled it
	}
	message := peerwire.Drop{Request: string(r)}
	var done peerwire.Empty
	if err := l.deps.Links.Call(ctx, m.Address, peerwire.KindDrop, &message, &done); err != nil {
		l.deps.Log.Debug("request-drop-failed", zap.String("request", string(r)), zap.Error(err))
	}
}

// directoryKey returns the hash that selects a request's directory host.
func directoryKey(r identifier.Request) uint64 {
	return xxhash.Sum64String(string(r))
}
