// Package timer is the service that parts subscribe to for being called at a
// time. One goroutine serves all subscriptions, so a callback must be short
// and hands longer work to a group.
//
// # Usage
//
//	s := timer.New(group)
//	probe := s.Every(time.Second, func(now time.Time) { m.probe(now) })
//	defer probe.Cancel()
//	s.After(50*time.Millisecond, func(now time.Time) { m.suspect(peer) })
//
// Callbacks get the time at which they run, so that decision parts need no
// clock of their own.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// Callback is called when a subscription is due.
type Callback func(now time.Time)

// Service calls its subscribers when they are due. Create it with New.
type Service struct {
	mu     sync.Mutex
	queue  dueQueue
	change chan struct{}
}

// Subscription is one callback, once or repeated.
type Subscription struct {
	service  *Service
	due      time.Time
	period   time.Duration // 0: once
	callback Callback
	index    int // in the queue; -1: not queued
	canceled bool
}

// New starts a service that runs as a member of g.
func New(g *grouper.Group) *Service {
	s := &Service{change: make(chan struct{}, 1)}
	g.Run(s.run)
	return s
}

// After calls f once, after d.
func (s *Service) After(d time.Duration, f Callback) *Subscription {
	return s.subscribe(d, 0, f)
}

// Every calls f each period, first after one period. A period that is missed
// is not made up for.
func (s *Service) Every(period time.Duration, f Callback) *Subscription {
	return s.subscribe(period, period, f)
}

// Cancel ends the subscription; a callback that has begun still completes.
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
	case s.change <- struct{}{}:
	default:
	}
}

func (s *Service) run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(s.callDue())
		select {
		case <-ctx.Done():
			return
		case <-s.change:
		case <-alarm.C:
		}
	}
}

// callDue calls all that are due and gives the time to the next one.
func (s *Service) callDue() time.Duration {
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
