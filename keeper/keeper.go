// Package keeper decides which declarations are in force at a host, and holds
// them. A file that was accepted is never replaced by an older one:
//
//   - A file is taken if its revision is higher than that in force and if it
//     parses and checks whole. Otherwise the old file stays in force, and
//     [Status] tells why. Another file under a revision that was taken is
//     refused.
//   - A host that has started and has nothing in force first asks its live
//     peers, and the engines that the newest file names for their fencing
//     numbers, which are revisions. Both are bounded in time.
//   - If a newer revision is known from them, the file at hand is held and not
//     taken, however long it lasts: the host isn't ready and goes on looking.
//     Options.AllowOlder is the way out for an operator who has set the
//     platform back on purpose.
//   - A host that starts while the service is stale and neither a peer nor an
//     engine can be reached can't know better, and takes the stale file. It
//     takes a newer one as soon as it hears of it.
//
// # Usage
//
//	k := keeper.New(keeper.DefaultOptions(), time.Now())
//	k.Subscribe(func(previous, next *compiler.Fleet) { ... })
//	actions := k.Handle(keeper.Offered{...}, time.Now())
//	fleet := k.Current() // nil until a file is in force
//
// [State] is the decision alone; [Keeper] adds the pointer that requests read
// and the subscribers.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// Subscriber is called when next comes into force; previous is nil the first
// time. Calls come one after another, in order of revisions. It must be short;
// it may call Handle.
type Subscriber func(previous, next *compiler.Fleet)

// Keeper holds the declarations in force. It is safe for use by several
// goroutines.
type Keeper struct {
	current atomic.Pointer[compiler.Fleet]

	mu          sync.Mutex
	state       *State
	subscribers []Subscriber
	notices     []notice
	notifying   bool // a goroutine calls subscribers
}

// notice is a change that subscribers are still to be told of.
type notice struct {
	previous, next *compiler.Fleet
	subscribers    []Subscriber
}

// New gives the keeper of a host that starts at now.
func New(o Options, now time.Time) *Keeper {
	return &Keeper{state: NewState(o, now)}
}

// Current gives the fleet in force, or nil. It takes no lock.
func (k *Keeper) Current() *compiler.Fleet {
	return k.current.Load()
}

// Subscribe has f called on each change from now on, and for the fleet that
// is in force, if any.
func (k *Keeper) Subscribe(f Subscriber) {
	k.mu.Lock()
	k.subscribers = append(slices.Clone(k.subscribers), f)
	if fleet := k.current.Load(); fleet != nil {
		k.notices = append(k.notices, notice{next: fleet, subscribers: []Subscriber{f}})
	}
	k.mu.Unlock()
	k.notify()
}

// Status tells how far the host is with its declarations.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Status()
}

// Handle tells the state of an event. A fleet that it adopts is in force for
// new requests when Handle returns; subscribers may still be being told, if
// another goroutine tells them. The actions are given for AskFences and for
// the log.
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
			k.notices = append(k.notices, notice{previous: previous, next: adopt.Fleet, subscribers: k.subscribers})
		}
	}
	return actions
}

// notify tells the subscribers of all notices, unless another goroutine, or a
// caller of this one, is about it.
func (k *Keeper) notify() {
	for {
		n, ok := k.nextNotice()
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

func (k *Keeper) nextNotice() (notice, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.notifying || len(k.notices) == 0 {
		return notice{}, false
	}
	n := k.notices[0]
	k.notices = k.notices[1:]
	k.notifying = true
	return n, true
}
