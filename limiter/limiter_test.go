package limiter_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/limiter"
)

var (
	epoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)
	one   = limiter.Cost{Requests: 1}
)

func customers(list ...*compiler.Customer) map[identifier.Customer]*compiler.Customer {
	all := map[identifier.Customer]*compiler.Customer{}
	for _, c := range list {
		all[c.Name] = c
	}
	return all
}

func newLimiter(hosts int, list ...*compiler.Customer) *limiter.Limiter {
	l := limiter.New(limiter.Options{})
	l.Configure(customers(list...), nil)
	l.SetHosts(hosts)
	return l
}

// admitted asks n times at one moment.
func admitted(l *limiter.Limiter, c identifier.Customer, cost limiter.Cost, n int, now time.Time) int {
	count := 0
	for range n {
		if ok, _ := l.Admit(c, cost, now); ok {
			count++
		}
	}
	return count
}

func TestAdmit(t *testing.T) {
	dealer := &compiler.Customer{Name: "dealer", RequestsPerSecond: 10, Burst: 5}
	t.Run("the burst, then the rate", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, dealer)
		is.Equal(admitted(l, "dealer", one, 100, epoch), 5)
		is.Equal(admitted(l, "dealer", one, 100, epoch.Add(time.Second)), 5) // the burst has come back
		ok, wait := l.Admit("dealer", one, epoch.Add(time.Second))
		is.True(!ok)
		is.True(wait > 0 && wait <= 100*time.Millisecond)
		ok, _ = l.Admit("dealer", one, epoch.Add(time.Second+wait))
		is.True(ok)
	})
	t.Run("a fair part of all hosts without answers", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(10, dealer)
		total := 0
		for s := range 60 {
			total += admitted(l, "dealer", one, 100, epoch.Add(time.Duration(s)*time.Second))
		}
		is.True(total >= 59 && total <= 61) // 1/s of 10/s
	})
	t.Run("the answered part, until reports go without an answer", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(10, dealer)
		l.Answer([]limiter.Share{{Customer: "dealer", Part: 0.5, Burst: 1}}, epoch)
		total := 0
		for s := range 13 {
			now := epoch.Add(time.Duration(s) * time.Second)
			for q := range 10 {
				total += admitted(l, "dealer", one, 10, now.Add(time.Duration(q)*100*time.Millisecond))
			}
			l.Report(now)
		}
		is.True(total >= 23 && total <= 31) // 5/s for 4 s, then 1/s
	})
	t.Run("tokens as well as requests", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", RequestsPerSecond: 100, TokensPerSecond: 1000})
		is.Equal(admitted(l, "batch", limiter.Cost{Requests: 1, Tokens: 400}, 10, epoch), 2)
	})
	t.Run("and charges no request for what the tokens refuse", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", RequestsPerSecond: 10, Burst: 10, TokensPerSecond: 1000})
		is.Equal(admitted(l, "batch", limiter.Cost{Requests: 1, Tokens: 1000}, 20, epoch), 1)
		is.Equal(admitted(l, "batch", one, 20, epoch.Add(200*time.Millisecond)), 10)
	})
	t.Run("a request that is larger than the burst, when nothing is owed", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", TokensPerSecond: 1000})
		huge := limiter.Cost{Requests: 1, Tokens: 5000}
		is.Equal(admitted(l, "batch", huge, 2, epoch), 1)
		is.Equal(admitted(l, "batch", huge, 2, epoch.Add(4*time.Second)), 0)
		is.Equal(admitted(l, "batch", huge, 2, epoch.Add(6*time.Second)), 1)
	})
	t.Run("nobody who is not declared", func(t *testing.T) {
		is := is.New(t)
		is.Equal(admitted(newLimiter(1, dealer), "stranger", one, 3, epoch), 0)
	})
	t.Run("others by the default declaration, each for itself", func(t *testing.T) {
		is := is.New(t)
		l := limiter.New(limiter.Options{})
		l.Configure(nil, &compiler.Customer{RequestsPerSecond: 1, Burst: 2})
		is.Equal(admitted(l, "a", one, 5, epoch), 2)
		is.Equal(admitted(l, "b", one, 5, epoch), 2)
	})
	t.Run("without limit where none is declared", func(t *testing.T) {
		is := is.New(t)
		is.Equal(admitted(newLimiter(9, &compiler.Customer{Name: "free"}), "free", one, 1000, epoch), 1000)
	})
	t.Run("as before when another customer's declaration changes", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, dealer)
		is.Equal(admitted(l, "dealer", one, 100, epoch), 5)
		l.Configure(customers(dealer, &compiler.Customer{Name: "new"}), nil)
		is.Equal(admitted(l, "dealer", one, 100, epoch), 0)
	})
}

func TestAdmitFromManyGoroutines(t *testing.T) {
	is := is.New(t)
	l := newLimiter(1, &compiler.Customer{Name: "dealer", RequestsPerSecond: 10, Burst: 1000})
	var total atomic.Int64
	g := grouper.New(context.Background())
	for range 12 {
		g.Run(func(context.Context) { total.Add(int64(admitted(l, "dealer", one, 1000, epoch))) })
	}
	is.NoErr(g.Wait())
	is.Equal(total.Load(), int64(1000))
}

func TestCoordinator(t *testing.T) {
	dealer := &compiler.Customer{Name: "dealer", RequestsPerSecond: 10, Burst: 10}
	usage := func(wanted float64) []limiter.Usage {
		return []limiter.Usage{{Customer: "dealer", Admitted: limiter.Cost{Requests: min(wanted, 5)}, Wanted: limiter.Cost{Requests: wanted}}}
	}
	newCoordinator := func(live, known int) *limiter.Coordinator {
		c := limiter.NewCoordinator(limiter.Options{})
		c.Configure(customers(dealer), nil)
		c.SetHosts(live, known)
		return c
	}
	// parts lets hosts report for a while and gives their last shares.
	parts := func(c *limiter.Coordinator, wanted ...float64) []float64 {
		last := make([]float64, len(wanted))
		for s := range 30 {
			for host, w := range wanted {
				shares := c.Report(identifier.Incarnation(host+1), usage(w), epoch.Add(time.Duration(s)*time.Second))
				last[host] = shares[0].Part
			}
		}
		return last
	}
	sum := func(all []float64) float64 {
		total := 0.0
		for _, p := range all {
			total += p
		}
		return total
	}
	t.Run("divides by demand", func(t *testing.T) {
		is := is.New(t)
		p := parts(newCoordinator(2, 2), 30, 10)
		is.True(p[0] > 2.9*p[1] && p[0] < 3.1*p[1])
	})
	t.Run("hands out no more than the whole when demand is higher", func(t *testing.T) {
		is := is.New(t)
		is.True(sum(parts(newCoordinator(2, 2), 30, 10)) <= 1.001)
	})
	t.Run("hands out only the part of the hosts that it sees", func(t *testing.T) {
		is := is.New(t)
		whole := sum(parts(newCoordinator(2, 2), 2, 2))
		half := sum(parts(newCoordinator(2, 4), 2, 2))
		is.True(half < 0.8*whole)
	})
	t.Run("knows no share for a stranger", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(newCoordinator(1, 1).Report(1, []limiter.Usage{{Customer: "stranger"}}, epoch)), 0)
	})
}

func benchLimiter() (*limiter.Limiter, []identifier.Customer) {
	const n = 26_000
	all := map[identifier.Customer]*compiler.Customer{}
	names := make([]identifier.Customer, n)
	for i := range names {
		names[i] = identifier.Customer(fmt.Sprintf("customer-%d", i))
		all[names[i]] = &compiler.Customer{Name: names[i], RequestsPerSecond: 1000, Burst: 1000}
	}
	l := limiter.New(limiter.Options{})
	l.Configure(all, nil)
	return l, names
}

// BenchmarkAdmit measures a decision among 26000 customers.
func BenchmarkAdmit(b *testing.B) {
	l, names := benchLimiter()
	b.Run("one goroutine", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			l.Admit(names[i%len(names)], one, epoch)
		}
	})
	b.Run("all threads, many customers", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i += 7 {
				l.Admit(names[i%len(names)], one, epoch)
			}
		})
	})
	b.Run("all threads, one customer", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				l.Admit(names[0], one, epoch)
			}
		})
	})
}

// BenchmarkReport measures one interval's report of 26000 customers.
func BenchmarkReport(b *testing.B) {
	l, names := benchLimiter()
	for range b.N {
		for _, n := range names[:1000] {
			l.Admit(n, one, epoch)
		}
		l.Report(epoch)
	}
}

// BenchmarkMemory gives the heap that a customer takes at a host, and at its
// coordinator with nine hosts.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		begin := heapBytes()
		l, names := benchLimiter()
		b.ReportMetric(float64(heapBytes()-begin)/float64(len(names)), "B/customer")
		runtime.KeepAlive(l)
		begin = heapBytes()
		c := limiter.NewCoordinator(limiter.Options{})
		c.Configure(nil, &compiler.Customer{RequestsPerSecond: 10})
		for host := range identifier.Incarnation(9) {
			for _, n := range names {
				c.Report(host+1, []limiter.Usage{{Customer: n, Wanted: one, Admitted: one}}, epoch)
			}
		}
		b.ReportMetric(float64(heapBytes()-begin)/float64(len(names)), "B/coordinated-customer")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
