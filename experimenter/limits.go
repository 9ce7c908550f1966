package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/limiter"
)

const (
	limitDuration = 2 * time.Minute
	limitWarmUp   = 10 * time.Second
	// faultFrom and faultTo bound the fault of a run.
	faultFrom = 40 * time.Second
	faultTo   = 80 * time.Second
	// limitWindow is the time over which the error is taken.
	limitWindow = 10 * time.Second
	limitTick   = time.Second
)

// limitCase is one measurement of the limiter.
type limitCase struct {
	Name   string
	Hosts  int
	Rate   float64 // requests a second of the customer's limit
	Burst  float64
	Demand float64 // multiples of the rate
	// Skew is the share of the demand that one host gets; 0: even.
	Skew float64
	// Lost hosts die when the fault begins; Cut hosts are cut off from the
	// others during the fault; Mute stops all answers during the fault.
	Lost, Cut int
	Mute      bool
}

func limitCases() []limitCase {
	return []limitCase{
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.5},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.9},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 1.2},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 3},
		{Name: "low rate", Hosts: 9, Rate: 1, Burst: 5, Demand: 0.5},
		{Name: "low rate", Hosts: 9, Rate: 1, Burst: 5, Demand: 3},
		{Name: "80% at one host", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.9, Skew: 0.8},
		{Name: "80% at one host", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, Skew: 0.8},
		{Name: "3 hosts lost", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, Lost: 3},
		{Name: "3 hosts cut off", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, Cut: 3},
		{Name: "no answers", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, Mute: true},
		{Name: "2 hosts", Hosts: 2, Rate: 20, Burst: 20, Demand: 3},
		{Name: "36 hosts", Hosts: 36, Rate: 20, Burst: 20, Demand: 3},
	}
}

// LimitFigures are the measurements of one case.
type LimitFigures struct {
	Case   string  `json:"case"`
	Hosts  int     `json:"hosts"`
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
	// Error is how far what was admitted differs from what one exact limit
	// would have admitted, as a share of it; above 0: too much.
	Error float64 `json:"error"`
	// WorstOver is the most admitted beyond the limit's rate and burst in any
	// window, as a share of them.
	WorstOver float64 `json:"worst-over"`
	// Entries is the reported customers a host sends, a second.
	Entries float64 `json:"entries-per-host"`
}

// limitBench is one run.
type limitBench struct {
	limitCase
	random       *rand.Rand
	clock        *clock
	limiters     []*limiter.Limiter
	coordinators [2]*limiter.Coordinator // the second is that of hosts cut off
	exact        *limiter.Limiter
	admitted     []time.Duration
	exactly      int
	entries      int
}

// RunLimits measures the error of the shared limits against an exact one.
func RunLimits(seed uint64) []LimitFigures {
	var all []LimitFigures
	for _, c := range limitCases() {
		b := newLimitBench(c, seed)
		all = append(all, b.run())
	}
	return all
}

func newLimitBench(c limitCase, seed uint64) *limitBench {
	b := &limitBench{limitCase: c, random: rand.New(rand.NewPCG(seed, 3)), clock: &clock{}}
	customers := map[identifier.Customer]*compiler.Customer{
		customer: {Name: customer, RequestsPerSecond: c.Rate, Burst: c.Burst},
	}
	for range c.Hosts {
		l := limiter.New(limiter.Options{})
		l.Configure(customers, nil)
		l.SetHosts(c.Hosts)
		b.limiters = append(b.limiters, l)
	}
	for i := range b.coordinators {
		b.coordinators[i] = limiter.NewCoordinator(limiter.Options{})
		b.coordinators[i].Configure(customers, nil)
	}
	b.coordinators[0].SetHosts(c.Hosts, c.Hosts)
	b.exact = limiter.New(limiter.Options{})
	b.exact.Configure(customers, nil)
	return b
}

const customer = identifier.Customer("dealer-1")

func (b *limitBench) run() LimitFigures {
	b.clock.every(limitTick, b.report)
	if b.Cut+b.Lost > 0 {
		b.clock.after(faultFrom, b.split)
	}
	if b.Cut > 0 {
		b.clock.after(faultTo, func() { b.coordinators[0].SetHosts(b.Hosts, b.Hosts) })
	}
	b.schedule()
	b.clock.run(limitDuration)
	return b.figures()
}

// split begins the fault: each side sees only its own hosts. Dead hosts are
// known for as long as the platform lists them.
func (b *limitBench) split() {
	live := b.Hosts - b.Cut - b.Lost
	for i := live; i < b.Hosts; i++ {
		b.coordinators[0].HostDead(identifier.Incarnation(i + 1))
	}
	b.coordinators[0].SetHosts(live, b.Hosts-b.Lost)
	b.coordinators[1].SetHosts(max(1, b.Cut), b.Hosts)
}

func (b *limitBench) faulty() bool {
	return b.clock.elapsed >= faultFrom && (b.clock.elapsed < faultTo || b.Lost > 0)
}

// away tells whether a host is one of the lost or cut off ones.
func (b *limitBench) away(host int) bool {
	return b.faulty() && host >= b.Hosts-b.Cut-b.Lost
}

func (b *limitBench) report() {
	for host, l := range b.limiters {
		if b.away(host) && b.Lost > 0 {
			continue
		}
		usages := l.Report(b.clock.now())
		b.entries += len(usages)
		if b.Mute && b.faulty() {
			continue
		}
		side := 0
		if b.away(host) {
			side = 1
		}
		l.Answer(b.coordinators[side].Report(identifier.Incarnation(host+1), usages, b.clock.now()), b.clock.now())
	}
	b.coordinators[0].Expire(b.clock.now())
}

func (b *limitBench) schedule() {
	wait := time.Duration(b.random.ExpFloat64() / (b.Rate * b.Demand) * float64(time.Second))
	b.clock.after(wait, func() {
		b.request()
		b.schedule()
	})
}

func (b *limitBench) request() {
	cost := limiter.Cost{Requests: 1}
	host := b.host()
	exactly, _ := b.exact.Admit(customer, cost, b.clock.now())
	ok, _ := b.limiters[host].Admit(customer, cost, b.clock.now())
	if b.clock.elapsed < limitWarmUp {
		return
	}
	if exactly {
		b.exactly++
	}
	if ok {
		b.admitted = append(b.admitted, b.clock.elapsed)
	}
}

func (b *limitBench) host() int {
	hosts := b.Hosts
	if b.faulty() {
		hosts -= b.Lost // the balancer sends nothing to dead hosts
	}
	if b.Skew > 0 && b.random.Float64() < b.Skew {
		return 0
	}
	return b.random.IntN(hosts)
}

func (b *limitBench) figures() LimitFigures {
	return LimitFigures{
		Case: b.Name, Hosts: b.Hosts, Rate: b.Rate, Demand: b.Demand,
		Error:     float64(len(b.admitted)-b.exactly) / float64(max(1, b.exactly)),
		WorstOver: b.worst(),
		Entries:   float64(b.entries) / float64(b.Hosts) / limitDuration.Seconds(),
	}
}

// worst gives the largest excess over rate and burst in any window.
func (b *limitBench) worst() float64 {
	allowed := b.Rate*limitWindow.Seconds() + b.Burst
	most, first := 0, 0
	for last, t := range b.admitted {
		for b.admitted[first] <= t-limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return max(0, float64(most)/allowed-1)
}

// LimitTable gives the figures of the limiter as a Markdown table.
func LimitTable(all []LimitFigures) string {
	rows := make([][]string, 0, len(all))
	for _, f := range all {
		rows = append(rows, []string{
			f.Case, fmt.Sprint(f.Hosts), fmt.Sprintf("%.0f", f.Rate), fmt.Sprintf("%.1f", f.Demand),
			fmt.Sprintf("%+.1f%%", 100*f.Error), fmt.Sprintf("%.1f%%", 100*f.WorstOver), fmt.Sprintf("%.2f", f.Entries),
		})
	}
	return markdown([]string{
		"case", "hosts", "limit /s", "demand", "error against exact", "most over in 10 s", "entries per host and second",
	}, rows)
}
