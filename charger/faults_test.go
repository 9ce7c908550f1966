package charger_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fault disturbs a fleet until it is ended by heal.
type fault func(f *fleet)

// partition cuts off a data center.
func partition(f *fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := f.random.IntN(dataCenters)
	for n, h := range f.hosts {
		if h.index%dataCenters == cut {
			f.side[n] = 1
		}
	}
}

// isolate cuts off single hosts, a twentieth of all.
func isolate(f *fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range max(1, len(f.hosts)/20) {
		f.side[f.random.IntN(len(f.hosts))] = 2 + n
	}
}

// lose loses a tenth of the messages.
func lose(f *fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = 0.1
}

// heal ends partitions and losses.
func heal(f *fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.side)
	f.lost = 0
}

// some returns a third of the hosts.
func (f *fleet) some() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*host
	for range (len(f.hosts) + 2) / 3 {
		list = append(list, f.hosts[f.random.IntN(len(f.hosts))])
	}
	return list
}

// restart replaces the processes of some hosts, those that lend among them.
func restart(f *fleet) {
	for _, h := range f.some() {
		h.kill()
		h.start()
	}
}

// pause makes some hosts stand still for a time.
func pause(f *fleet) {
	for _, h := range f.some() {
		h.mu.Lock()
		h.pausedUntil = time.Now().Add(3 * time.Second)
		h.mu.Unlock()
	}
}

// TestFaults guards against hosts that together admit more than a quota while hosts or links
// fail, or messages are lost.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
	}{
		{"without faults", nil},
		{"a data center is cut off", []fault{partition, heal}},
		{"single hosts are cut off", []fault{isolate, heal}},
		{"messages are lost", []fault{lose, heal}},
		{"restarts", []fault{restart}},
		{"pauses", []fault{pause}},
		{"all faults", []fault{partition, restart, heal, pause, lose, restart, isolate, heal}},
	}
	for _, hosts := range []int{9, 70, 300} {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					q := tokens(363_222)
					f := newFleet(t, hosts, q, uint64(hosts))
					defer f.stop()
					time.Sleep(5 * time.Second)
					weights := f.uneven()
					for n := range 8 {
						if len(c.faults) > 0 {
							c.faults[n%len(c.faults)](f)
						}
						f.load(2*q.Rate, weights, 3*time.Second)
					}
					t.Logf("%d hosts: %.3f of the quota in all", hosts, f.units(time.Time{}, time.Now())/(24*q.Rate+q.Burst))
					assertWithinQuota(t, f, q)
				})
			})
		}
	}
}

// TestLendingHostFails answers the loss, and the pause, of a host that lends: the callers of a
// customer at its usual load are refused nothing, and with all callers above the quota most of it
// stays usable.
func TestLendingHostFails(t *testing.T) {
	q := tokens(363_222)
	fails := map[string]func(f *fleet, h *host){
		"dies": func(f *fleet, h *host) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.side[h.index] = 1
		},
		"pauses": func(_ *fleet, h *host) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.pausedUntil = time.Now().Add(6 * time.Second)
		},
	}
	run := func(t *testing.T, fail func(*fleet, *host), rate float64) *fleet {
		f := newFleet(t, 70, q, 6)
		time.Sleep(5 * time.Second)
		lending := f.hosts[0].charger.Granters(f.customer.Name)[0]
		weights := f.uneven()
		for n, h := range f.hosts {
			if h.name() == lending {
				weights[n] = 0
				f.load(rate, weights, 3*time.Second)
				fail(f, h)
			}
		}
		f.load(rate, weights, 5*time.Second)
		return f
	}
	for name, fail := range fails {
		t.Run(name+" at the usual load", func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := run(t, fail, q.Rate/headroom)
				defer f.stop()
				is.New(t).Equal(f.refusals(), 0)
			})
		})
		t.Run(name+" above the quota", func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := run(t, fail, 2*q.Rate)
				defer f.stop()
				got := f.units(time.Now().Add(-4*time.Second), time.Now()) / (4 * q.Rate)
				t.Logf("%.3f of the quota", got)
				is.New(t).True(got >= 0.8)
				assertWithinQuota(t, f, q)
			})
		})
	}
}

// TestIsolatedHost answers a host that reaches no other: it serves on with a small share.
func TestIsolatedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := tokens(363_222)
		f := newFleet(t, 70, q, 7)
		defer f.stop()
		time.Sleep(5 * time.Second)
		h := f.borrowing()
		f.mu.Lock()
		f.side[h.index] = 1
		f.mu.Unlock()
		f.load(q.Rate, f.oneHost(h.index), 20*time.Second)
		got := f.units(time.Time{}, time.Now()) / (20 * q.Rate)
		t.Logf("%.4f of the quota", got)
		is.True(got > 0.35/70)
		is.True(got < 0.5/70)
		is.True(h.charger.Stats().Alone)
	})
}

// TestRefund answers requests that don't run after their charge: what they were charged can be
// used by others.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := tokens(47_000)
		f := newFleet(t, 9, q, 8)
		defer f.stop()
		time.Sleep(5 * time.Second)
		c := f.hosts[0].charger
		charge := func() (n int) {
			for ; n < 100; n++ {
				if _, ok := c.Charge(context.Background(), f.customer, 5000); !ok {
					break
				}
			}
			return n
		}
		first := charge()
		is.True(first >= 9)
		for range first {
			c.Refund(f.customer, 5000)
		}
		time.Sleep(60 * time.Millisecond)
		is.True(charge() >= first-2)
	})
}

// TestCallerLeaves guards against a caller that leaves while its request waits for units, and is
// taken for a sign that this host reaches no other.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 70, tokens(363_222), 9)
		defer f.stop()
		time.Sleep(5 * time.Second)
		c := f.borrowing().charger
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := c.Charge(ctx, f.customer, 10)
		is.True(!ok)
		is.True(!c.Stats().Alone)
	})
}

// TestRefundAlone guards against a refund to lending hosts of what they haven't lent.
func TestRefundAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := tokens(363_222)
		f := newFleet(t, 70, q, 10)
		defer f.stop()
		time.Sleep(5 * time.Second)
		h := f.borrowing()
		_, ok := h.charger.Charge(context.Background(), f.customer, 5000)
		is.True(ok)
		time.Sleep(time.Second) // what was borrowed ahead goes back
		f.mu.Lock()
		f.side[h.index] = 1
		f.mu.Unlock()
		cost := 0.3 * q.Burst / 70
		for range 5 { // the share holds one such request
			_, ok = h.charger.Charge(context.Background(), f.customer, cost)
			is.True(ok)
			h.charger.Refund(f.customer, cost)
		}
	})
}

// TestSilentHosts answers three of the six lending hosts that fall silent at once, so that whoever
// asks them hears nothing: a customer at 0.3 of its quota is refused nothing.
func TestSilentHosts(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			q := tokens(363_222)
			f := newFleet(t, 70, q, 52+seed)
			defer f.stop()
			time.Sleep(5 * time.Second)
			silent := f.hosts[0].charger.Granters(f.customer.Name)[:3]
			weights := f.uneven()
			for n, h := range f.hosts {
				if slices.Contains(silent, h.name()) {
					weights[n] = 0
				}
			}
			f.load(0.3*q.Rate, weights, 3*time.Second)
			f.mu.Lock()
			for n, h := range f.hosts {
				if slices.Contains(silent, h.name()) {
					f.side[n] = 1
				}
			}
			f.mu.Unlock()
			f.load(0.3*q.Rate, weights, 5*time.Second)
			time.Sleep(maxWait)
			t.Logf("%d of %d refused", f.refusals(), f.requests())
			is.New(t).Equal(f.refusals(), 0)
		})
	}
}
