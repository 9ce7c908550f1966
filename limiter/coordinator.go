package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// demandSmoothing is the weight of the latest report in a host's
	// exponentially weighted moving averages of demand and usage.
	demandSmoothing = 0.5
	// levelCorrectionTime is the time over which the rate is adjusted to bring a
	// level back to its target. The target is targetLevel times the burst, and
	// maxRateFactor limits the adjustment.
	levelCorrectionTime = 4 * time.Second
	targetLevel         = 0.1
	maxRateFactor       = 2.0
	// burstFactor is the ratio of a host's fraction of the level to its fraction
	// of the rate. headroomFactor multiplies each host's equal part of the rate
	// that no host demands.
	burstFactor    = 3
	headroomFactor = 2
	// maxExtrapolation is the longest time for which a host is assumed to admit
	// requests at the same rate as before its last report.
	maxExtrapolation = 2 * time.Second
	// minFraction is the minimum fraction of the rate that a host gets.
	minFraction = 0.001
	// maxDebtSeconds bounds how far a level can fall below 0, in seconds of the
	// rate.
	maxDebtSeconds = 10
)

// Coordinator divides customers' limits among the entry hosts. It runs on the
// host that coordinates a customer. It is not safe for concurrent use.
type Coordinator struct {
	options         Options
	customers       map[identifier.Customer]*compiler.Customer
	defaultCustomer *compiler.Customer
	liveHosts       int
	knownHosts      int
	states          map[identifier.Customer]*customerState
}

// customerState is a coordinator's state for one customer.
type customerState struct {
	customer *compiler.Customer
	// requestLevel and tokenLevel are the levels of the customer's token buckets:
	// the requests and tokens that may still be used at once. They are negative
	// if the hosts admitted too much.
	requestLevel float64
	tokenLevel   float64
	refilledAt   time.Time
	// unreported is what the hosts are estimated to have admitted since their
	// last reports.
	unreported Cost
	hosts      []hostDemand // sorted by incarnation
}

// hostDemand is a host's demand and usage, smoothed over its reports.
type hostDemand struct {
	host identifier.Incarnation
	// fraction is the host's demand as a fraction of the customer's rate. It can
	// be above 1.
	fraction float64
	// usedRate is the admitted cost per second.
	usedRate   Cost
	reportedAt time.Time
}

// NewCoordinator returns a coordinator without customers.
func NewCoordinator(options Options) *Coordinator {
	return &Coordinator{options: options.withDefaults(), liveHosts: 1, knownHosts: 1, states: map[identifier.Customer]*customerState{}}
}

// Configure applies the declarations of customers. Customers whose declaration
// is unchanged keep their state.
func (c *Coordinator) Configure(customers map[identifier.Customer]*compiler.Customer, defaultCustomer *compiler.Customer) {
	c.customers, c.defaultCustomer = customers, defaultCustomer
	for name, s := range c.states {
		declared := c.declared(name)
		if declared == nil || *declared != *s.customer {
			delete(c.states, name)
			continue
		}
		s.customer = declared
	}
}

// SetHosts sets the number of live entry hosts and the number of known ones,
// which includes hosts that may be on the other side of a network partition.
func (c *Coordinator) SetHosts(live, known int) {
	c.liveHosts = max(1, live)
	c.knownHosts = max(c.liveHosts, known)
}

// RemoveHost removes a dead or leaving host and frees its shares.
func (c *Coordinator) RemoveHost(host identifier.Incarnation) {
	for _, s := range c.states {
		s.removeHosts(func(d hostDemand) bool { return d.host == host })
	}
}

// Report records a host's usage and returns its shares.
func (c *Coordinator) Report(host identifier.Incarnation, usages []Usage, now time.Time) []Share {
	shares := make([]Share, 0, len(usages))
	for i := range usages {
		s := c.stateOf(usages[i].Customer, now)
		if s == nil {
			continue
		}
		s.refill(c.liveFraction(), now)
		s.recordUsage(host, &usages[i], c.options, now)
		shares = append(shares, s.shareFor(host, c.liveHosts, c.liveFraction()))
	}
	return shares
}

// liveFraction returns the fraction of the known hosts that are live, which is
// the fraction of the limits that this side of a network partition may use.
func (c *Coordinator) liveFraction() float64 {
	return float64(c.liveHosts) / float64(c.knownHosts)
}

// Expire removes hosts that stopped reporting, and customers that no host
// reports any more once their level has reached the burst.
func (c *Coordinator) Expire(now time.Time) {
	for name, s := range c.states {
		s.removeHostsBefore(now.Add(-c.reportTimeout()))
		if len(s.hosts) == 0 && s.requestLevel >= burstOf(s.customer) {
			delete(c.states, name)
		}
		s.refill(c.liveFraction(), now)
	}
}

// reportTimeout returns how long a host that stopped reporting is counted.
func (c *Coordinator) reportTimeout() time.Duration {
	return c.options.AnswerTimeout * time.Duration(c.options.LowUsageIntervals)
}

// declared returns the customer's declaration or, without one, the default
// declaration, which may be nil.
func (c *Coordinator) declared(name identifier.Customer) *compiler.Customer {
	if declared := c.customers[name]; declared != nil {
		return declared
	}
	return c.defaultCustomer
}

// stateOf returns the state of a customer and creates it if necessary. It
// returns nil if no declaration applies.
func (c *Coordinator) stateOf(name identifier.Customer, now time.Time) *customerState {
	if s := c.states[name]; s != nil {
		return s
	}
	declared := c.declared(name)
	if declared == nil {
		return nil
	}
	s := &customerState{
		customer:     declared,
		requestLevel: burstOf(declared),
		tokenLevel:   declared.TokensPerSecond * defaultBurst.Seconds(),
		refilledAt:   now,
	}
	c.states[name] = s
	return s
}

// refill raises the levels by the rates times the elapsed time. The burst limits
// the levels less the estimated unreported usage.
func (s *customerState) refill(liveFraction float64, now time.Time) {
	elapsed := now.Sub(s.refilledAt).Seconds() * liveFraction
	s.refilledAt = now
	s.unreported = s.expectedUsage(now)
	maxLevel := burstOf(s.customer) + s.unreported.Requests
	s.requestLevel = min(maxLevel, s.requestLevel+elapsed*s.customer.RequestsPerSecond)
	maxLevel = s.customer.TokensPerSecond*defaultBurst.Seconds() + s.unreported.Tokens
	s.tokenLevel = min(maxLevel, s.tokenLevel+elapsed*s.customer.TokensPerSecond)
}

// expectedUsage estimates what the hosts have admitted since their last reports.
func (s *customerState) expectedUsage(now time.Time) Cost {
	var sum Cost
	for _, d := range s.hosts {
		elapsed := min(now.Sub(d.reportedAt), maxExtrapolation).Seconds()
		sum.Requests += d.usedRate.Requests * elapsed
		sum.Tokens += d.usedRate.Tokens * elapsed
	}
	return sum
}

func (s *customerState) recordUsage(host identifier.Incarnation, u *Usage, o Options, now time.Time) {
	s.requestLevel = max(s.requestLevel-u.Admitted.Requests, -maxDebtSeconds*s.customer.RequestsPerSecond)
	s.tokenLevel = max(s.tokenLevel-u.Admitted.Tokens, -maxDebtSeconds*s.customer.TokensPerSecond)
	d := s.demandOf(host, now.Add(-o.Interval*time.Duration(o.LowUsageIntervals)))
	elapsed := max(o.Interval, now.Sub(d.reportedAt)).Seconds()
	d.fraction += demandSmoothing * (s.wantedSeconds(u)/elapsed - d.fraction)
	d.usedRate.Requests += demandSmoothing * (u.Admitted.Requests/elapsed - d.usedRate.Requests)
	d.usedRate.Tokens += demandSmoothing * (u.Admitted.Tokens/elapsed - d.usedRate.Tokens)
	d.reportedAt = now
	s.removeHostsBefore(now.Add(-o.AnswerTimeout * time.Duration(o.LowUsageIntervals)))
	s.unreported = s.expectedUsage(now)
}

// wantedSeconds returns the wanted cost in seconds of the customer's rate. The
// request and token limits can give different values; it returns the larger.
func (s *customerState) wantedSeconds(u *Usage) float64 {
	seconds := 0.0
	if s.customer.RequestsPerSecond > 0 {
		seconds = u.Wanted.Requests / s.customer.RequestsPerSecond
	}
	if s.customer.TokensPerSecond > 0 {
		seconds = max(seconds, u.Wanted.Tokens/s.customer.TokensPerSecond)
	}
	return seconds
}

// demandOf returns the demand of a host. For a new host, it adds a demand with
// since as the time of the last report.
func (s *customerState) demandOf(host identifier.Incarnation, since time.Time) *hostDemand {
	index, ok := slices.BinarySearchFunc(s.hosts, host, func(d hostDemand, h identifier.Incarnation) int {
		return cmp.Compare(d.host, h)
	})
	if !ok {
		s.hosts = slices.Insert(s.hosts, index, hostDemand{host: host, reportedAt: since})
	}
	return &s.hosts[index]
}

func (s *customerState) removeHostsBefore(before time.Time) {
	s.removeHosts(func(d hostDemand) bool { return d.reportedAt.Before(before) })
}

func (s *customerState) removeHosts(match func(hostDemand) bool) {
	s.hosts = slices.DeleteFunc(s.hosts, match)
}

// shareFor returns a host's share. If the total demand exceeds the rate, the rate
// is divided in proportion to demand. Otherwise each host gets its demand and
// headroomFactor times an equal part of the rest.
func (s *customerState) shareFor(host identifier.Incarnation, live int, liveFraction float64) Share {
	total := 0.0
	for _, d := range s.hosts {
		total += d.fraction
	}
	own := s.demandOf(host, s.refilledAt).fraction
	rate := liveFraction * s.rateFactor()
	fraction := own * rate / max(total, rate)
	fraction += headroomFactor * max(0, rate-total) / float64(max(live, len(s.hosts)))
	return Share{
		Customer: s.customer.Name,
		Fraction: min(1, max(minFraction, fraction)),
		Burst:    s.burstFor(fraction),
	}
}

// rateFactor returns the factor on the rate that brings the levels to their
// targets: below 1 if the hosts admitted too much for the customer, above 1 if
// they admitted less than the limit allows.
func (s *customerState) rateFactor() float64 {
	factor := maxRateFactor
	if rate := s.customer.RequestsPerSecond; rate > 0 {
		excess := s.requestLevel - s.unreported.Requests - targetLevel*burstOf(s.customer)
		factor = min(factor, 1+excess/(rate*levelCorrectionTime.Seconds()))
	}
	if rate := s.customer.TokensPerSecond; rate > 0 {
		excess := s.tokenLevel - s.unreported.Tokens - targetLevel*rate*defaultBurst.Seconds()
		factor = min(factor, 1+excess/(rate*levelCorrectionTime.Seconds()))
	}
	return max(0, factor)
}

// burstFor returns the burst of a host with a fraction of the rate: one request
// plus a larger fraction of the level, since hosts rarely need their bursts at
// the same time.
func (s *customerState) burstFor(fraction float64) float64 {
	return 1 + max(0, s.requestLevel-s.unreported.Requests)*min(1, burstFactor*fraction)
}
