// Package locator finds the home of a request that its caller sends again to
// another host, so that only the newer home answers. Each request id has a
// directory host, chosen by rendezvous hashing over the live entry hosts; it
// keeps the request's home as soft state.
//
// # Usage
//
//	held := l.Hold(request, cancel)
//	defer held.End()
//	...
//	if err := held.Wait(ctx); err != nil { return err } // before the first byte
//
// The older home's cancel is called, which closes its call without an answer.
// Hosts that can't reach the directory answer all the same: where the network
// is cut, so is the older home's caller. Directories start empty after a
// change of hosts; homes then claim their running requests again.
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
	// claimTimeout bounds how long a first byte waits for the directory.
	claimTimeout = 250 * time.Millisecond
	sendTimeout  = 2 * time.Second
	// directoryLimit bounds a directory's requests.
	directoryLimit = 200_000
)

// ErrTakenOver is the cause with which a request is canceled whose caller sent
// it again to another host.
var ErrTakenOver = classifier.MayHaveRun(classifier.ReasonTakenOver, 0, "the caller sent the request again; another call of it is answered")

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry takes the handlers of messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership knows the live entry hosts.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps is what a Locator works with.
type Deps struct {
	Self    identifier.Incarnation
	Members Membership
	Links   Links
	Group   *grouper.Group
	Log     *zap.Logger
}

// Locator holds this host's requests and its directory. It is safe for use by
// several goroutines.
type Locator struct {
	deps Deps

	mu        sync.Mutex
	held      map[identifier.Request]*Held
	directory *Directory
}

// Held is a request whose home is this host.
type Held struct {
	locator  *Locator
	request  identifier.Request
	received time.Time
	cancel   context.CancelCauseFunc
	claimed  chan struct{} // closed once the directory answered or failed
	// directory is where the request was claimed; guarded by the locator.
	directory identifier.Incarnation
}

// New gives a Locator without requests.
func New(d Deps) *Locator {
	l := &Locator{
		deps:      d,
		held:      make(map[identifier.Request]*Held),
		directory: NewDirectory(directoryLimit),
	}
	d.Members.Subscribe(l.viewChanged)
	return l
}

// Register sets the handlers of messages from other entry hosts.
func (l *Locator) Register(r Registry) {
	r.Handle(peerwire.KindLocate, l.handleLocate)
	r.Handle(peerwire.KindDrop, l.handleDrop)
}

// Hold makes this host the home of a request. The cancel is called with
// ErrTakenOver when the request is received again, here or elsewhere.
func (l *Locator) Hold(r identifier.Request, cancel context.CancelCauseFunc) *Held {
	h := &Held{locator: l, request: r, received: time.Now(), cancel: cancel, claimed: make(chan struct{})}
	if at, ok := l.deps.Members.View().FleetOwner(directoryKey(r)); ok {
		h.directory = at.Incarnation
	}
	l.mu.Lock()
	older := l.held[r]
	l.held[r] = h
	l.mu.Unlock()
	if older != nil {
		older.cancel(ErrTakenOver)
	}
	l.deps.Group.Run(func(ctx context.Context) {
		defer close(h.claimed)
		l.claim(ctx, h)
	})
	return h
}

// Wait waits until no older home answers the request any more.
func (h *Held) Wait(ctx context.Context) error {
	select {
	case <-h.claimed:
		return context.Cause(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// End says that the request has its final answer.
func (h *Held) End() {
	l := h.locator
	l.mu.Lock()
	current := l.held[h.request] == h
	if current {
		delete(l.held, h.request)
	}
	l.mu.Unlock()
	if current {
		l.deps.Group.Run(func(ctx context.Context) { l.end(ctx, h) })
	}
}

// claim tells the request's directory and has an older home drop the request.
func (l *Locator) claim(ctx context.Context, h *Held) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := l.locate(ctx, h, false)
	if err != nil {
		l.deps.Log.Debug("request-not-located", zap.String("request", string(h.request)), zap.Error(err))
		return
	}
	if answer.Replaced {
		h.cancel(ErrTakenOver)
		return
	}
	if answer.Previous != 0 {
		l.drop(ctx, h.request, answer.Previous)
	}
}

// locate tells the request's directory of its home.
func (l *Locator) locate(ctx context.Context, h *Held, ended bool) (Claim, error) {
	at, ok := l.deps.Members.View().FleetOwner(directoryKey(h.request))
	if !ok || at.Incarnation == l.deps.Self {
		return l.enter(h.request, l.deps.Self, h.received, ended), nil
	}
	message := peerwire.Locate{
		Request: string(h.request),
		AgeMs:   uint32(time.Since(h.received).Milliseconds()),
		Ended:   ended,
	}
	if ended {
		return Claim{}, l.deps.Links.Send(ctx, at.Address, peerwire.KindLocate, &message)
	}
	var answer peerwire.Located
	if err := l.deps.Links.Call(ctx, at.Address, peerwire.KindLocate, &message, &answer); err != nil {
		return Claim{}, err
	}
	return Claim{Previous: identifier.Incarnation(answer.Previous), Replaced: answer.Replaced}, nil
}

func (l *Locator) end(ctx context.Context, h *Held) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// An entry that stays goes when its home dies or claims it again.
	_, _ = l.locate(ctx, h, true)
}

// enter changes this host's directory.
func (l *Locator) enter(r identifier.Request, home identifier.Incarnation, received time.Time, ended bool) Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ended {
		l.directory.End(r, home)
		return Claim{}
	}
	return l.directory.Claim(r, home, received)
}

// drop has the older home close its call.
func (l *Locator) drop(ctx context.Context, r identifier.Request, home identifier.Incarnation) {
	m, ok := l.deps.Members.View().ByIncarnation(home)
	if !ok {
		return
	}
	if home == l.deps.Self {
		return // Hold has canceled it
	}
	message := peerwire.Drop{Request: string(r)}
	var done peerwire.Nothing
	if err := l.deps.Links.Call(ctx, m.Address, peerwire.KindDrop, &message, &done); err != nil {
		l.deps.Log.Debug("request-not-dropped", zap.String("request", string(r)), zap.Error(err))
	}
}

// directoryKey places a request's directory on a host.
func directoryKey(r identifier.Request) uint64 {
	return xxhash.Sum64String(string(r))
}
