package budgeter

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

// mustStay returns a letGo for holders that must not be let go of.
func mustStay(t *testing.T) func() {
	t.Helper()
	return func() { t.Error("let go of a holder that should stay") }
}

// Large bodies take all that isn't reserved: ordinary requests are served nevertheless.
func TestReservedForSmall(t *testing.T) {
	i := is.New(t)
	b := New(Options{Limit: 1000 << 10, Reserved: 200 << 10})
	large := b.Open(KindBody, began, nil)
	i.NoErr(large.Take(800<<10, began))
	i.True(errors.Is(b.Open(KindBody, began, nil).Take(SmallBytes+1, began), ErrShort))
	small := b.Open(KindBody, began, nil)
	i.NoErr(small.Take(SmallBytes, began))
	i.True(errors.Is(small.Take(1, began), ErrShort)) // it isn't small any more
	i.Equal(b.Stats().Kinds[KindBody].Refused, uint64(2))
}

// Bodies stop just short of their end: the one that has stopped longest for what it holds
// goes, and those that make progress or have just begun stay.
func TestLetsGoOfTheSlowest(t *testing.T) {
	i := is.New(t)
	b := New(Options{Limit: 100})
	let := ""
	open := func(name string, bytes int64, at time.Time) *Holder {
		h := b.Open(KindBody, at, func() { let += name })
		i.NoErr(h.Take(bytes, at))
		return h
	}
	stopped := open("stopped ", 40, began)
	moving := open("moving ", 30, began)
	open("new ", 30, began.Add(2*time.Second))
	now := began.Add(2500 * time.Millisecond)
	moving.Progress(10, now)
	wanted := b.Open(KindBody, now, mustStay(t))
	i.True(errors.Is(wanted.Take(40, now), ErrShort))
	i.Equal(let, "stopped ")
	freed := b.Freed()
	stopped.Close()
	<-freed
	i.NoErr(wanted.Take(40, now))
}

// A request that has arrived is never let go of, whatever it holds.
func TestKeepsWhatHasArrived(t *testing.T) {
	i := is.New(t)
	b := New(Options{Limit: 100})
	h := b.Open(KindBody, began, mustStay(t))
	i.NoErr(h.Take(100, began))
	h.Keep()
	later := began.Add(time.Hour)
	i.True(errors.Is(b.Open(KindHead, later, nil).Take(1, later), ErrShort))
}

// Many are refused before the one that was let go of has left: no other goes for them.
func TestLetsGoOfNoMoreThanNeeded(t *testing.T) {
	i := is.New(t)
	b := New(Options{Limit: 100})
	let := 0
	for range 10 {
		i.NoErr(b.Open(KindBody, began, func() { let++ }).Take(10, began))
	}
	now := began.Add(2 * time.Second)
	for range 5 {
		now = now.Add(scanPeriod)
		i.True(errors.Is(b.Open(KindBody, now, nil).Take(10, now), ErrShort))
	}
	i.Equal(let, 1)
}

func TestUnlimited(t *testing.T) {
	i := is.New(t)
	b := New(Options{})
	i.NoErr(b.Open(KindBody, began, mustStay(t)).Take(1<<40, began))
}

// Whatever the order of events, the account has what the holders have, never more than
// its limit, and nothing once all have closed.
func TestGivesBackAll(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := New(Options{Limit: 1 << 20, Reserved: 1 << 18})
		now := began
		var holders []*Holder
		want := map[*Holder]int64{}
		pick := func() *Holder { return rapid.SampledFrom(holders).Draw(r, "holder") }
		check := func() {
			var sum int64
			for h, bytes := range want {
				sum += bytes
				if h.Bytes() != bytes {
					r.Fatalf("holder has %d bytes, want %d", h.Bytes(), bytes)
				}
			}
			if s := b.Stats(); s.Bytes != sum || sum > s.Limit {
				r.Fatalf("account has %d bytes, want %d within %d", s.Bytes, sum, s.Limit)
			}
		}
		open := func() {
			kind := rapid.SampledFrom([]Kind{KindConnection, KindHead, KindBody, KindAnswer}).Draw(r, "kind")
			holders = append(holders, b.Open(kind, now, func() {}))
		}
		open()
		for range rapid.IntRange(1, 200).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			n := rapid.Int64Range(0, 1<<19).Draw(r, "bytes")
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0:
				open()
			case 1:
				if h := pick(); h.Take(n, now) == nil {
					want[h] += n
				}
			case 2:
				h := pick()
				h.Return(n)
				want[h] = max(0, want[h]-n)
			case 3:
				pick().Progress(n, now)
			case 4:
				pick().Keep()
			case 5:
				h := pick()
				h.Release()
				want[h] = 0
			case 6:
				pick().Await(now, func() {})
			default:
				h := pick()
				h.Close()
				want[h] = 0
			}
			check()
		}
		for _, h := range holders {
			h.Close()
			want[h] = 0
		}
		check()
		if len(b.awaiting) != 0 || b.leaving != 0 {
			r.Fatalf("%d holders are left, %d bytes are leaving", len(b.awaiting), b.leaving)
		}
	})
}

// TestTrickle guards against the failure that a sender of tiny pieces at short intervals
// was never let go of.
func TestTrickle(t *testing.T) {
	const size = 10 << 20
	for _, interval := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			i := is.New(t)
			b := New(Options{Limit: size})
			var gone bool
			slow := b.Open(KindBody, began, func() { gone = true })
			i.NoErr(slow.Take(size, began))
			other := b.Open(KindBody, began, func() {})
			now := began
			for ; !gone && now.Sub(began) < 10*time.Second; now = now.Add(interval) {
				slow.Progress(1, now)
				i.Equal(other.Take(size/2, now), ErrShort)
			}
			i.True(gone)
		})
	}
	t.Run("but not a sender that goes on at a steady pace", func(t *testing.T) {
		i := is.New(t)
		b := New(Options{Limit: size})
		steady := b.Open(KindBody, began, mustStay(t))
		i.NoErr(steady.Take(size, began))
		other := b.Open(KindBody, began, func() {})
		const interval = 50 * time.Millisecond
		for now := began; now.Sub(began) < 10*time.Second; now = now.Add(interval) {
			steady.Progress(size/20/20, now) // a twentieth a second
			i.Equal(other.Take(size/2, now), ErrShort)
		}
	})
}

// TestLetGoTwice guards against the failure that what a holder has was counted twice as about to
// be returned, if it waited for its caller again before it closed.
func TestLetGoTwice(t *testing.T) {
	i := is.New(t)
	b := New(Options{Limit: 100})
	i.NoErr(b.Open(KindConnection, began, nil).Take(20, began))
	slow := b.Open(KindBody, began, func() {})
	i.NoErr(slow.Take(80, began))
	other := b.Open(KindBody, began, func() {})
	now := began
	for range 2 {
		now = now.Add(2 * gracePeriod)
		i.Equal(other.Take(95, now), ErrShort)
		slow.Await(now, func() {})
	}
	slow.Close()
	i.Equal(b.leaving, int64(0))
}
