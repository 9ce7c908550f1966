package limiter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// shardCount is the number of shards of the undeclared customers' buckets, a
// power of two.
const shardCount = 64

// undeclaredWait is the wait returned for a customer to which no declaration
// applies; 0 means that a retry won't help.
const undeclaredWait time.Duration = 0

// Limiter admits requests at one entry host by its shares of the customers'
// limits. It is safe for concurrent use.
type Limiter struct {
	options Options
	hosts   atomic.Int64
	// declared points to a map that is never modified; Configure replaces it.
	declared   atomic.Pointer[map[identifier.Customer]*bucket]
	undeclared atomic.Pointer[undeclaredBuckets]
}

// undeclaredBuckets holds the buckets of the customers to which the default
// declaration applies.
type undeclaredBuckets struct {
	customer *compiler.Customer // the default declaration; if nil, they are refused
	shards   [shardCount]undeclaredShard
}

type undeclaredShard struct {
	mu      sync.RWMutex
	buckets map[identifier.Customer]*bucket
}

// New returns a limiter that refuses all customers until Configure is called.
func New(options Options) *Limiter {
	l := &Limiter{options: options.withDefaults()}
	l.hosts.Store(1)
	l.Configure(nil, nil)
	return l
}

// SetKnownHosts sets the number of known entry hosts, live or not, including this
// one.
func (l *Limiter) SetKnownHosts(known int) {
	l.hosts.Store(int64(max(1, known)))
}

// Configure applies the declarations of customers. Customers whose declaration
// is unchanged keep their usage and shares.
func (l *Limiter) Configure(customers map[identifier.Customer]*compiler.Customer, defaultCustomer *compiler.Customer) {
	old := l.declared.Load()
	declared := make(map[identifier.Customer]*bucket, len(customers))
	for name, c := range customers {
		declared[name] = reuseBucket(old, name, c)
	}
	l.declared.Store(&declared)
	if current := l.undeclared.Load(); current == nil || current.customer != defaultCustomer {
		l.undeclared.Store(newUndeclared(defaultCustomer))
	}
}

func newUndeclared(c *compiler.Customer) *undeclaredBuckets {
	u := &undeclaredBuckets{customer: c}
	for i := range u.shards {
		u.shards[i].buckets = map[identifier.Customer]*bucket{}
	}
	return u
}

// reuseBucket returns the old bucket of a customer if its declaration is
// unchanged, and a new one otherwise.
func reuseBucket(old *map[identifier.Customer]*bucket, name identifier.Customer, c *compiler.Customer) *bucket {
	if old == nil {
		return &bucket{customer: c}
	}
	b := (*old)[name]
	if b != nil && *b.customer == *c {
		return b
	}
	return &bucket{customer: c}
}

// Admit reports whether the customer's request may run now and, if not, how long
// to wait before a retry. A wait of 0 means that a retry won't help.
func (l *Limiter) Admit(customer identifier.Customer, cost Cost, now time.Time) (bool, time.Duration) {
	b := l.findBucket(customer)
	if b == nil {
		return false, undeclaredWait
	}
	if !b.hasLimits() {
		return true, 0
	}
	fraction, burst := l.currentShare(b, now)
	ok, wait := b.admit(cost, fraction, burst, now.UnixNano())
	b.recordUsage(cost, ok)
	return ok, wait
}

// currentShare returns the fraction and burst that apply now. They are those of
// the latest share while it is fresh and no report has been unanswered for too
// long. Otherwise the fraction is equal for all known hosts, or that of the
// latest share if it is lower, and the burst is an equal fraction of the
// customer's burst, but at least 1.
func (l *Limiter) currentShare(b *bucket, now time.Time) (fraction, burst float64) {
	equalFraction := 1 / float64(l.hosts.Load())
	answeredAt := b.answeredAt.Load()
	if answeredAt == 0 {
		return equalFraction, max(1, burstOf(b.customer)*equalFraction)
	}
	fraction, burst = loadFloat(&b.fraction), loadFloat(&b.burst)
	unansweredSince := b.unansweredSince.Load()
	timedOut := unansweredSince != 0 && now.UnixNano()-unansweredSince > int64(l.options.AnswerTimeout)
	if timedOut || now.UnixNano()-answeredAt > int64(l.options.AnswerTimeout)*int64(l.options.LowUsageIntervals) {
		return min(fraction, equalFraction), max(1, burstOf(b.customer)*equalFraction)
	}
	return fraction, burst
}

// findBucket returns the bucket of a customer, or nil if no declaration applies.
func (l *Limiter) findBucket(name identifier.Customer) *bucket {
	if b := (*l.declared.Load())[name]; b != nil {
		return b
	}
	u := l.undeclared.Load()
	if u.customer == nil {
		return nil
	}
	return u.findOrAdd(name, l.options.MaxUndeclared)
}

// findOrAdd returns the bucket of a customer and creates it if necessary. It
// discards all buckets of a full shard.
func (u *undeclaredBuckets) findOrAdd(name identifier.Customer, limit int) *bucket {
	s := &u.shards[shardIndex(name)]
	s.mu.RLock()
	b := s.buckets[name]
	s.mu.RUnlock()
	if b != nil {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[name]; b != nil {
		return b
	}
	if len(s.buckets) >= max(1, limit/shardCount) {
		s.buckets = map[identifier.Customer]*bucket{}
	}
	c := *u.customer
	c.Name = name
	b = &bucket{customer: &c}
	s.buckets[name] = b
	return b
}

// Report returns the usage to report now, sorted by customer name. It must be
// called once per interval.
func (l *Limiter) Report(now time.Time) []Usage {
	var usages []Usage
	for _, b := range *l.declared.Load() {
		usages = l.appendUsage(usages, b, now)
	}
	u := l.undeclared.Load()
	for i := range u.shards {
		s := &u.shards[i]
		s.mu.RLock()
		for _, b := range s.buckets {
			usages = l.appendUsage(usages, b, now)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usages
}

// appendUsage appends the bucket's usage, unless there is none or it is low and
// was reported less than LowUsageIntervals ago.
func (l *Limiter) appendUsage(usages []Usage, b *bucket, now time.Time) []Usage {
	wanted := float64(b.wantedRequests.Load())
	tokens := float64(b.wantedTokens.Load())
	if wanted == 0 && tokens == 0 {
		return usages
	}
	fraction, _ := l.currentShare(b, now)
	intervals := l.options.Interval.Seconds() * float64(b.skippedIntervals.Load()+1)
	lowUsage := 2*wanted < b.customer.RequestsPerSecond*fraction*intervals &&
		2*tokens <= b.customer.TokensPerSecond*fraction*intervals
	if lowUsage && int(b.skippedIntervals.Add(1)) < l.options.LowUsageIntervals {
		return usages
	}
	b.skippedIntervals.Store(0)
	b.unansweredSince.CompareAndSwap(0, now.UnixNano())
	return append(usages, b.takeUsage())
}

// ApplyShares applies the shares of a coordinator's response.
func (l *Limiter) ApplyShares(shares []Share, now time.Time) {
	for _, s := range shares {
		b := l.findBucket(s.Customer)
		if b == nil || s.Fraction <= 0 {
			continue
		}
		storeFloat(&b.fraction, s.Fraction)
		storeFloat(&b.burst, s.Burst)
		b.answeredAt.Store(now.UnixNano())
		b.unansweredSince.Store(0)
	}
}

func shardIndex(name identifier.Customer) uint64 {
	hash := uint64(14695981039346656037) // FNV-1a
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return (hash ^ hash>>32) % shardCount
}
