package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/scheduler"
)

var epoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

type queue = scheduler.Queue[int, string]

func newQueue() *queue {
	return scheduler.New[int, string](scheduler.Policy{FloorShare: 0.1, AgedShare: 0.3, AgeLimit: time.Minute})
}

func push(q *queue, key int, urgent bool, firm identifier.Firm) {
	q.Push(scheduler.Entry[int, string]{Key: key, Urgent: urgent, Firm: firm, Cost: 1}, epoch)
}

// servedPatient serves n entries and returns how many of them were patient.
func servedPatient(q *queue, n int, now time.Time) int {
	patient := 0
	for range n {
		e := q.Peek(now, nil)
		if !e.Urgent {
			patient++
		}
		q.Dequeue(e, now)
	}
	return patient
}

func TestQueueOrder(t *testing.T) {
	t.Run("urgent before patient, each by arrival", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		push(q, 1, false, "tamsui")
		push(q, 2, true, "tamsui")
		push(q, 3, true, "tamsui")
		for _, want := range []int{2, 3, 1} {
			e := q.Peek(epoch, nil)
			is.Equal(e.Key, want)
			q.Dequeue(e, epoch)
		}
		is.Equal(q.Len(), 0)
	})
	t.Run("alternates between firms", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		for i := range 4 {
			push(q, i, true, "tamsui")
			push(q, 10+i, true, "snyrtinams")
		}
		taken := map[identifier.Firm]int{}
		for range 4 {
			e := q.Peek(epoch, nil)
			taken[e.Firm]++
			q.Dequeue(e, epoch)
		}
		is.Equal(taken["tamsui"], 2)
		is.Equal(taken["snyrtinams"], 2)
	})
	t.Run("patient entries get the floor share", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		for i := range 1000 {
			push(q, i, true, "")
			push(q, 1000+i, false, "")
		}
		is.Equal(servedPatient(q, 1000, epoch), 100)
	})
	t.Run("patient entries past the age limit get the aged share", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		for i := range 1000 {
			push(q, i, true, "")
			push(q, 1000+i, false, "")
		}
		is.Equal(servedPatient(q, 1000, epoch.Add(2*time.Minute)), 300)
	})
}

func TestQueueTracksEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		waiting := map[int]time.Time{}
		now := epoch
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				expiry := now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
				q.Push(scheduler.Entry[int, string]{
					Key: next, Urgent: rapid.Bool().Draw(t, "urgent"), Cost: 1, Expiry: expiry,
					Firm: rapid.SampledFrom([]identifier.Firm{"a", "b"}).Draw(t, "firm"),
				}, now)
				waiting[next] = expiry
			},
			"take": func(t *rapid.T) {
				e := q.Peek(now, nil)
				if (e == nil) != (len(waiting) == 0) {
					t.Fatalf("%d entries are queued, but Peek returned %v", len(waiting), e)
				}
				if e != nil {
					q.Dequeue(e, now)
					delete(waiting, e.Key)
				}
			},
			"remove": func(t *rapid.T) {
				key := rapid.IntRange(1, max(1, next)).Draw(t, "key")
				_, known := waiting[key]
				if _, ok := q.Remove(key); ok != known {
					t.Fatalf("entry %d: queued %t, removed %t", key, known, ok)
				}
				delete(waiting, key)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "passed")) * time.Second)
				for e := q.PopExpired(now); e != nil; e = q.PopExpired(now) {
					delete(waiting, e.Key)
				}
				for key, expiry := range waiting {
					if !now.Before(expiry) {
						t.Fatalf("entry %d expired but is still queued", key)
					}
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.LenUrgent()+q.LenPatient() != len(waiting) {
					t.Fatalf("queue counts %d entries, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

func BenchmarkQueue(b *testing.B) {
	q := newQueue()
	for i := range 10_000 {
		push(q, i, i%2 == 0, "")
	}
	b.ReportAllocs()
	for i := range b.N {
		push(q, 10_000+i, i%2 == 0, "")
		q.Dequeue(q.Peek(epoch, nil), epoch)
	}
}
