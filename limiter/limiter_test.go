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
	epoch      = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)
	oneRequest = limiter.Cost{Requests: 1}
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
	l.SetKnownHosts(hosts)
	return l
}

// countAdmitted sends n requests at the same time and returns how many are
// admitted.
func countAdmitted(l *limiter.Limiter, c identifier.Customer, cost limiter.Cost, n int, now time.Time) int {
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
		is.Equal(countAdmitted(l, "dealer", oneRequest, 100, epoch), 5)
		is.Equal(countAdmitted(l, "dealer", oneRequest, 100, epoch.Add(time.Second)), 5) // the burst has refilled
		ok, wait := l.Admit("dealer", oneRequest, epoch.Add(time.Second))
		is.True(!ok)
		is.True(wait > 0 && wait <= 100*time.Millisecond)
		ok, _ = l.Admit("dealer", oneRequest, epoch.Add(time.Second+wait))
		is.True(ok)
	})
	t.Run("an equal fraction among all hosts without answers", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(10, dealer)
		total := 0
		for s := range 60 {
			total += countAdmitted(l, "dealer", oneRequest, 100, epoch.Add(time.Duration(s)*time.Second))
		}
		is.True(total >= 59 && total <= 61) // 1/s of 10/s
	})
	t.Run("the answered fraction, until reports go unanswered", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(10, dealer)
		l.ApplyShares([]limiter.Share{{Customer: "dealer", Fraction: 0.5, Burst: 1}}, epoch)
		total := 0
		for s := range 13 {
			now := epoch.Add(time.Duration(s) * time.Second)
			for q := range 10 {
				total += countAdmitted(l, "dealer", oneRequest, 10, now.Add(time.Duration(q)*100*time.Millisecond))
			}
			l.Report(now)
		}
		is.True(total >= 23 && total <= 31) // 5/s for 4 s, then 1/s
	})
	t.Run("tokens as well as requests", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", RequestsPerSecond: 100, TokensPerSecond: 1000})
		is.Equal(countAdmitted(l, "batch", limiter.Cost{Requests: 1, Tokens: 400}, 10, epoch), 2)
	})
	t.Run("and charges no request if the token limit refuses", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", RequestsPerSecond: 10, Burst: 10, TokensPerSecond: 1000})
		is.Equal(countAdmitted(l, "batch", limiter.Cost{Requests: 1, Tokens: 1000}, 20, epoch), 1)
		is.Equal(countAdmitted(l, "batch", oneRequest, 20, epoch.Add(200*time.Millisecond)), 10)
	})
	t.Run("a request larger than the burst, once earlier requests are made up for", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, &compiler.Customer{Name: "batch", TokensPerSecond: 1000})
		huge := limiter.Cost{Requests: 1, Tokens: 5000}
		is.Equal(countAdmitted(l, "batch", huge, 2, epoch), 1)
		is.Equal(countAdmitted(l, "batch", huge, 2, epoch.Add(4*time.Second)), 0)
		is.Equal(countAdmitted(l, "batch", huge, 2, epoch.Add(6*time.Second)), 1)
	})
	t.Run("no undeclared customer without a default declaration", func(t *testing.T) {
		is := is.New(t)
		is.Equal(countAdmitted(newLimiter(1, dealer), "stranger", oneRequest, 3, epoch), 0)
	})
	t.Run("undeclared customers by the default declaration, each separately", func(t *testing.T) {
		is := is.New(t)
		l := limiter.New(limiter.Options{})
		l.Configure(nil, &compiler.Customer{RequestsPerSecond: 1, Burst: 2})
		is.Equal(countAdmitted(l, "a", oneRequest, 5, epoch), 2)
		is.Equal(countAdmitted(l, "b", oneRequest, 5, epoch), 2)
	})
	t.Run("without limit if none is declared", func(t *testing.T) {
		is := is.New(t)
		is.Equal(countAdmitted(newLimiter(9, &compiler.Customer{Name: "free"}), "free", oneRequest, 1000, epoch), 1000)
	})
	t.Run("with the same state when another customer's declaration changes", func(t *testing.T) {
		is := is.New(t)
		l := newLimiter(1, dealer)
		is.Equal(countAdmitted(l, "dealer", oneRequest, 100, epoch), 5)
		l.Configure(customers(dealer, &compiler.Customer{Name: "new"}), nil)
		is.Equal(countAdmitted(l, "dealer", oneRequest, 100, epoch), 0)
	})
}

func TestAdmitFromManyGoroutines(t *testing.T) {
	is := is.New(t)
	l := newLimiter(1, &compiler.Customer{Name: "dealer", RequestsPerSecond: 10, Burst: 1000})
	var total atomic.Int64
	g := grouper.New(context.Background())
	for range 12 {
		g.Run(func(context.Context) { total.Add(int64(countAdmitted(l, "dealer", oneRequest, 1000, epoch))) })
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
	// lastFractions lets each host report its demand for 30 s and returns the
	// fractions of the last shares.
	lastFractions := func(c *limiter.Coordinator, wanted ...float64) []float64 {
		last := make([]float64, len(wanted))
		for s := range 30 {
			for host, w := range wanted {
				shares := c.Report(identifier.Incarnation(host+1), usage(w), epoch.Add(time.Duration(s)*time.Second))
				last[host] = shares[0].Fraction
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
		p := lastFractions(newCoordinator(2, 2), 30, 10)
		is.True(p[0] > 2.9*p[1] && p[0] < 3.1*p[1])
	})
	t.Run("distributes no more than the rate when demand is higher", func(t *testing.T) {
		is := is.New(t)
		is.True(sum(lastFractions(newCoordinator(2, 2), 30, 10)) <= 1.001)
	})
	t.Run("distributes only the live hosts' fraction of the rate", func(t *testing.T) {
		is := is.New(t)
		whole := sum(lastFractions(newCoordinator(2, 2), 2, 2))
		half := sum(lastFractions(newCoordinator(2, 4), 2, 2))
		is.True(half < 0.8*whole)
	})
	t.Run("returns no share for an undeclared customer", func(t *testing.T) {
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

// BenchmarkAdmit measures one admission decision with 26000 customers.
func BenchmarkAdmit(b *testing.B) {
	l, names := benchLimiter()
	b.Run("one goroutine", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			l.Admit(names[i%len(names)], oneRequest, epoch)
		}
	})
	b.Run("all threads, many customers", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i += 7 {
				l.Admit(names[i%len(names)], oneRequest, epoch)
			}
		})
	})
	b.Run("all threads, one customer", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				l.Admit(names[0], oneRequest, epoch)
			}
		})
	})
}

// BenchmarkReport measures one interval of 1000 requests and the report, with
// 26000 customers.
func BenchmarkReport(b *testing.B) {
	l, names := benchLimiter()
	for range b.N {
		for _, n := range names[:1000] {
			l.Admit(n, oneRequest, epoch)
		}
		l.Report(epoch)
	}
}

// BenchmarkMemory measures the heap bytes per customer at a host, and at a
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
				c.Report(host+1, []limiter.Usage{{Customer: n, Wanted: oneRequest, Admitted: oneRequest}}, epoch)
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
