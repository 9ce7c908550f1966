// Package replicator keeps a host's copy of the configuration store up to
// date. Few hosts watch the store; the others wait for news at one of those.
// All of them ask random peers besides, which may have news from a store that
// this host can't reach.
//
// # Usage
//
//	r := replicator.Start(replicator.Deps{
//		Store: store, Peers: peers, Apply: registrar.apply, ...,
//	}, replicator.DefaultOptions())
//	if r.Known() { ... }            // there is something to serve from
//	answer := r.Answer(ctx, ask.After, ask.Wait) // for a peer that asks
//
// # Who reads
//
// A host watches the store itself if Deps.Reads says so. The others do so for
// Options.ReadFor whenever the reader gives no answer, or an answer that the
// store has not confirmed for Options.StaleAfter. So the loss of a reader, or
// of its way to the store, costs the others about that much time.
//
// # Deletions around an outage
//
// Items that their writers keep alive lapse while the store is out of reach
// for the writers as well. A deletion that shows up in the first moments after
// an outage is therefore shown to Apply only when the item is still missing
// after Options.DeletionGrace.
package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// ErrHistoryLost says that the store no longer has the changes behind a
// revision: everything has to be listed again.
var ErrHistoryLost = errors.New("store has discarded the changes behind this revision")

// Store is the configuration store; it is only read.
type Store interface {
	// List gives all items.
	List(ctx context.Context) (Changes, error)
	// Watch waits, for at most wait, for changes behind a revision. It gives
	// ErrHistoryLost where they aren't known any more.
	Watch(ctx context.Context, after identifier.Revision, wait time.Duration) (Changes, error)
}

// Peers are the other hosts.
type Peers interface {
	// Ask asks a random one for what happened behind a revision.
	Ask(ctx context.Context, after identifier.Revision) (Changes, error)
	// Follow waits, for at most wait, for what happens behind a revision, at a
	// host that reads the store.
	Follow(ctx context.Context, after identifier.Revision, wait time.Duration) (Changes, error)
}

// Deps is what a Replicator works with.
type Deps struct {
	Store Store
	Peers Peers
	// Reads tells whether this host is one of those that watch the store.
	Reads func() bool
	// Apply is told of the items whenever they have changed, one call at a
	// time.
	Apply func([]Item)
	Timer *timer.Service
	Group *grouper.Group
	Log   *zap.Logger
}

// Options are the periods that a Replicator keeps.
type Options struct {
	// Wait is how long a watch waits at the store for a change.
	Wait time.Duration
	// Timeout is how much longer than that an answer may take.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between failed reads.
	MinBackoff, MaxBackoff time.Duration
	// FollowWait is how long a host waits at another one for news.
	FollowWait time.Duration
	// StaleAfter is the age of the store's confirmation from which a reader's
	// answer is of no use. It has to be longer than Wait.
	StaleAfter time.Duration
	// ReadFor is how long a host reads for itself after that.
	ReadFor time.Duration
	// PeersPeriod is the time between two questions to a peer, and LostPeriod
	// that while the store is out of reach.
	PeersPeriod, LostPeriod time.Duration
	// PeerTimeout bounds a question to a peer.
	PeerTimeout time.Duration
	// OutageAfter is how long no host is in touch with the store before this
	// counts as an outage.
	OutageAfter time.Duration
	// DeletionGrace is how long after an outage deletions are doubted.
	DeletionGrace time.Duration
}

// DefaultOptions suit stores that answer in milliseconds.
func DefaultOptions() Options {
	return Options{
		Wait:          time.Second,
		Timeout:       time.Second,
		MinBackoff:    100 * time.Millisecond,
		MaxBackoff:    1500 * time.Millisecond,
		FollowWait:    700 * time.Millisecond,
		StaleAfter:    1300 * time.Millisecond,
		ReadFor:       4 * time.Second,
		PeersPeriod:   time.Second,
		LostPeriod:    200 * time.Millisecond,
		PeerTimeout:   300 * time.Millisecond,
		OutageAfter:   1500 * time.Millisecond,
		DeletionGrace: 2 * time.Second,
	}
}

// Replicator keeps a Replica up to date. It is safe for use by several
// goroutines.
type Replicator struct {
	deps    Deps
	options Options
	replica *Replica
	asking  atomic.Bool
	// confirmedAt is when the store has last confirmed what is known, in
	// nanoseconds since started.
	confirmedAt atomic.Int64
	started     time.Time
	readUntil   time.Time // belongs to follow

	// doubted is set from a standstill of the host until the next news.
	doubted atomic.Bool

	mu        sync.Mutex
	contact   contact
	deletions map[string]doubt
	interrupt context.CancelFunc // of the present step
}

// doubt is a deleted item that is still shown.
type doubt struct {
	item  Item
	until time.Time
}

// Start starts to read.
func Start(d Deps, o Options) *Replicator {
	r := &Replicator{
		deps:      d,
		options:   o,
		replica:   NewReplica(),
		started:   time.Now(),
		deletions: map[string]doubt{},
		contact:   contact{options: o},
	}
	d.Group.Run(r.follow)
	d.Timer.Every(o.LostPeriod, r.tick)
	return r
}

// Replica gives the copy, for peers that ask.
func (r *Replicator) Replica() *Replica {
	return r.replica
}

// Known tells whether the copy holds anything.
func (r *Replicator) Known() bool {
	return r.replica.Revision() > 0
}

// Connected tells whether the store answers, to this host or another one.
func (r *Replicator) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.contact.lost
}

// Age gives how long ago the store has confirmed what is known.
func (r *Replicator) Age() time.Duration {
	return time.Since(r.started) - time.Duration(r.confirmedAt.Load())
}

// Answer gives a peer what happened behind a revision; it waits for news, for
// at most wait.
func (r *Replicator) Answer(ctx context.Context, after identifier.Revision, wait time.Duration) Changes {
	changed := r.replica.Changed()
	wait = min(wait, r.options.StaleAfter-r.Age())
	if wait > 0 && r.replica.Revision() <= after {
		alarm := time.NewTimer(wait)
		defer alarm.Stop()
		select {
		case <-changed:
		case <-alarm.C:
		case <-ctx.Done():
		}
	}
	c := r.replica.Since(after)
	c.Age = r.Age()
	return c
}

// Doubt takes the confirmation of what is known back by a time in which the
// host stood still, and looks for news at once.
func (r *Replicator) Doubt(stood time.Duration) {
	r.doubted.Store(true)
	r.confirmedAt.Add(-int64(stood))
	r.mu.Lock()
	if r.interrupt != nil {
		r.interrupt() // its connection may be dead
	}
	r.mu.Unlock()
	r.ask()
}

// Doubted tells whether nothing has confirmed what is known since Doubt.
func (r *Replicator) Doubted() bool {
	return r.doubted.Load()
}

// follow keeps the replica up to date for as long as the group lives.
func (r *Replicator) follow(ctx context.Context) {
	backoff := r.options.MinBackoff
	for ctx.Err() == nil {
		err := r.interruptibly(ctx)
		if err == nil {
			backoff = r.options.MinBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if sleeper.Sleep(ctx, backoff/2+rand.N(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, r.options.MaxBackoff)
	}
}

// interruptibly does a step that Doubt can cut short.
func (r *Replicator) interruptibly(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return r.step(ctx)
}

// step waits for news once: at the store, or at a host that reads it.
func (r *Replicator) step(ctx context.Context) error {
	if !r.deps.Reads() && r.Known() && time.Now().After(r.readUntil) {
		if err := r.followReader(ctx); err == nil || ctx.Err() != nil {
			return err
		}
		r.readUntil = time.Now().Add(r.options.ReadFor)
	}
	err := r.read(ctx)
	if err != nil && ctx.Err() == nil {
		r.failed(err)
	}
	return err
}

// errStale says that a reader's answer is of no use.
var errStale = errors.New("the store has not confirmed the reader's knowledge of late")

func (r *Replicator) followReader(ctx context.Context) error {
	after := r.replica.Revision()
	ctx, cancel := context.WithTimeout(ctx, r.options.FollowWait+r.options.PeerTimeout)
	defer cancel()
	changes, err := r.deps.Peers.Follow(ctx, after, r.options.FollowWait)
	if err == nil {
		r.confirmed(changes.Age)
		r.take(changes, "reader")
		if changes.Age >= r.options.StaleAfter {
			err = errStale
		}
	}
	if err != nil {
		r.deps.Log.Info("reader-lost", zap.Duration("knowledge-age", r.Age()), zap.Error(err))
	}
	return err
}

// read lists or watches once. A host that a peer has brought up to date needs
// no listing.
func (r *Replicator) read(ctx context.Context) error {
	after := r.replica.Revision()
	ctx, cancel := context.WithTimeout(ctx, r.options.Wait+r.options.Timeout)
	defer cancel()
	changes, err := r.listOrWatch(ctx, after)
	if err != nil {
		return err
	}
	r.succeeded()
	r.take(changes, "store")
	return nil
}

func (r *Replicator) listOrWatch(ctx context.Context, after identifier.Revision) (Changes, error) {
	if after == 0 {
		return r.deps.Store.List(ctx)
	}
	changes, err := r.deps.Store.Watch(ctx, after, r.options.Wait)
	if errors.Is(err, ErrHistoryLost) {
		r.deps.Log.Info("store-history-lost", zap.Uint64("revision", uint64(after)))
		return r.deps.Store.List(ctx)
	}
	return changes, err
}

// failed notes a read that failed.
func (r *Replicator) failed(err error) {
	r.mu.Lock()
	lostNow := r.contact.failed(time.Now(), r.Age())
	r.mu.Unlock()
	if lostNow {
		r.deps.Log.Warn("store-lost", zap.Uint64("revision", uint64(r.replica.Revision())), zap.Error(err))
	}
}

// succeeded notes an answer of the store.
func (r *Replicator) succeeded() {
	r.noteConfirmed(0)
	r.mu.Lock()
	outage, back := r.contact.succeeded(time.Now())
	r.mu.Unlock()
	r.logBack(outage, back)
}

// confirmed notes a peer's answer that the store had confirmed some time ago.
func (r *Replicator) confirmed(age time.Duration) {
	r.noteConfirmed(age)
	if age >= r.options.StaleAfter {
		return
	}
	r.mu.Lock()
	outage, back := r.contact.confirmed(time.Now())
	r.mu.Unlock()
	r.logBack(outage, back)
}

func (r *Replicator) logBack(outage time.Duration, back bool) {
	if back {
		r.deps.Log.Info("store-back", zap.Duration("outage", outage), zap.Uint64("revision", uint64(r.replica.Revision())))
	}
}

// noteConfirmed notes that the store has confirmed what is known, some time
// ago.
func (r *Replicator) noteConfirmed(age time.Duration) {
	r.doubted.Store(false)
	at := int64(time.Since(r.started) - age)
	for {
		old := r.confirmedAt.Load()
		if old >= at || r.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// take brings the replica up to date and shows what is new.
func (r *Replicator) take(c Changes, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.replica.Apply(c)
	if len(news) == 0 {
		return
	}
	now := time.Now()
	if grace := r.contact.doubtUntil(now); grace.After(now) {
		r.keepDoubted(news, grace)
	}
	r.deps.Log.Info("store-changes-applied",
		zap.String("source", source),
		zap.Uint64("revision", uint64(c.Revision)),
		zap.Bool("whole", c.Whole),
		zap.Int("changes", len(news)),
		zap.Int("doubted", len(r.deletions)))
	r.show(now)
}

// keepDoubted remembers the items whose deletion is doubted; r.mu is held.
func (r *Replicator) keepDoubted(news []Change, until time.Time) {
	for _, c := range news {
		if c.Deleted {
			r.deletions[c.Key] = doubt{item: c.Item, until: until}
		}
	}
}

// show gives the items to Apply, the doubted ones among them; r.mu is held.
func (r *Replicator) show(now time.Time) {
	items := r.replica.Items()
	for _, i := range items {
		delete(r.deletions, i.Key)
	}
	for key, d := range r.deletions {
		if !now.Before(d.until) {
			delete(r.deletions, key)
			continue
		}
		items = append(items, d.item)
	}
	r.deps.Apply(items)
}

// tick drops what has been doubted for long enough, and asks a peer when it
// is time to.
func (r *Replicator) tick(now time.Time) {
	r.mu.Lock()
	expired := 0
	for _, d := range r.deletions {
		if !now.Before(d.until) {
			expired++
		}
	}
	if expired > 0 {
		r.deps.Log.Info("doubted-items-dropped", zap.Int("items", expired))
		r.show(now)
	}
	due := r.contact.askDue(now, r.replica.Revision() == 0)
	r.mu.Unlock()
	if due {
		r.ask()
	}
}

// ask asks one peer, unless a question is under way.
func (r *Replicator) ask() {
	if !r.asking.CompareAndSwap(false, true) {
		return
	}
	r.deps.Group.Run(func(ctx context.Context) {
		defer r.asking.Store(false)
		ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
		defer cancel()
		changes, err := r.deps.Peers.Ask(ctx, r.replica.Revision())
		if err != nil {
			r.deps.Log.Debug("peer-gave-no-changes", zap.Error(err))
			return
		}
		r.confirmed(changes.Age)
		r.take(changes, "peer")
	})
}
