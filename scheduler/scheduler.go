// Package scheduler implements the queue of requests that wait for slots. It
// has two priority classes, urgent and patient, with fair sharing between the
// firms of a class.
//
// # Usage
//
//	q := scheduler.New[identifier.Attempt, *ask](scheduler.Policy{FloorShare: 0.1, AgeLimit: time.Minute})
//	q.Push(scheduler.Entry[identifier.Attempt, *ask]{Key: attempt, Value: a, Urgent: true, Expiry: expiry}, now)
//	for head := q.Peek(now, eligible); head != nil; head = q.Peek(now, eligible) {
//		if !place(head.Value) { break }
//		q.Dequeue(head, now)
//	}
//	for e := q.PopExpired(now); e != nil; e = q.PopExpired(now) { refuse(e) }
//
// Urgent entries go before patient ones. While both wait, patient entries get
// at least the floor share of the served cost, and the aged share once the
// oldest of them has waited longer than the age limit. Within an urgency, the
// firm with the lowest served cost is next, and a firm's entries are served in
// order of arrival. Push, Dequeue, Remove and PopExpired take O(log n) time;
// Peek takes O(firms).
package scheduler

import (
	"container/heap"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxCreditEntries bounds the credit of the patient class, in multiples of the
// cost of the patient entry that is next.
const maxCreditEntries = 2

// maxPatientShare bounds the share of patient entries, so that urgent entries
// are always served too.
const maxPatientShare = 0.9

// Policy sets how the urgent and the patient class share the served cost.
type Policy struct {
	// FloorShare is the minimum share of the served cost for patient entries,
	// between 0 and 1.
	FloorShare float64
	// AgedShare replaces a smaller FloorShare while the oldest patient entry
	// has waited for longer than AgeLimit.
	AgedShare float64
	// AgeLimit is the wait after which AgedShare applies; 0: never.
	AgeLimit time.Duration
}

// Entry is a queued request.
type Entry[K comparable, V any] struct {
	Key    K
	Value  V
	Urgent bool
	Firm   identifier.Firm
	// Cost weighs the entry in the shares of firms and urgencies. Any unit
	// works if all entries use the same.
	Cost float64
	// Expiry is when the entry can no longer be served in time; zero: never.
	Expiry time.Time

	arrival   time.Time
	previous  *Entry[K, V]
	next      *Entry[K, V]
	queue     *firmQueue[K, V]
	heapIndex int
}

// Arrival returns the time at which the entry was pushed.
func (e *Entry[K, V]) Arrival() time.Time {
	return e.arrival
}

// Queue is a priority queue with fair sharing between firms. It is not safe
// for concurrent use.
type Queue[K comparable, V any] struct {
	policy  Policy
	urgent  class[K, V]
	patient class[K, V]
	// credit is the cost that patient entries may consume before urgent ones.
	credit float64
	byKey  map[K]*Entry[K, V]
	expiry expiryHeap[K, V]
}

// New returns an empty queue.
func New[K comparable, V any](policy Policy) *Queue[K, V] {
	return &Queue[K, V]{policy: policy, byKey: map[K]*Entry[K, V]{}}
}

// SetPolicy replaces the policy.
func (q *Queue[K, V]) SetPolicy(policy Policy) {
	q.policy = policy
}

// Len returns the number of waiting entries.
func (q *Queue[K, V]) Len() int {
	return len(q.byKey)
}

// LenUrgent returns the number of waiting urgent entries.
func (q *Queue[K, V]) LenUrgent() int {
	return q.urgent.length
}

// LenPatient returns the number of waiting patient entries.
func (q *Queue[K, V]) LenPatient() int {
	return q.patient.length
}

// Has reports whether an entry with the key is queued.
func (q *Queue[K, V]) Has(key K) bool {
	_, ok := q.byKey[key]
	return ok
}

// Push adds an entry; false: the key is already queued.
func (q *Queue[K, V]) Push(e Entry[K, V], now time.Time) bool {
	if q.Has(e.Key) {
		return false
	}
	added := &e
	added.arrival = now
	added.heapIndex = notInHeap
	q.byKey[e.Key] = added
	q.class(added).push(added)
	if !added.Expiry.IsZero() {
		heap.Push(&q.expiry, added)
	}
	return true
}

// Peek returns the entry to serve next among the eligible firms; nil: none. A
// nil eligible accepts all firms.
func (q *Queue[K, V]) Peek(now time.Time, eligible func(firm identifier.Firm, urgent bool) bool) *Entry[K, V] {
	urgent := q.urgent.head(true, eligible)
	patient := q.patient.head(false, eligible)
	switch {
	case urgent == nil:
		return patient
	case patient == nil:
		return urgent
	case q.patientShare(now) > 0 && q.credit >= patient.Cost:
		return patient
	default:
		return urgent
	}
}

// Next returns the entry of the same firm and urgency that arrived after e;
// nil: none.
func (q *Queue[K, V]) Next(e *Entry[K, V]) *Entry[K, V] {
	return e.next
}

// Dequeue removes an entry that Peek or Next returned and counts its cost as
// served.
func (q *Queue[K, V]) Dequeue(e *Entry[K, V], now time.Time) {
	e.queue.servedCost += e.Cost
	if e.Urgent {
		q.creditPatient(e.Cost, now)
	} else {
		q.credit = max(0, q.credit-e.Cost)
	}
	q.drop(e)
}

// creditPatient adds the patient share of a served urgent cost to the credit.
// Without waiting patient entries it resets the credit.
func (q *Queue[K, V]) creditPatient(cost float64, now time.Time) {
	waiting := q.patient.head(false, nil)
	if waiting == nil {
		q.credit = 0
		return
	}
	share := min(maxPatientShare, q.patientShare(now))
	q.credit = min(q.credit+cost*share/(1-share), maxCreditEntries*waiting.Cost)
}

// Remove removes the entry with the key without counting its cost as served.
func (q *Queue[K, V]) Remove(key K) (Entry[K, V], bool) {
	e, ok := q.byKey[key]
	if !ok {
		return Entry[K, V]{}, false
	}
	q.drop(e)
	return *e, true
}

// RemoveWhere removes the entries whose keys match. It scans all entries.
func (q *Queue[K, V]) RemoveWhere(match func(K) bool) {
	for key, e := range q.byKey {
		if match(key) {
			q.drop(e)
		}
	}
}

// PopExpired removes and returns the expired entry with the earliest expiry;
// nil: none has expired.
func (q *Queue[K, V]) PopExpired(now time.Time) *Entry[K, V] {
	if len(q.expiry) == 0 || now.Before(q.expiry[0].Expiry) {
		return nil
	}
	e := q.expiry[0]
	q.drop(e)
	return e
}

// NextExpiry returns the earliest expiry; false: no entry has one.
func (q *Queue[K, V]) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].Expiry, true
}

// NewestPatient returns the firm's most recent patient entry; nil: none.
func (q *Queue[K, V]) NewestPatient(firm identifier.Firm) *Entry[K, V] {
	for _, fq := range q.patient.queues {
		if fq.firm == firm {
			return fq.last
		}
	}
	return nil
}

// patientShare returns the share that applies to patient entries at now.
func (q *Queue[K, V]) patientShare(now time.Time) float64 {
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
	if e.heapIndex != notInHeap {
		heap.Remove(&q.expiry, e.heapIndex)
	}
}
