// Package scheduler holds the requests that wait for slots, by urgency.
//
// # Usage
//
//	q := scheduler.New[identifier.Attempt, *ask](scheduler.Policy{FloorShare: 0.1, AgeLimit: time.Minute})
//	q.Push(scheduler.Entry[identifier.Attempt, *ask]{Key: attempt, Value: a, Urgent: true, Expiry: expiry}, now)
//	for head := q.Peek(now, lends); head != nil; head = q.Peek(now, lends) {
//		if !place(head.Value) { break }
//		q.Take(head)
//	}
//	for e := q.Expired(now); e != nil; e = q.Expired(now) { refuse(e) }
//
// Urgent entries go before patient ones. Patient entries get at least the
// floor share of the cost taken while both wait, and the aged share once the
// oldest of them has waited longer than the age limit. Within an urgency,
// firms take turns by the cost they took, and a firm's entries go in order of
// arrival. Push, Take, Remove and Expired take O(log n) time; Peek takes
// O(firms).
package scheduler

import (
	"container/heap"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxCredit bounds what patient entries save up, in entries.
const maxCredit = 2

// mostShare bounds the shares of patient entries, so that urgent ones get some.
const mostShare = 0.9

// Policy says how urgencies share.
type Policy struct {
	// FloorShare is the share of cost, between 0 and 1, for patient entries.
	FloorShare float64
	// AgedShare holds instead of FloorShare while the oldest patient entry has
	// waited for longer than AgeLimit.
	AgedShare float64
	// AgeLimit is the wait after which AgedShare holds; 0: never.
	AgeLimit time.Duration
}

// Entry is what waits.
type Entry[K comparable, V any] struct {
	Key    K
	Value  V
	Urgent bool
	Firm   identifier.Firm
	// Cost is what the entry takes, in any unit: it weighs the shares.
	Cost float64
	// Expiry is when the entry can't be served in time any more; zero: never.
	Expiry time.Time

	arrival    time.Time
	previous   *Entry[K, V]
	next       *Entry[K, V]
	lane       *lane[K, V]
	expiryRank int
}

// Arrival is when the entry was pushed.
func (e *Entry[K, V]) Arrival() time.Time {
	return e.arrival
}

// Queue holds the waiting entries. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	policy  Policy
	urgent  class[K, V]
	patient class[K, V]
	credit  float64
	byKey   map[K]*Entry[K, V]
	expiry  expiryHeap[K, V]
}

// New gives an empty queue.
func New[K comparable, V any](policy Policy) *Queue[K, V] {
	return &Queue[K, V]{policy: policy, byKey: map[K]*Entry[K, V]{}}
}

// SetPolicy replaces the policy.
func (q *Queue[K, V]) SetPolicy(policy Policy) {
	q.policy = policy
}

// Len gives the number of waiting entries.
func (q *Queue[K, V]) Len() int {
	return len(q.byKey)
}

// LenUrgent gives the number of waiting urgent entries.
func (q *Queue[K, V]) LenUrgent() int {
	return q.urgent.length
}

// LenPatient gives the number of waiting patient entries.
func (q *Queue[K, V]) LenPatient() int {
	return q.patient.length
}

// Has tells whether an entry with the key waits.
func (q *Queue[K, V]) Has(key K) bool {
	_, ok := q.byKey[key]
	return ok
}

// Push adds an entry; false: one with its key waits already.
func (q *Queue[K, V]) Push(e Entry[K, V], now time.Time) bool {
	if q.Has(e.Key) {
		return false
	}
	added := &e
	added.arrival = now
	added.expiryRank = notRanked
	q.byKey[e.Key] = added
	q.class(added).push(added)
	if !added.Expiry.IsZero() {
		heap.Push(&q.expiry, added)
	}
	return true
}

// Peek gives the entry whose turn it is, among the firms that may take; nil:
// none.
func (q *Queue[K, V]) Peek(now time.Time, may func(firm identifier.Firm, urgent bool) bool) *Entry[K, V] {
	urgent := q.urgent.head(true, may)
	patient := q.patient.head(false, may)
	switch {
	case urgent == nil:
		return patient
	case patient == nil:
		return urgent
	case q.share(now) > 0 && q.credit >= patient.Cost:
		return patient
	default:
		return urgent
	}
}

// After gives the entry of the same firm and urgency that came next; nil: none.
func (q *Queue[K, V]) After(e *Entry[K, V]) *Entry[K, V] {
	return e.next
}

// Take removes an entry that Peek or After gave, because it is served now.
func (q *Queue[K, V]) Take(e *Entry[K, V], now time.Time) {
	e.lane.taken += e.Cost
	if e.Urgent {
		q.save(e.Cost, now)
	} else {
		q.credit = max(0, q.credit-e.Cost)
	}
	q.drop(e)
}

// save credits waiting patient entries with their share of a cost.
func (q *Queue[K, V]) save(cost float64, now time.Time) {
	waiting := q.patient.head(false, nil)
	if waiting == nil {
		q.credit = 0
		return
	}
	share := min(mostShare, q.share(now))
	q.credit = min(q.credit+cost*share/(1-share), maxCredit*waiting.Cost)
}

// Remove drops the entry with the key, because it is not to be served.
func (q *Queue[K, V]) Remove(key K) (Entry[K, V], bool) {
	e, ok := q.byKey[key]
	if !ok {
		return Entry[K, V]{}, false
	}
	q.drop(e)
	return *e, true
}

// RemoveWhere drops the entries whose keys match; it looks at all.
func (q *Queue[K, V]) RemoveWhere(match func(K) bool) {
	for key, e := range q.byKey {
		if match(key) {
			q.drop(e)
		}
	}
}

// Expired removes and gives an entry whose expiry has come; nil: none.
func (q *Queue[K, V]) Expired(now time.Time) *Entry[K, V] {
	if len(q.expiry) == 0 || now.Before(q.expiry[0].Expiry) {
		return nil
	}
	e := q.expiry[0]
	q.drop(e)
	return e
}

// NextExpiry gives the earliest expiry; false: none.
func (q *Queue[K, V]) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].Expiry, true
}

// NewestPatient gives the patient entry of the firm that came last; nil: none.
func (q *Queue[K, V]) NewestPatient(firm identifier.Firm) *Entry[K, V] {
	for _, l := range q.patient.lanes {
		if l.firm == firm {
			return l.last
		}
	}
	return nil
}

func (q *Queue[K, V]) share(now time.Time) float64 {
	if q.policy.AgeLimit <= 0 {
		return q.policy.FloorShare
	}
	oldest, ok := q.patient.oldest()
	if !ok || now.Sub(oldest) <= q.policy.AgeLimit {
		return q.policy.FloorShare
	}
	return max(q.policy.FloorShare, q.policy.AgedShare)
}

func (q *Queue[K, V]) class(e *Entry[K, V]) *class[K, V] {
	if e.Urgent {
		return &q.urgent
	}
	return &q.patient
}

func (q *Queue[K, V]) drop(e *Entry[K, V]) {
	q.class(e).drop(e)
	delete(q.byKey, e.Key)
	if e.expiryRank != notRanked {
		heap.Remove(&q.expiry, e.expiryRank)
	}
}
