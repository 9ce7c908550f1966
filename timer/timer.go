// Package timer schedules one-shot and periodic callbacks. One goroutine runs
// all callbacks, so a callback must return quickly and start longer work in a
// grouper.Group.
//
// # Usage
//
//	s := timer.New(group)
//	probe := s.Every(time.Second, func(now time.Time) { m.probe(now) })
//	defer probe.Cancel()
//	s.After(50*time.Millisecond, func(now time.Time) { m.suspect(peer) })
//
// Callbacks receive the time at which they run, so that code that decides by
// time needs no clock of its own.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// Callback is called when a subscription is due; now is the time of the call.
type Callback func(now time.Time)

// Service runs the callbacks of its subscriptions when they are due. Create it
// with New. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	queue  dueQueue
	wakeup chan struct{}
}

// Subscription is a scheduled callback, either one-shot or periodic.
type Subscription struct {
	service  *Service
	due      time.Time
	period   time.Duration // 0 if one-shot
	callback Callback
	index    int // position in the queue; -1 if not queued
	canceled bool
}

// New starts a service that runs until g stops.
func New(g *grouper.Group) *Service {
	s := &Service{wakeup: make(chan struct{}, 1)}
	g.Run(s.run)
	return s
}

// After calls f once, after d.
func (s *Service) After(d time.Duration, f Callback) *Subscription {
	return s.subscribe(d, 0, f)
}

// Every calls f once per period, for the first time after one period. Missed
// periods are skipped.
func (s *Service) Every(period time.Duration, f Callback) *Subscription {
	return s.subscribe(period, period, f)
}

// Cancel ends the subscription. It doesn't interrupt or wait for a callback
// that is running.
func (u *Subscription) Cancel() {
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	u.canceled = true
	if u.index >= 0 {
		heap.Remove(&s.queue, u.index)
	}
}

func (s *Service) subscribe(d, period time.Duration, f Callback) *Subscription {
	u := &Subscription{service: s, due: time.Now().Add(d), period: period, callback: f}
	s.mu.Lock()
	heap.Push(&s.queue, u)
	first := s.queue[0] == u
	s.mu.Unlock()
	if first {
		s.wake()
	}
	return u
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *Service) run(ctx context.Context) {
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	for {
		next.Reset(s.runDue())
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-next.C:
		}
	}
}

// runDue runs all callbacks that are due and returns the time until the next
// one.
func (s *Service) runDue() time.Duration {
	for {
		u, wait := s.popDue(time.Now())
		if u == nil {
			return wait
		}
		u.callback(time.Now())
	}
}

func (s *Service) popDue(now time.Time) (u *Subscription, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, time.Hour
	}
	u = s.queue[0]
	if u.due.After(now) {
		return nil, u.due.Sub(now)
	}
	heap.Pop(&s.queue)
	if u.period > 0 && !u.canceled {
		u.due = now.Add(u.period)
		heap.Push(&s.queue, u)
	}
	return u, 0
}
