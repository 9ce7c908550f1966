package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// rankedEntry returns an entry with a priority.
func rankedEntry(k admitter.Key, priority int, arrived time.Duration) admitter.Entry {
	e := entry(k, arrived)
	e.Priority = priority
	return e
}

// measure grants requests of no customer at an interval, while others wait. It ends at
// the returned time.
func measure(q *admitter.Queue, interval time.Duration) time.Duration {
	const grants = 40
	now := time.Duration(0)
	for n := range grants {
		now = time.Duration(n) * interval
		q.Admit(entry(admitter.Key(9000+n), now))
		e := entry(admitter.Key(8000+n), now)
		q.RecordGrant(&e, at(now))
		q.Remove(admitter.Key(9000 + n - 1))
	}
	q.Remove(9000 + grants - 1)
	return now
}

func checkNext(t *testing.T, q *admitter.Queue, now time.Duration, want admitter.Key) {
	t.Helper()
	i := is.New(t)
	k, ok := q.Next(at(now))
	i.True(ok)
	i.Equal(k, want)
}

// TestMixedPriorities is about a burst in which urgent requests have become late while
// patient ones are still on time.
func TestMixedPriorities(t *testing.T) {
	late := func() *admitter.Queue {
		q := admitter.New(admitter.Options{})
		q.Admit(rankedEntry(1, 2, 0))
		urgent := rankedEntry(2, 0, 0)
		patient := rankedEntry(3, 2, 0)
		patient.LatestOnTimeStart = at(12 * time.Second)
		patient.LatestStart = at(14 * time.Second)
		q.Admit(urgent)
		q.Admit(patient)
		return q
	}
	t.Run("a late urgent request waits for on-time ones", func(t *testing.T) {
		checkNext(t, late(), time.Second, 3)
	})
	t.Run("it goes first before it is lost", func(t *testing.T) {
		checkNext(t, late(), 9900*time.Millisecond, 2)
	})
	t.Run("late requests go by priority", func(t *testing.T) {
		q := late()
		q.Remove(3)
		checkNext(t, q, time.Second, 2)
	})
}

func TestSlackAndWork(t *testing.T) {
	t.Run("the request that has to start soonest goes first", func(t *testing.T) {
		q := admitter.New(admitter.Options{})
		patient := entry(1, 0)
		patient.LatestOnTimeStart = at(2 * time.Second)
		q.Admit(patient)
		q.Admit(entry(2, 100*time.Millisecond))
		checkNext(t, q, 100*time.Millisecond, 2)
	})
	t.Run("the least work goes first among equals", func(t *testing.T) {
		q := admitter.New(admitter.Options{})
		long, short := entry(1, 0), entry(2, time.Millisecond)
		long.Work, short.Work = time.Second, 100*time.Millisecond
		q.Admit(long)
		q.Admit(short)
		checkNext(t, q, 2*time.Millisecond, 2)
	})
	t.Run("what has been spent goes before slack", func(t *testing.T) {
		q := admitter.New(admitter.Options{})
		begun := entry(2, time.Millisecond)
		begun.Spent = 300 * time.Millisecond
		q.Admit(entry(1, 0))
		q.Admit(begun)
		checkNext(t, q, 2*time.Millisecond, 2)
	})
}

// TestDisplacement is about urgent requests that arrive at a full queue.
func TestDisplacement(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		patients = 30
	)
	full := func() (*admitter.Queue, time.Duration) {
		q := admitter.New(admitter.Options{})
		now := measure(q, interval)
		for k := range admitter.Key(patients) {
			e := rankedEntry(100+k, 1, now)
			e.LatestOnTimeStart = at(now + 3*time.Second)
			e.LatestStart = at(now + 3100*time.Millisecond)
			_, ok := q.Push(e, at(now))
			is.New(t).True(ok)
		}
		return q, now
	}
	t.Run("no request is rejected that fits", func(t *testing.T) {
		q, now := full()
		is.New(t).Equal(len(q.Reject(at(now))), 0)
	})
	t.Run("the last patient ones are told at once", func(t *testing.T) {
		i := is.New(t)
		q, now := full()
		for k := range admitter.Key(5) {
			_, ok := q.Push(rankedEntry(200+k, 0, now+time.Millisecond), at(now+time.Millisecond))
			i.True(ok)
		}
		rejected := q.Reject(at(now + time.Millisecond))
		i.True(len(rejected) > 0 && len(rejected) <= 5)
		for _, r := range rejected {
			i.Equal(r.Entry.Priority, 1)
			i.True(r.DisplacedBy >= 200)
			i.True(r.RetryAfter > 0)
		}
	})
	t.Run("patient ones that no longer fit are rejected on arrival", func(t *testing.T) {
		i := is.New(t)
		q, now := full()
		rejected := 0
		for k := range admitter.Key(10) {
			e := rankedEntry(300+k, 1, now)
			e.LatestOnTimeStart = at(now + 3*time.Second)
			e.LatestStart = at(now + 3100*time.Millisecond)
			if _, ok := q.Push(e, at(now)); !ok {
				rejected++
			}
		}
		i.True(rejected >= 8)
		i.Equal(q.Len(), patients+10-rejected)
	})
	t.Run("nothing is rejected before grants were measured", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		for k := range admitter.Key(1000) {
			_, ok := q.Push(rankedEntry(k, int(k%3), 0), at(0))
			i.True(ok)
		}
		i.Equal(len(q.Reject(at(0))), 0)
	})
}

// TestReturns is about callers that come back after a rejection.
func TestReturns(t *testing.T) {
	const fingerprint = 77
	rejected := func() (q *admitter.Queue, told time.Duration) {
		q = admitter.New(admitter.Options{})
		e := entry(1, 0)
		e.Fingerprint = fingerprint
		e.Deadline = at(30 * time.Second)
		q.Admit(e)
		r := q.Reject(e.LatestStart)
		is.New(t).Equal(len(r), 1)
		return q, 10*time.Second + r[0].RetryAfter
	}
	returned := func(q *admitter.Queue, now time.Duration) admitter.Entry {
		other := entry(2, now-time.Millisecond)
		other.LatestOnTimeStart = at(now - time.Millisecond)
		q.Admit(other)
		e := entry(3, now)
		e.Fingerprint = fingerprint
		q.Recognize(&e, at(now))
		q.Admit(e)
		return e
	}
	t.Run("they go before others of their rank", func(t *testing.T) {
		i := is.New(t)
		q, told := rejected()
		i.True(returned(q, told).Returning)
		checkNext(t, q, told, 3)
	})
	t.Run("their objective counts from the first attempt", func(t *testing.T) {
		i := is.New(t)
		q, told := rejected()
		i.Equal(returned(q, told).LatestOnTimeStart, at(500*time.Millisecond))
	})
	t.Run("those that come early gain nothing", func(t *testing.T) {
		i := is.New(t)
		q, told := rejected()
		early := returned(q, told-20*time.Millisecond)
		i.True(!early.Returning)
		i.Equal(early.LatestOnTimeStart, at(told+480*time.Millisecond))
	})
	t.Run("a second rejection is counted", func(t *testing.T) {
		i := is.New(t)
		q, told := rejected()
		e := returned(q, told)
		q.Reject(e.LatestStart)
		i.Equal(q.Statistics()[admitter.Group{}].RefusedAgain, uint64(1))
	})
	t.Run("urgent callers are told shorter times", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		now := measure(q, 100*time.Millisecond)
		for k := range admitter.Key(20) {
			q.Admit(rankedEntry(k, 1, now))
		}
		reject := func(k admitter.Key, priority int) time.Duration {
			e := rankedEntry(k, priority, now)
			e.LatestStart = at(now)
			q.Admit(e)
			for _, r := range q.Reject(at(now)) {
				if r.Entry.Key == k {
					return r.RetryAfter
				}
			}
			return 0
		}
		patient, urgent := reject(100, 1), reject(101, 0)
		i.True(urgent > 0 && urgent < patient)
	})
	t.Run("the time is not before the request was expected to start", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		now := measure(q, 100*time.Millisecond)
		for k := range admitter.Key(100) {
			q.Admit(entry(k, now))
		}
		e := entry(101, now)
		e.LatestStart = at(now + time.Second)
		retryAfter, ok := q.Push(e, at(now))
		i.True(!ok)
		i.True(retryAfter >= 4*time.Second) // 100 grants, less the jitter
	})
	t.Run("no caller is told more than it waits", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		now := measure(q, time.Second)
		for k := range admitter.Key(20) {
			q.Admit(entry(k, now))
		}
		e := entry(100, now)
		e.LatestStart, e.Deadline = at(now), at(now+3*time.Second)
		retryAfter, ok := q.Push(e, at(now+time.Millisecond))
		i.True(!ok)
		i.True(retryAfter <= time.Second)
	})
}

// TestShares is about a customer that sends seven times as much as another, at twice the
// capacity.
func TestShares(t *testing.T) {
	const (
		service = 10 * time.Millisecond
		rounds  = 2000
		heavy   = identifier.Customer("heavy")
		light   = identifier.Customer("light")
	)
	play := func(heavyName, lightName identifier.Customer) (grants, asked map[bool]int) {
		q := admitter.New(admitter.Options{})
		grants, asked = map[bool]int{}, map[bool]int{}
		key := admitter.Key(0)
		push := func(name identifier.Customer, isLight bool, now time.Duration) {
			key += 2
			e := entry(key, now)
			if isLight {
				e.Key++
			}
			e.Customer = name
			asked[isLight]++
			q.Push(e, at(now))
		}
		for n := range rounds {
			now := time.Duration(n) * service
			push(heavyName, false, now)
			if n%4 != 0 { // 7 to 1 in all
				push(heavyName, false, now)
			} else {
				push(lightName, true, now)
			}
			q.Reject(at(now))
			grants[grantNext(t, q, now)%2 == 1]++
		}
		return grants, asked
	}
	t.Run("the other customer gets what it asks for", func(t *testing.T) {
		grants, asked := play(heavy, light)
		is.New(t).True(float64(grants[true]) >= 0.95*float64(asked[true]))
	})
	t.Run("the heavy customer gets all that is left", func(t *testing.T) {
		grants, _ := play(heavy, light)
		is.New(t).Equal(grants[true]+grants[false], rounds)
	})
	t.Run("without customers, the order is as before", func(t *testing.T) {
		grants, asked := play("", "")
		is.New(t).True(float64(grants[true]) < 0.8*float64(asked[true]))
	})
	t.Run("customers without number are bounded", func(t *testing.T) {
		i := is.New(t)
		q := admitter.New(admitter.Options{})
		for n := range 10_000 {
			e := entry(admitter.Key(n), 0)
			e.Customer = identifier.Customer(fmt.Sprint(n))
			q.RecordGrant(&e, at(0))
		}
		i.True(len(q.Statistics()) < 200)
	})
}

// TestPatientWorkCompletes is about urgent requests that alone exceed the capacity.
func TestPatientWorkCompletes(t *testing.T) {
	const maxTurns = 120
	q := admitter.New(admitter.Options{})
	patient := rankedEntry(1, 5, 0)
	patient.LatestStart = at(time.Hour)
	q.Admit(patient)
	turns := 0
	for k := admitter.Key(2); turns < 2*maxTurns; k += 2 {
		now := 600*time.Millisecond + time.Duration(k)*10*time.Millisecond
		q.Admit(rankedEntry(k, 0, now))
		q.Admit(rankedEntry(k+1, 0, now))
		q.Reject(at(now))
		turns++
		if grantNext(t, q, now) == 1 {
			break
		}
	}
	is.New(t).True(turns <= maxTurns)
}

// drawEntry draws a request.
func drawEntry(t *rapid.T, k admitter.Key, now time.Duration) admitter.Entry {
	onTime := time.Duration(rapid.IntRange(0, 3000).Draw(t, "on-time"))
	e := admitter.Entry{
		Key: k, Arrived: at(now), Priority: rapid.IntRange(-1, 3).Draw(t, "priority"),
		Customer:          identifier.Customer(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer")),
		Work:              time.Duration(rapid.IntRange(0, 2000).Draw(t, "work")) * time.Millisecond,
		Tokens:            identifier.Tokens(rapid.IntRange(1, 40_000).Draw(t, "tokens")),
		Fingerprint:       rapid.Uint64Range(0, 5).Draw(t, "fingerprint"),
		LatestOnTimeStart: at(now + onTime*time.Millisecond),
	}
	e.LatestStart = e.LatestOnTimeStart.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond)
	return e
}

// TestOrderProperties checks that some request is always next, and that a more urgent
// request is never further behind.
func TestOrderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admitter.New(admitter.Options{})
		now := time.Duration(0)
		for k := range admitter.Key(rapid.IntRange(1, 40).Draw(t, "count")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			q.Push(drawEntry(t, k, now), at(now))
			if rapid.Bool().Draw(t, "grant") {
				if n, ok := q.Next(at(now)); ok {
					e, _ := q.Take(n, at(now))
					q.RecordGrant(&e, at(now))
				}
			}
			if _, ok := q.Next(at(now)); ok != (q.Len() > 0) {
				t.Fatalf("%d requests wait, but next is %v", q.Len(), ok)
			}
		}
		e := drawEntry(t, 1000, now)
		before := q.Rank(&e, at(now))
		e.Priority--
		if after := q.Rank(&e, at(now)); after > before {
			t.Fatalf("rank %d became %d with a higher priority", before, after)
		}
	})
}

// BenchmarkReject measures a look at a queue of which all requests can still wait.
func BenchmarkReject(b *testing.B) {
	q := admitter.New(admitter.Options{})
	now := measure(q, time.Millisecond)
	for k := range admitter.Key(200) {
		e := rankedEntry(k, int(k%3), now)
		e.Tokens = identifier.Tokens(5000 + 100*k)
		q.Admit(e)
	}
	for b.Loop() {
		q.Reject(at(now))
		q.Next(at(now))
	}
}

// TestExpiredDisplaceNobody guards against the failure that a request was rejected or not by its
// position relative to a more urgent one that expired at the same time.
func TestExpiredDisplaceNobody(t *testing.T) {
	reject := func(order ...int) []admitter.Key {
		q := admitter.New(admitter.Options{})
		end := measure(q, 2*time.Second)
		ahead, patient := rankedEntry(1, 1, end), rankedEntry(2, 1, end)
		for _, e := range []*admitter.Entry{&ahead, &patient} {
			e.LatestOnTimeStart, e.LatestStart = at(end+400*time.Millisecond), at(end+700*time.Millisecond)
		}
		expired := rankedEntry(3, 0, end+time.Millisecond)
		expired.LatestOnTimeStart, expired.LatestStart = at(end), at(end+2*time.Millisecond)
		all := []admitter.Entry{ahead, patient, expired}
		for _, n := range order {
			q.Admit(all[n])
		}
		return q.RemoveExpired(at(end + 10*time.Millisecond))
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 0, 1}, {0, 2, 1}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			is.New(t).Equal(reject(order...), []admitter.Key{3})
		})
	}
}
