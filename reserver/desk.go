package reserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// searchPause is the longest wait between two searches for room while
	// nothing is heard of any becoming free.
	searchPause = 30 * time.Millisecond
	// leastSearches is how many requests of a service look for room at once,
	// also while none is found. A larger pool has one for each enginesPerSearch,
	// at most mostSearches.
	leastSearches    = 4
	enginesPerSearch = 4
	mostSearches     = 48
	// absentRetryAfter is when to come back to a service without an engine.
	absentRetryAfter = 250 * time.Millisecond
)

// placed answers a wish.
type placed struct {
	plan Plan
	err  error
}

// waiter is a wish at a desk.
type waiter struct {
	*Wish
	home   identifier.Incarnation
	ask    uint64 // of the home
	answer chan placed
	// gone is set once nobody waits for the answer.
	gone bool
}

// desk finds room for the requests to one service, in the order that the
// admitter gives.
type desk struct {
	reserver *Reserver
	service  identifier.Service

	mu       sync.Mutex
	queue    *admitter.Queue
	waiters  map[admitter.Key]*waiter
	last     admitter.Key
	searches int
	free     chan struct{} // told when room may have become free
	stager   *stager.Stager
	holding  holding
	reading  readingTime
	answers  answerPace
	earmarks *earmarker.Earmarks
}

func newDesk(r *Reserver, s identifier.Service) *desk {
	return &desk{
		reserver: r,
		service:  s,
		queue:    admitter.New(admitter.Options{Seed: r.deps.Seed}),
		waiters:  map[admitter.Key]*waiter{},
		free:     make(chan struct{}, 1),
		stager:   stager.New(),
		earmarks: earmarker.New(),
	}
}

func (d *desk) waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

// place waits for room. Its error is NotRun.
func (d *desk) place(ctx context.Context, home identifier.Incarnation, ask uint64, w *Wish) (Plan, error) {
	a, err := d.enter(home, ask, w)
	if err != nil {
		return Plan{}, err
	}
	select {
	case p := <-a.answer:
		return p.plan, p.err
	case <-ctx.Done():
	}
	d.withdraw(a)
	return Plan{}, classifier.NotRun(classifier.ReasonCanceled, 0, "wait for room at service %q ended: %w", d.service, context.Cause(ctx))
}

func (d *desk) enter(home identifier.Incarnation, ask uint64, w *Wish) (*waiter, error) {
	if err := d.fit(w); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	w.Key = d.last
	w.Wish.Tokens = w.Tokens
	w.OnTimeBy = w.OnTimeBy.Add(-d.reading.delay())
	if retryAfter, ok := d.push(w, time.Now()); !ok {
		d.log("room-refused", w, zap.Duration("expected-wait", d.queue.ExpectedWait()), zap.Duration("retry-after", retryAfter))
		return nil, classifier.NotRun(classifier.ReasonQueueFull, retryAfter, "%d requests to service %q wait, more than can be served in time", d.queue.Len(), d.service)
	}
	a := &waiter{Wish: w, home: home, ask: ask, answer: make(chan placed, 1)}
	d.waiters[w.Key] = a
	d.startSearch()
	return a, nil
}

// fit keeps a wish within an engine's memory. A prompt that is larger fits
// nowhere, and there is no time to come back.
func (d *desk) fit(w *Wish) error {
	memory := traitsOf(d.reserver.deps.Registry.Snapshot(), d.service).Memory
	if memory <= 0 {
		return nil
	}
	if w.Prompt > memory {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "prompt of %d tokens is larger than an engine's memory of %d", w.Prompt, memory)
	}
	w.Tokens = min(w.Tokens, memory)
	return nil
}

// push lets a wish wait, or says when to come back; d.mu is held.
func (d *desk) push(w *Wish, now time.Time) (retryAfter time.Duration, ok bool) {
	if d.queue.Underserved(&w.Wish) && d.spareEarmark() {
		d.queue.Admit(w.Wish)
		return 0, true
	}
	return d.queue.Push(w.Wish, now)
}

// startSearch starts a search unless enough run; d.mu is held.
func (d *desk) startSearch() {
	engines := len(d.reserver.deps.Registry.Snapshot().Endpoints(d.service))
	if d.searches < min(mostSearches, max(leastSearches, engines/enginesPerSearch)) {
		d.searches++
		d.reserver.deps.Group.Run(d.run)
	}
}

// endSearch tells whether a search that found no room is one too many.
func (d *desk) endSearch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.searches <= leastSearches {
		return false
	}
	d.searches--
	return true
}

// withdraw forgets a wish, and gives back room that was found for it.
func (d *desk) withdraw(a *waiter) {
	d.mu.Lock()
	a.gone = true
	d.queue.Remove(a.Key)
	d.earmarks.Release(a.Key)
	delete(d.waiters, a.Key)
	d.mu.Unlock()
	select {
	case p := <-a.answer:
		if p.err == nil {
			d.reserver.GiveBack(p.plan)
		}
	default:
	}
}

// released tells the desk that room may have become free.
func (d *desk) released() {
	select {
	case d.free <- struct{}{}:
	default:
	}
}

// run finds room for one wish after another until none is left.
func (d *desk) run(ctx context.Context) {
	for ctx.Err() == nil {
		a := d.next()
		if a == nil {
			return
		}
		p, err := d.search(ctx, a)
		if err == nil || classifier.Of(err).Reason == classifier.ReasonNoEndpoint {
			d.deliver(a, placed{plan: p, err: err})
			continue
		}
		d.putBack(a)
		if d.endSearch() {
			return
		}
		d.pause(ctx)
	}
}

// next takes out the wish whose turn it is, and refuses those that it is too
// late for; nil: none waits, and the search ends.
func (d *desk) next() *waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, k := range d.queue.Expired(now) {
		err := classifier.NotRun(classifier.ReasonDeadline, d.queue.RetryAfter(now), "no room at service %q in time", d.service)
		d.log("room-refused", d.waiters[k].Wish, zap.Error(err))
		d.waiters[k].answer <- placed{err: err}
		d.earmarks.Release(k)
		delete(d.waiters, k)
	}
	k, ok := d.keptWithRoom(now)
	if !ok && d.spareEarmark() {
		k, ok = d.queue.MostUnderserved()
	}
	if !ok {
		k, ok = d.queue.Next(now)
	}
	if !ok {
		d.searches--
		return nil
	}
	d.queue.Take(k, now)
	return d.waiters[k]
}

// putBack lets a wish wait on for which no room was found.
func (d *desk) putBack(a *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !a.gone {
		d.queue.Return(a.Wish.Wish)
	}
}

// deliver answers a wish; room for one that nobody waits for is given back.
func (d *desk) deliver(a *waiter, p placed) {
	d.mu.Lock()
	gone := a.gone
	if !gone {
		delete(d.waiters, a.Key)
		a.answer <- p
	}
	d.earmarks.Release(a.Key)
	if p.err == nil {
		d.queue.Granted(&a.Wish.Wish, time.Now())
		if d.queue.Len() > 0 {
			d.startSearch()
		}
		d.log("room-given", a.Wish, zap.String("endpoint", string(p.plan.Decode.Name)))
	}
	d.mu.Unlock()
	if gone && p.err == nil {
		d.reserver.GiveBack(p.plan)
	}
}

// log tells of a decision on a wish; d.mu is held.
func (d *desk) log(event string, w *Wish, more ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", string(w.Request)),
		zap.String("service", string(d.service)),
		zap.Duration("age", time.Since(w.Arrived)),
		zap.Uint32("tokens", uint32(w.Tokens)),
		zap.Int("waiting", d.queue.Len()),
	}
	d.reserver.deps.Log.Info(event, append(fields, more...)...)
}

// pause waits until room may have become free, or for a short random time: not
// all requests are placed by this host.
func (d *desk) pause(ctx context.Context) {
	alarm := time.NewTimer(searchPause/2 + rand.N(searchPause/2))
	defer alarm.Stop()
	select {
	case <-d.free:
	case <-alarm.C:
	case <-ctx.Done():
	}
}
