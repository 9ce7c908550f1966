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
	// The fault of a run is active from limitFaultStart to limitFaultEnd, except
	// that lost hosts do not return.
	limitFaultStart = 40 * time.Second
	limitFaultEnd   = 80 * time.Second
	// limitWindow is the length of the sliding window for WorstExcess.
	limitWindow         = 10 * time.Second
	limitReportInterval = time.Second
)

// limitCase is one scenario of the limiter benchmark.
type limitCase struct {
	Name   string
	Hosts  int
	Rate   float64 // the customer's limit in requests per second
	Burst  float64
	Demand float64 // as a multiple of the rate
	// SkewedShare is the share of the demand that goes to the first host. The
	// rest is spread evenly over all hosts.
	SkewedShare float64
	// LostHosts is the number of hosts that die when the fault starts, and
	// PartitionedHosts the number that are separated from the others during
	// the fault. DropAnswers drops all answers of the coordinator during the
	// fault.
	LostHosts, PartitionedHosts int
	DropAnswers                 bool
}

func limitCases() []limitCase {
	return []limitCase{
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.5},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.9},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 1.2},
		{Name: "even", Hosts: 9, Rate: 20, Burst: 20, Demand: 3},
		{Name: "low rate", Hosts: 9, Rate: 1, Burst: 5, Demand: 0.5},
		{Name: "low rate", Hosts: 9, Rate: 1, Burst: 5, Demand: 3},
		{Name: "80% at one host", Hosts: 9, Rate: 20, Burst: 20, Demand: 0.9, SkewedShare: 0.8},
		{Name: "80% at one host", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, SkewedShare: 0.8},
		{Name: "3 hosts lost", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, LostHosts: 3},
		{Name: "3 hosts cut off", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, PartitionedHosts: 3},
		{Name: "no answers", Hosts: 9, Rate: 20, Burst: 20, Demand: 3, DropAnswers: true},
		{Name: "2 hosts", Hosts: 2, Rate: 20, Burst: 20, Demand: 3},
		{Name: "36 hosts", Hosts: 36, Rate: 20, Burst: 20, Demand: 3},
	}
}

// LimitMetrics holds the measurements of one case of the limiter benchmark.
type LimitMetrics struct {
	Case  string `json:"case"`
	Hosts int    `json:"hosts"`
	// Rate is the customer's limit in requests per second, Demand the offered
	// load as a multiple of it.
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
	// Error is the relative difference between the number of admitted requests
	// and the number that a single exact limiter admits. It is positive if too
	// many were admitted.
	Error float64 `json:"error"`
	// WorstExcess is the largest excess over the limit's rate and burst in any
	// window of 10 s, as a share of them.
	WorstExcess float64 `json:"worst-over"`
	// EntriesPerHost is the number of customer entries that a host reports per
	// second.
	EntriesPerHost float64 `json:"entries-per-host"`
}

// limitBenchmark simulates one run.
type limitBenchmark struct {
	limitCase
	random        *rand.Rand
	clock         *clock
	limiters      []*limiter.Limiter
	coordinators  [2]*limiter.Coordinator // the second one serves the partitioned hosts
	exact         *limiter.Limiter
	admitted      []time.Duration
	exactAdmitted int
	entries       int
}

// RunLimits measures the error of the distributed limiter against a single exact
// limiter.
func RunLimits(seed uint64) []LimitMetrics {
	var all []LimitMetrics
	for _, c := range limitCases() {
		b := newLimitBenchmark(c, seed)
		all = append(all, b.run())
	}
	return all
}

func newLimitBenchmark(c limitCase, seed uint64) *limitBenchmark {
	b := &limitBenchmark{limitCase: c, random: rand.New(rand.NewPCG(seed, 3)), clock: &clock{}}
	customers := map[identifier.Customer]*compiler.Customer{
		customer: {Name: customer, RequestsPerSecond: c.Rate, Burst: c.Burst},
	}
	for range c.Hosts {
		l := limiter.New(limiter.Options{})
		l.Configure(customers, nil)
		l.SetKnownHosts(c.Hosts)
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

func (b *limitBenchmark) run() LimitMetrics {
	b.clock.every(limitReportInterval, b.exchangeReports)
	if b.PartitionedHosts+b.LostHosts > 0 {
		b.clock.after(limitFaultStart, b.startFault)
	}
	if b.PartitionedHosts > 0 {
		b.clock.after(limitFaultEnd, func() { b.coordinators[0].SetHosts(b.Hosts, b.Hosts) })
	}
	b.scheduleRequest()
	b.clock.run(limitDuration)
	return b.metrics()
}

// startFault starts the fault. Each side of a partition sees only its own hosts as
// live. Partitioned hosts remain known, since the platform still lists them; lost
// hosts do not.
func (b *limitBenchmark) startFault() {
	live := b.Hosts - b.PartitionedHosts - b.LostHosts
	for i := live; i < b.Hosts; i++ {
		b.coordinators[0].RemoveHost(identifier.Incarnation(i + 1))
	}
	b.coordinators[0].SetHosts(live, b.Hosts-b.LostHosts)
	b.coordinators[1].SetHosts(max(1, b.PartitionedHosts), b.Hosts)
}

func (b *limitBenchmark) faultActive() bool {
	return b.clock.elapsed >= limitFaultStart && (b.clock.elapsed < limitFaultEnd || b.LostHosts > 0)
}

// isolated reports whether a host is currently lost or partitioned.
func (b *limitBenchmark) isolated(host int) bool {
	return b.faultActive() && host >= b.Hosts-b.PartitionedHosts-b.LostHosts
}

func (b *limitBenchmark) exchangeReports() {
	for host, l := range b.limiters {
		if b.isolated(host) && b.LostHosts > 0 {
			continue
		}
		usages := l.Report(b.clock.now())
		b.entries += len(usages)
		if b.DropAnswers && b.faultActive() {
			continue
		}
		coordinator := 0
		if b.isolated(host) {
			coordinator = 1
		}
		l.ApplyShares(b.coordinators[coordinator].Report(identifier.Incarnation(host+1), usages, b.clock.now()), b.clock.now())
	}
	b.coordinators[0].Expire(b.clock.now())
}

func (b *limitBenchmark) scheduleRequest() {
	wait := time.Duration(b.random.ExpFloat64() / (b.Rate * b.Demand) * float64(time.Second))
	b.clock.after(wait, func() {
		b.request()
		b.scheduleRequest()
	})
}

func (b *limitBenchmark) request() {
	cost := limiter.Cost{Requests: 1}
	host := b.pickHost()
	exactOK, _ := b.exact.Admit(customer, cost, b.clock.now())
	ok, _ := b.limiters[host].Admit(customer, cost, b.clock.now())
	if b.clock.elapsed < limitWarmUp {
		return
	}
	if exactOK {
		b.exactAdmitted++
	}
	if ok {
		b.admitted = append(b.admitted, b.clock.elapsed)
	}
}

func (b *limitBenchmark) pickHost() int {
	hosts := b.Hosts
	if b.faultActive() {
		hosts -= b.LostHosts // the load balancer skips dead hosts
	}
	if b.SkewedShare > 0 && b.random.Float64() < b.SkewedShare {
		return 0
	}
	return b.random.IntN(hosts)
}

func (b *limitBenchmark) metrics() LimitMetrics {
	return LimitMetrics{
		Case: b.Name, Hosts: b.Hosts, Rate: b.Rate, Demand: b.Demand,
		Error:          float64(len(b.admitted)-b.exactAdmitted) / float64(max(1, b.exactAdmitted)),
		WorstExcess:    b.worstExcess(),
		EntriesPerHost: float64(b.entries) / float64(b.Hosts) / limitDuration.Seconds(),
	}
}

// worstExcess returns the largest excess over rate and burst in any window.
func (b *limitBenchmark) worstExcess() float64 {
	allowed := b.Rate*limitWindow.Seconds() + b.Burst
	maxAdmitted, first := 0, 0
	for last, t := range b.admitted {
		for b.admitted[first] <= t-limitWindow {
			first++
		}
		maxAdmitted = max(maxAdmitted, last-first+1)
	}
	return max(0, float64(maxAdmitted)/allowed-1)
}

// LimitTable formats the metrics of the limiter as a Markdown table.
func LimitTable(all []LimitMetrics) string {
	rows := make([][]string, 0, len(all))
	for _, m := range all {
		rows = append(rows, []string{
			m.Case, fmt.Sprint(m.Hosts), fmt.Sprintf("%.0f", m.Rate), fmt.Sprintf("%.1f", m.Demand),
			fmt.Sprintf("%+.1f%%", 100*m.Error), fmt.Sprintf("%.1f%%", 100*m.WorstExcess), fmt.Sprintf("%.2f", m.EntriesPerHost),
		})
	}
	return markdownTable([]string{
		"case", "hosts", "limit /s", "demand", "error against exact", "most over in 10 s", "entries per host and second",
	}, rows)
}
