// Package budgeter accounts for the memory that a host spends on others: on callers'
// connections, heads and bodies, and on endpoints' answers. It decides who is refused,
// and who is let go of, when that memory is short. It has no clock and no goroutines.
//
// # Usage
//
//	b := budgeter.New(budgeter.Options{Limit: 50 << 20, Reserved: 10 << 20})
//	h := b.Open(budgeter.KindBody, now, func() { interrupt() })
//	defer h.Close()
//	if err := h.Take(length, now); err != nil {
//		return err // errors.Is(err, budgeter.ErrShort)
//	}
//	h.Progress(int64(n), now) // as bytes arrive
//	h.Keep()                  // all have arrived
//
// # Policy
//
// A part of the memory is reserved for small holders, so that ordinary requests are served
// while large ones take the rest; answers may use it too. A Take that finds no room is
// refused, and holders that wait for their caller are let go of: those first that make the
// least progress for what they hold, until there will be room for it. A holder that no
// longer waits is never let go of.
package budgeter

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"
)

// Kind is what a holder's memory is used for. The values appear in metrics.
type Kind string

// The kinds of holders.
const (
	// KindConnection is what the connection of a caller takes.
	KindConnection Kind = "connections"
	// KindHead is a request's head, from its first byte to the end of the request.
	KindHead Kind = "heads"
	// KindBody is a request's body, from its announcement to the end of the request.
	KindBody Kind = "bodies"
	// KindAnswer is the buffered answers of endpoints.
	KindAnswer Kind = "answers"
)

const (
	// SmallBytes is the most that a small holder has.
	SmallBytes = 64 << 10
	// gracePeriod is the time that a holder is given before its progress is judged.
	gracePeriod = time.Second
	// minProgress is the share of its memory, per second, that has to pass for a
	// holder that isn't let go of.
	minProgress = 0.01
	// scanPeriod is the least time between two searches for holders to let go of.
	scanPeriod = 10 * time.Millisecond
)

// ErrShort indicates that there is no room for what should be taken.
var ErrShort = errors.New("memory for requests is short")

// Options configure a Budgeter.
type Options struct {
	// Limit is the memory in bytes for all holders; 0 means that there is no limit.
	Limit int64
	// Reserved is the part of Limit that only small holders may take.
	Reserved int64
}

// Usage is what the holders of a kind have.
type Usage struct {
	// Bytes is the memory that they have, and Peak the most that they have had.
	Bytes int64 `json:"bytes"`
	Peak  int64 `json:"peak"`
	// Refused counts the takes that found no room, and LetGo the holders that were let
	// go of.
	Refused uint64 `json:"refused"`
	LetGo   uint64 `json:"let-go"`
}

// Budgeter is an account of memory. It is safe for concurrent use.
type Budgeter struct {
	options Options

	mu    sync.Mutex
	taken int64
	// leaving is what the holders have that were let go of.
	leaving int64
	kinds   map[Kind]*Usage
	// awaiting are the holders that may be let go of.
	awaiting map[*Holder]struct{}
	scanned  time.Time
	// freed is closed at the next return of memory; nil if nobody waits for it.
	freed chan struct{}
}

// New returns an account from which nothing is taken.
func New(o Options) *Budgeter {
	b := &Budgeter{options: o, kinds: map[Kind]*Usage{}, awaiting: map[*Holder]struct{}{}}
	for _, k := range []Kind{KindConnection, KindHead, KindBody, KindAnswer} {
		b.kinds[k] = &Usage{}
	}
	return b
}

// Holder is who has a part of the memory. It is safe for concurrent use.
type Holder struct {
	account *Budgeter
	kind    Kind
	// letGo interrupts the holder; nil once it can't be let go of.
	letGo func()
	bytes int64
	// leaving is set once the holder was let go of, and closed by Close.
	leaving, closed bool
	// awaited is since when the holder waits for a caller. Since the start of the interval,
	// passed bytes have come or gone.
	awaited, since time.Time
	passed         int64
}

// Open returns a holder that has nothing yet. If letGo isn't nil, the holder waits for a
// caller: letGo is called at most once, and must make the holder close soon. It must neither
// block nor call the account.
func (b *Budgeter) Open(k Kind, now time.Time, letGo func()) *Holder {
	h := &Holder{account: b, kind: k}
	if letGo != nil {
		h.Await(now, letGo)
	}
	return h
}

// Await makes the holder wait for a caller, as Open does: until it has sent, or received,
// what the memory is for.
func (h *Holder) Await(now time.Time, letGo func()) {
	b := h.account
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.options.Limit <= 0 || h.closed {
		return
	}
	h.letGo, h.awaited, h.since, h.passed = letGo, now, now, 0
	b.awaiting[h] = struct{}{}
}

// Take takes n more bytes. It returns ErrShort, and takes nothing, if there is no room,
// or if the holder is closed.
func (h *Holder) Take(n int64, now time.Time) error {
	b := h.account
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return ErrShort
	}
	if missing := b.taken + n - b.room(h.kind, h.bytes+n); missing > 0 {
		b.kinds[h.kind].Refused++
		b.makeRoom(missing-b.leaving, h, now)
		return ErrShort
	}
	b.add(h, n)
	return nil
}

// room returns the memory for all holders that a holder may use who then has n bytes. An
// answer may use all of it, since its request has run.
func (b *Budgeter) room(k Kind, n int64) int64 {
	switch {
	case b.options.Limit <= 0:
		return 1 << 62
	case n > SmallBytes && k != KindAnswer:
		return b.options.Limit - b.options.Reserved
	default:
		return b.options.Limit
	}
}

// add adds n bytes, or returns them if n is negative. The caller holds the lock.
func (b *Budgeter) add(h *Holder, n int64) {
	h.bytes += n
	b.taken += n
	if h.leaving {
		b.leaving += n
	}
	u := b.kinds[h.kind]
	u.Bytes += n
	u.Peak = max(u.Peak, u.Bytes)
	if n < 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// makeRoom lets go of holders, other than h, until the missing bytes will be returned. The
// caller holds the lock.
func (b *Budgeter) makeRoom(missing int64, h *Holder, now time.Time) {
	if missing <= 0 || now.Sub(b.scanned) < scanPeriod {
		return
	}
	b.scanned = now
	var slow []*Holder
	for c := range b.awaiting {
		if c != h && c.bytes > 0 && c.isSlow(now) {
			slow = append(slow, c)
		}
	}
	slices.SortFunc(slow, func(x, y *Holder) int {
		return cmp.Or(cmp.Compare(x.progress(now), y.progress(now)), cmp.Compare(y.bytes, x.bytes))
	})
	for _, c := range slow {
		if missing <= 0 {
			return
		}
		missing -= c.bytes
		b.letGoOf(c)
	}
}

// letGoOf interrupts a holder that waits for its caller. The caller holds the lock.
func (b *Budgeter) letGoOf(h *Holder) {
	b.kinds[h.kind].LetGo++
	if !h.leaving { // it may wait again before it closes
		h.leaving = true
		b.leaving += h.bytes
	}
	letGo := h.letGo
	b.keep(h)
	letGo()
}

// progress returns the share of the holder's memory that passes per second. The caller
// holds the lock.
func (h *Holder) progress(now time.Time) float64 {
	return float64(h.passed) / float64(h.bytes) / now.Sub(h.since).Seconds()
}

func (h *Holder) isSlow(now time.Time) bool {
	return now.Sub(h.awaited) >= gracePeriod && h.progress(now) < minProgress
}

// Progress records that n bytes have come from, or gone to, the caller.
func (h *Holder) Progress(n int64, now time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if age := now.Sub(h.since); age >= gracePeriod { // what passed long ago says little about now
		h.since = now.Add(-gracePeriod / 2)
		h.passed = int64(float64(h.passed) * float64(gracePeriod/2) / float64(age))
	}
	h.passed += n
}

// Keep ends the waiting for the caller: the holder isn't let go of any more.
func (h *Holder) Keep() {
	b := h.account
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(h)
	if h.leaving { // it was let go of, and stays
		h.leaving = false
		b.leaving -= h.bytes
	}
}

// keep is Keep for a caller that holds the lock.
func (b *Budgeter) keep(h *Holder) {
	h.letGo = nil
	delete(b.awaiting, h)
}

// Return returns n bytes of those that the holder has.
func (h *Holder) Return(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, -min(n, h.bytes))
}

// Release returns all memory of the holder, which can be used again.
func (h *Holder) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.release(h)
}

// release is Release for a caller that holds the lock.
func (b *Budgeter) release(h *Holder) {
	b.keep(h)
	if h.bytes > 0 {
		b.add(h, -h.bytes)
	}
	h.leaving = false
}

// Close returns all memory of the holder, which takes no more. It may be called
// repeatedly.
func (h *Holder) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.closed = true
	h.account.release(h)
}

// Bytes returns what the holder has.
func (h *Holder) Bytes() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// Freed returns a channel that is closed when memory is returned next.
func (b *Budgeter) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Stats are an account's use by kind.
type Stats struct {
	Limit    int64          `json:"limit"`
	Reserved int64          `json:"reserved"`
	Bytes    int64          `json:"bytes"`
	Kinds    map[Kind]Usage `json:"kinds"`
}

// Stats returns the current use.
func (b *Budgeter) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Limit: b.options.Limit, Reserved: b.options.Reserved, Bytes: b.taken, Kinds: map[Kind]Usage{}}
	for k, u := range b.kinds {
		s.Kinds[k] = *u
	}
	return s
}
