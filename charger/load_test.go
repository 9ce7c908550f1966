package charger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/authenticator"
)

const (
	// headroom is how much a quota allows, as a multiple of the customer's usual load.
	headroom = 1.8
	// hotFactor is how many times its usual load a customer sends at times, for hotTime.
	hotFactor = 7
	hotTime   = 4 * time.Second
	// requestsMeasured is the number of admitted requests in which a share of one part in
	// twenty is measured.
	requestsMeasured = 500
)

func tokens(rate float64) authenticator.Quota {
	return authenticator.Quota{Unit: authenticator.UnitTokens, Rate: rate, Burst: rate, PlainTokens: 200}
}

var quotasTested = []struct {
	name  string
	quota authenticator.Quota
}{
	{"a large customer", tokens(363_222)},
	{"a small customer", tokens(47_000)},
}

// TestHotCustomer answers a customer that sends seven times its usual load for four seconds,
// through hosts to which its callers hash unevenly: it gets its quota, and no more.
func TestHotCustomer(t *testing.T) {
	for _, hosts := range []int{9, 70, 300} {
		for _, c := range quotasTested {
			t.Run(fmt.Sprintf("%s with %d hosts", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, hosts, c.quota, 1)
					defer f.stop()
					time.Sleep(5 * time.Second)
					usual, weights := c.quota.Rate/headroom, f.uneven()
					f.load(usual, weights, 4*time.Second)
					began := time.Now()
					f.load(hotFactor*usual, weights, hotTime)
					got := f.units(began, time.Now())
					full := c.quota.Rate * hotTime.Seconds()
					t.Logf("%.3f of what one bucket would admit while hot", got/f.ideal(c.quota, began))
					is.New(t).True(got >= 0.95*full)
					is.New(t).True(got <= 1.05*(full+c.quota.Burst))
					f.load(usual, weights, 4*time.Second)
					assertWithinQuota(t, f, c.quota)
				})
			})
		}
	}
}

// TestSustained answers a customer that keeps sending more than its quota: it gets 0.95 to 1.05
// of what one bucket for all hosts would admit.
func TestSustained(t *testing.T) {
	for _, hosts := range []int{9, 70, 300} {
		for _, c := range quotasTested {
			for _, overload := range []float64{1.2, hotFactor / headroom} {
				t.Run(fmt.Sprintf("%s at %.1f times its quota with %d hosts", c.name, overload, hosts), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, hosts, c.quota, 5)
						defer f.stop()
						time.Sleep(5 * time.Second)
						f.load(overload*c.quota.Rate, f.uneven(), 8*time.Second)
						began := time.Now()
						measured := time.Duration(requestsMeasured * meanCost / c.quota.Rate * float64(time.Second))
						f.load(overload*c.quota.Rate, f.uneven(), measured)
						got, ideal, full := f.units(began, time.Now()), f.ideal(c.quota, began), c.quota.Rate*measured.Seconds()
						t.Logf("%.3f of the quota, %.3f of what one bucket would admit", got/full, got/ideal)
						is.New(t).True(got >= 0.95*ideal)
						is.New(t).True(got <= 1.05*ideal)
						assertWithinQuota(t, f, c.quota)
					})
				})
			}
		}
	}
}

// TestOneHost answers a customer below its limit whose callers all reach one host: it is refused
// nothing that one bucket for all hosts would admit, also if that host has just started.
func TestOneHost(t *testing.T) {
	for _, hosts := range []int{1, 9, 70} {
		for _, c := range quotasTested {
			t.Run(fmt.Sprintf("%s with %d hosts", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, hosts, c.quota, 2)
					defer f.stop()
					time.Sleep(5 * time.Second)
					at := f.borrowing()
					f.load(c.quota.Rate/headroom, f.oneHost(at.index), 10*time.Second)
					if hosts > 1 {
						at.kill()
						at.start()
						f.load(c.quota.Rate/headroom, f.oneHost(at.index), 5*time.Second)
					}
					t.Logf("%d of %d requests refused", f.refusals(), f.requests())
					is.New(t).True(f.refusals() <= f.idealRefusals(c.quota))
				})
			})
		}
	}
}

// TestLoweredQuota answers an operator who lowers a quota far below what is sent: it binds
// within the window after it is in force.
func TestLoweredQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 70, tokens(363_222), 3)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.load(363_222, f.uneven(), 4*time.Second)
		f.declare(2, tokens(47_000))
		began := time.Now()
		f.load(363_222, f.uneven(), window)
		got, allowed := f.units(began, time.Now()), 47_000*(window.Seconds()+1)
		t.Logf("%.3f of the lower quota", got/allowed)
		is.True(got <= overFactor*allowed)
		is.True(got >= 0.95*47_000*window.Seconds())
	})
}

// TestCountedRequests answers quotas of few requests, whose shares are less than one request.
func TestCountedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := authenticator.Quota{Rate: 2, Burst: 3}
		f := newFleet(t, 9, q, 4)
		defer f.stop()
		time.Sleep(5 * time.Second)
		admitted, began := 0.0, time.Now()
		for n := range 200 {
			if _, ok := f.hosts[n%9].charger.Charge(t.Context(), f.customer, 1); ok {
				admitted++
			}
			time.Sleep(50 * time.Millisecond)
		}
		full := q.Rate*time.Since(began).Seconds() + q.Burst
		t.Logf("%.0f of %.1f requests", admitted, full)
		is.True(admitted >= 0.95*full-1)
		is.True(admitted <= full)
	})
}
