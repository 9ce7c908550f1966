package charger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAllRestart guards against hosts that take the whole quota for theirs when all restart and
// know only themselves at first.
func TestAllRestart(t *testing.T) {
	for _, stranger := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(fmt.Sprintf("each knows only itself for %v", stranger), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				q := tokens(363_222)
				f := newFleet(t, 70, q, 61)
				defer f.stop()
				time.Sleep(5 * time.Second)
				weights := f.uneven()
				f.load(2*q.Rate, weights, 5*time.Second)
				for _, h := range f.hosts {
					h.restart(stranger)
				}
				began := time.Now()
				f.load(2*q.Rate, weights, 2*time.Second)
				got := f.units(began, time.Now()) / (2 * q.Rate)
				t.Logf("%.3f of rate x time", got)
				is.New(t).True(got <= overFactor)
				f.load(2*q.Rate, weights, 3*time.Second)
				assertWithinQuota(t, f, q)
			})
		})
	}
}

// TestStranger guards against a host that restarts while it is cut off, and lends itself the whole
// quota as the only host that it knows.
func TestStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := tokens(363_222)
		f := newFleet(t, 70, q, 62)
		defer f.stop()
		time.Sleep(5 * time.Second)
		h := f.borrowing()
		f.mu.Lock()
		f.side[h.index] = 1
		f.mu.Unlock()
		h.restart(time.Hour)
		time.Sleep(3 * time.Second)
		f.load(2*q.Rate, f.oneHost(h.index), 8*time.Second)
		got := f.units(time.Time{}, time.Now()) / (8*q.Rate + q.Burst)
		t.Logf("%.3f of the quota", got)
		is.New(t).True(got <= overFactor-1)
	})
}

// TestTotalRestart answers hosts that lose power together and are back within a second: a customer
// at half of its quota is refused next to nothing in the first two seconds.
func TestTotalRestart(t *testing.T) {
	refused, asked := 0, 0
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			q := tokens(363_222)
			f := newFleet(t, 70, q, 31+seed)
			defer f.stop()
			time.Sleep(5 * time.Second)
			weights := f.uneven()
			f.load(q.Rate/2, weights, 3*time.Second)
			for _, h := range f.hosts {
				h.restart(50 * time.Millisecond)
			}
			refused, asked = refused-f.refusals(), asked-f.requests()
			f.load(q.Rate/2, weights, 2*time.Second)
			refused, asked = refused+f.refusals(), asked+f.requests()
			assertWithinQuota(t, f, q)
		})
	}
	t.Logf("%d of %d refused in 2 s", refused, asked)
	is.New(t).True(float64(refused) <= 0.02*float64(asked))
}
