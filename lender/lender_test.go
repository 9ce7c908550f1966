package lender_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/lender"
)

const (
	customer = "harbour-yard"
	// window is the time for which the quota is checked, and overFactor what may be admitted in
	// it, as a multiple of the quota.
	window     = 8 * time.Second
	overFactor = 1.05
)

var start = time.Unix(1_000_000, 0)

// charge is a request that was admitted.
type charge struct {
	at   time.Time
	cost float64
}

// most returns the largest cost of charges, which are in order of time, in any window.
func most(all []charge) float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, c := range all {
		sum += c.cost
		for c.at.Sub(all[first].at) >= window {
			sum -= all[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// message is under way between two hosts: an ask, its answer, or a return.
type message struct {
	from, to int
	kind     string
	ask      lender.Ask
	loan     lender.Loan
	cost     float64
	asked    time.Time
	call     int
	amount   float64
	// process is the process of the host that asked.
	process int
}

// model is a set of hosts that exchange messages which are delayed, reordered, repeated and lost.
type model struct {
	quota     authenticator.Quota
	now       time.Time
	lenders   []*lender.Lender
	borrowers []*lender.Borrower
	process   []int
	messages  []message
	calls     int
	// done are the calls whose answer has arrived.
	done     map[int]bool
	admitted []charge
	// refunds are the charges of requests that will turn out not to have run, by time.
	refunds []charge
}

// refundTime is when a request that did not run is known not to have.
const refundTime = 3 * time.Second

func newModel(hosts int, q authenticator.Quota) *model {
	m := &model{quota: q, now: start, done: map[int]bool{}, process: make([]int, hosts)}
	for range hosts {
		m.lenders = append(m.lenders, lender.New(start))
		m.borrowers = append(m.borrowers, lender.NewBorrower())
	}
	return m
}

func (m *model) share() lender.Share {
	return lender.ShareOf(m.quota, len(m.lenders))
}

func (m *model) spend(host int, cost float64) bool {
	if !m.borrowers[host].Spend(customer, cost, m.now) {
		return false
	}
	m.calls++
	if m.calls%refundEvery == 0 {
		m.refunds = append(m.refunds, charge{at: m.now.Add(refundTime), cost: cost})
		return true
	}
	m.admitted = append(m.admitted, charge{at: m.now, cost: cost})
	return true
}

// refundEvery is the share of the requests that don't run, as its inverse.
const refundEvery = 5

// refund gives back the charges of requests that are now known not to have run.
func (m *model) refund(r *rand.Rand) {
	for len(m.refunds) > 0 && !m.now.Before(m.refunds[0].at) {
		m.giveBack(0, r.IntN(len(m.lenders)), m.refunds[0].cost)
		m.refunds = m.refunds[1:]
	}
}

// request asks another host for what is missing, with as much ahead as demand allows.
func (m *model) request(host, granter int, cost float64) {
	b := m.borrowers[host]
	b.Record(customer, cost, m.now)
	if m.spend(host, cost) {
		return
	}
	missing := b.Missing(customer, cost, m.now)
	m.calls++
	m.messages = append(m.messages, message{
		from: host, to: granter, kind: "ask", cost: cost, asked: m.now, call: m.calls, process: m.process[host],
		ask: lender.Ask{
			Customer: customer, Least: missing, Most: missing + b.Ahead(customer, cost, m.now), Size: cost / float64(len(m.lenders)),
		},
	})
}

func name(host int) identifier.Host {
	return identifier.Host(string(rune('a' + host)))
}

// deliver lets a message arrive.
func (m *model) deliver(x message) {
	switch x.kind {
	case "ask":
		x.loan, x.kind = m.lenders[x.to].Lend(x.ask, m.share(), m.now), "answer"
		m.messages = append(m.messages, x)
	case "answer":
		if m.done[x.call] || m.process[x.from] != x.process {
			return
		}
		m.done[x.call] = true
		late := m.borrowers[x.from].Add(customer, name(x.to), x.loan, x.asked, m.now)
		m.giveBack(x.from, x.to, late)
		m.spend(x.from, x.cost)
	case "return":
		m.lenders[x.to].TakeBack(customer, m.share(), x.amount, m.now)
	}
}

func (m *model) giveBack(from, to int, amount float64) {
	m.messages = append(m.messages, message{from: from, to: to, kind: "return", amount: amount})
}

func (m *model) expire(host int) {
	for _, r := range m.borrowers[host].Expire(m.now) {
		m.giveBack(host, int(r.Granter[0]-'a'), r.Amount)
	}
}

func (m *model) restart(host int) {
	m.process[host]++
	m.lenders[host] = lender.New(m.now)
	m.borrowers[host] = lender.NewBorrower()
}

// trouble is how likely a message is lost, repeated, or delayed past the next one, and a host
// paused for a tick.
type trouble struct {
	lost, repeated, delayed, paused float64
}

// tick is the time between two rounds of requests.
const tick = 50 * time.Millisecond

// run sends requests at overload times the quota for a time, half of them at the first host.
func (m *model) run(ticks int, overload float64, x trouble, r *rand.Rand) {
	for range ticks {
		m.now = m.now.Add(tick)
		for units := overload * m.quota.Rate * tick.Seconds(); units > 0; {
			cost := 1 + 100*r.Float64()
			units -= cost
			host := r.IntN(len(m.lenders)) * r.IntN(2)
			if r.Float64() >= x.paused {
				m.request(host, r.IntN(len(m.lenders)), cost)
			}
		}
		m.refund(r)
		m.deliverAll(x, r)
		for host := range m.lenders {
			if r.Float64() >= x.paused {
				m.expire(host)
				m.lenders[host].Prune(m.now)
			}
		}
	}
}

// deliverAll delivers what is under way, and the answers to it, in any order.
func (m *model) deliverAll(x trouble, r *rand.Rand) {
	for range 3 {
		r.Shuffle(len(m.messages), func(a, b int) { m.messages[a], m.messages[b] = m.messages[b], m.messages[a] })
		batch := m.messages
		m.messages = nil
		for _, next := range batch {
			switch {
			case r.Float64() < x.lost:
			case r.Float64() < x.delayed:
				m.messages = append(m.messages, next)
			default:
				m.deliver(next)
				if next.kind != "return" && r.Float64() < x.repeated { // returns are numbered
					m.deliver(next)
				}
			}
		}
	}
}

// TestWindow guards against hosts that together admit more than the quota in any window, when
// messages are delayed, reordered, repeated and lost, and hosts pause and restart. Hosts that
// don't reach each other are those whose messages are lost.
func TestWindow(t *testing.T) {
	probability := func(t *rapid.T, label string) float64 {
		return rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.5}).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, lender.Granters).Draw(t, "hosts")
		burst := rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "burst")
		m := newModel(hosts, authenticator.Quota{Rate: 1000, Burst: 1000 * burst})
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range rapid.IntRange(5, 15).Draw(t, "phases") {
			x := trouble{
				lost: probability(t, "lost"), repeated: probability(t, "repeated"),
				delayed: probability(t, "delayed"), paused: probability(t, "paused"),
			}
			overload := rapid.SampledFrom([]float64{0, 0.5, 2, 7, 7, 7}).Draw(t, "overload")
			m.run(rapid.IntRange(1, 120).Draw(t, "ticks"), overload, x, r)
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				m.restart(r.IntN(hosts))
			}
		}
		if got, allowed := most(m.admitted), overFactor*(m.quota.Rate*window.Seconds()+m.quota.Burst); got > allowed {
			t.Fatalf("%.0f units in a window, %.0f allowed", got, allowed)
		}
	})
}

// TestUsable guards against units that are lost in passing: without trouble, almost the whole
// quota is charged, but for what was given back.
func TestUsable(t *testing.T) {
	is := is.New(t)
	m := newModel(lender.Granters, authenticator.Quota{Rate: 1000, Burst: 1000})
	m.run(400, 7, trouble{}, rand.New(rand.NewPCG(1, 1)))
	sum := 0.0
	for _, c := range append(m.admitted, m.refunds...) {
		sum += c.cost
	}
	t.Logf("%.3f of the quota used", sum/(m.quota.Rate*400*tick.Seconds()))
	is.True(sum >= 0.95*m.quota.Rate*400*tick.Seconds())
}

func TestLend(t *testing.T) {
	share := lender.Share{Rate: 100, Burst: 200}
	after := start.Add
	ask := func(least, most float64) lender.Ask {
		return lender.Ask{Customer: customer, Least: least, Most: most}
	}
	t.Run("a bucket is empty at the start, and fills up to the burst", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		is.Equal(l.Lend(ask(10, 10), share, start), lender.Loan{})
		is.Equal(l.Lend(ask(150, 150), share, after(time.Hour)), lender.Loan{Amount: 150, Level: 50})
	})
	t.Run("less than the least isn't lent", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		is.Equal(l.Lend(ask(101, 500), share, after(time.Second)), lender.Loan{Level: 100})
	})
	t.Run("one host borrows a part ahead", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		is.Equal(l.Lend(ask(20, 500), share, after(time.Second)), lender.Loan{Amount: 40, Level: 60})
	})
	t.Run("a lower limit binds at once", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		l.Lend(ask(1, 1), share, after(time.Hour))
		lower := lender.Share{Rate: 1, Burst: 2}
		is.Equal(l.Lend(ask(3, 3), lower, after(time.Hour)), lender.Loan{Level: 2})
	})
	t.Run("a request beyond the burst is saved for", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		a := lender.Ask{Customer: customer, Least: 500, Most: 500, Size: 500}
		is.Equal(l.Lend(a, share, after(6*time.Second)).Amount, 500.0)
	})
	t.Run("what comes back is lent again, up to the burst", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		l.Lend(ask(100, 100), share, after(time.Second))
		l.TakeBack(customer, share, 1000, after(time.Second))
		is.Equal(l.Lend(ask(1, 1), share, after(time.Second)), lender.Loan{Amount: 1, Level: 199})
	})
	t.Run("a forgotten bucket is full", func(t *testing.T) {
		is := is.New(t)
		l := lender.New(start)
		l.Lend(ask(100, 100), share, after(time.Second))
		l.Prune(after(10 * time.Second))
		is.Equal(l.Lend(ask(1, 1), share, after(10*time.Second)), lender.Loan{Amount: 1, Level: 199})
	})
}

func TestBorrower(t *testing.T) {
	t.Run("a loan is spent once, before it is over", func(t *testing.T) {
		is := is.New(t)
		b := lender.NewBorrower()
		b.Add(customer, "a", lender.Loan{Amount: 100}, start, start)
		is.True(b.Spend(customer, 60, start))
		is.True(!b.Spend(customer, 60, start))
		is.Equal(b.Missing(customer, 60, start), 20.0)
		is.True(!b.Spend(customer, 40, start.Add(time.Second)))
		is.Equal(b.Expire(start.Add(time.Second)), []lender.Return{{Granter: "a", Customer: customer, Amount: 40}})
	})
	t.Run("an answer that comes late isn't used", func(t *testing.T) {
		is := is.New(t)
		b := lender.NewBorrower()
		is.Equal(b.Add(customer, "a", lender.Loan{Amount: 100}, start, start.Add(time.Second)), 100.0)
		is.True(!b.Spend(customer, 1, start.Add(time.Second)))
	})
	t.Run("loans of several hosts add up", func(t *testing.T) {
		is := is.New(t)
		b := lender.NewBorrower()
		b.Add(customer, "a", lender.Loan{Amount: 30}, start, start)
		b.Add(customer, "b", lender.Loan{Amount: 30}, start, start)
		is.True(b.Spend(customer, 60, start))
	})
	t.Run("an account that wasn't used lately is forgotten", func(t *testing.T) {
		is := is.New(t)
		b := lender.NewBorrower()
		b.Record(customer, 1, start)
		count := func() (n int) {
			b.ForEach(start, func(identifier.Customer, lender.Counts, float64) { n++ })
			return n
		}
		b.Prune(start.Add(time.Minute))
		is.Equal(count(), 1)
		b.Prune(start.Add(time.Hour))
		is.Equal(count(), 0)
	})
	t.Run("refused callers return one after the other", func(t *testing.T) {
		is := is.New(t)
		b := lender.NewBorrower()
		is.Equal(b.Refuse(customer, 100, 50*time.Millisecond, 1000, start), 50*time.Millisecond)
		is.Equal(b.Refuse(customer, 100, 50*time.Millisecond, 1000, start), 150*time.Millisecond)
		is.Equal(b.Refuse(customer, 100, time.Hour, 1000, start), 10*time.Second)
	})
}
