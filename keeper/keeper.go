// Package keeper selects and stores the declarations that are in force on a
// host. An accepted file is never replaced by an older one:
//
//   - A file is accepted if its revision is higher than the one in force and the
//     whole file parses and validates. Otherwise the current file stays in
//     force, and [Status] reports the reason. A different file under a revision
//     that was already accepted is refused.
//   - A host that has just started and has nothing in force first queries its
//     live peers for their declarations, and the engines listed in the newest
//     file for their fencing numbers, which are revisions. Both queries have a
//     timeout.
//   - If they report a newer revision, the candidate file is held back without
//     a time limit: the host isn't ready and keeps looking for the newer file.
//     Options.AllowOlder overrides this for an operator who has rolled the
//     platform back on purpose.
//   - A host that starts while the service serves a stale file, and that can
//     reach neither a peer nor an engine, can't detect this and accepts the
//     stale file. It switches to a newer file as soon as it receives one.
//
// # Usage
//
//	k := keeper.New(keeper.DefaultOptions(), time.Now())
//	k.Subscribe(func(previous, next *compiler.Fleet) { ... })
//	actions := k.Handle(keeper.Offered{...}, time.Now())
//	fleet := k.Current() // nil until a file is in force
//
// [State] implements the decision logic; [Keeper] adds the pointer that
// requests read and notifies the subscribers.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// Subscriber is called when next comes into force; previous is nil on the first
// call. Calls are sequential and ordered by revision. A subscriber must return
// quickly; it may call Handle.
type Subscriber func(previous, next *compiler.Fleet)

// Keeper holds the declarations in force. It is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[compiler.Fleet]

	mu            sync.Mutex
	state         *State
	subscribers   []Subscriber
	notifications []notification
	notifying     bool // a goroutine is calling subscribers
}

// notification is a change that has not been delivered to its subscribers yet.
type notification struct {
	previous, next *compiler.Fleet
	subscribers    []Subscriber
}

// New returns a Keeper for a host that starts at time now.
func New(o Options, now time.Time) *Keeper {
	return &Keeper{state: NewState(o, now)}
}

// Current returns the fleet in force, or nil. It takes no lock.
func (k *Keeper) Current() *compiler.Fleet {
	return k.current.Load()
}

// Subscribe registers f for all later changes. If a fleet is already in force,
// f is also called for it.
func (k *Keeper) Subscribe(f Subscriber) {
	k.mu.Lock()
	k.subscribers = append(slices.Clone(k.subscribers), f)
	if fleet := k.current.Load(); fleet != nil {
		k.notifications = append(k.notifications, notification{next: fleet, subscribers: []Subscriber{f}})
	}
	k.mu.Unlock()
	k.notify()
}

// Status returns the state of the host's declarations.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Status()
}

// Handle applies an event. A fleet adopted by it is in force for new requests
// when Handle returns, but another goroutine may still be notifying the
// subscribers. The caller must carry out the returned QueryFences actions; the
// others are returned for logging.
func (k *Keeper) Handle(e Event, now time.Time) []Action {
	actions := k.apply(e, now)
	k.notify()
	return actions
}

func (k *Keeper) apply(e Event, now time.Time) []Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	actions := k.state.Apply(e, now)
	for _, a := range actions {
		if adopt, ok := a.(Adopt); ok {
			previous := k.current.Swap(adopt.Fleet)
			k.notifications = append(k.notifications, notification{previous: previous, next: adopt.Fleet, subscribers: k.subscribers})
		}
	}
	return actions
}

// notify delivers all pending notifications. It returns at once if another
// goroutine, or a caller further up this goroutine's stack, is delivering them.
func (k *Keeper) notify() {
	for {
		n, ok := k.nextNotification()
		if !ok {
			return
		}
		for _, f := range n.subscribers {
			f(n.previous, n.next)
		}
		k.mu.Lock()
		k.notifying = false
		k.mu.Unlock()
	}
}

func (k *Keeper) nextNotification() (notification, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.notifying || len(k.notifications) == 0 {
		return notification{}, false
	}
	n := k.notifications[0]
	k.notifications = k.notifications[1:]
	k.notifying = true
	return n, true
}
