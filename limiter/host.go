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

// shards of the map of undeclared customers; a power of two.
const shards = 64

// unlisted is the wait that a customer without any declaration is told.
const unlisted time.Duration = 0

// Limiter is the part of an entry host.
type Limiter struct {
	options Options
	hosts   atomic.Int64
	// declared is replaced whole by Configure.
	declared   atomic.Pointer[map[identifier.Customer]*bucket]
	undeclared atomic.Pointer[undeclared]
}

// undeclared are the customers that the default declaration holds for.
type undeclared struct {
	customer *compiler.Customer // nil: they are refused
	shards   [shards]undeclaredShard
}

type undeclaredShard struct {
	lock    sync.RWMutex
	buckets map[identifier.Customer]*bucket
}

// New gives a limiter that refuses all customers until it is configured.
func New(options Options) *Limiter {
	l := &Limiter{options: options.withDefaults()}
	l.hosts.Store(1)
	l.Configure(nil, nil)
	return l
}

// SetHosts says how many entry hosts are known, live or not, this one
// included.
func (l *Limiter) SetHosts(known int) {
	l.hosts.Store(int64(max(1, known)))
}

// Configure puts declarations in force. What customers have used stays
// counted where their rate is unchanged.
func (l *Limiter) Configure(customers map[identifier.Customer]*compiler.Customer, other *compiler.Customer) {
	old := l.declared.Load()
	declared := make(map[identifier.Customer]*bucket, len(customers))
	for name, c := range customers {
		declared[name] = carryOver(old, name, c)
	}
	l.declared.Store(&declared)
	if now := l.undeclared.Load(); now == nil || now.customer != other {
		l.undeclared.Store(newUndeclared(other))
	}
}

func newUndeclared(c *compiler.Customer) *undeclared {
	u := &undeclared{customer: c}
	for i := range u.shards {
		u.shards[i].buckets = map[identifier.Customer]*bucket{}
	}
	return u
}

func carryOver(old *map[identifier.Customer]*bucket, name identifier.Customer, c *compiler.Customer) *bucket {
	if old == nil {
		return &bucket{customer: c}
	}
	b := (*old)[name]
	if b != nil && *b.customer == *c {
		return b
	}
	return &bucket{customer: c}
}

// Admit tells whether the customer's request may run now, and otherwise when
// to come back; 0: it won't help.
func (l *Limiter) Admit(customer identifier.Customer, cost Cost, now time.Time) (bool, time.Duration) {
	b := l.find(customer)
	if b == nil {
		return false, unlisted
	}
	if !b.limited() {
		return true, 0
	}
	part, burst := l.share(b, now)
	ok, wait := b.admit(cost, part, burst, now.UnixNano())
	b.note(cost, ok)
	return ok, wait
}

// share gives the part and burst in force: the latest answer's while it is
// fresh and no report has gone unanswered for too long, and the fair part of all known hosts otherwise, if that is less.
func (l *Limiter) share(b *bucket, now time.Time) (part, burst float64) {
	fair := 1 / float64(l.hosts.Load())
	answered := b.answered.Load()
	if answered == 0 {
		return fair, max(1, burstOf(b.customer)*fair)
	}
	part, burst = load(&b.part), load(&b.burst)
	asked := b.asked.Load()
	cutOff := asked != 0 && now.UnixNano()-asked > int64(l.options.AnswerLimit)
	if cutOff || now.UnixNano()-answered > int64(l.options.AnswerLimit)*int64(l.options.CalmInterval) {
		return min(part, fair), max(1, burstOf(b.customer)*fair)
	}
	return part, burst
}

func (l *Limiter) find(name identifier.Customer) *bucket {
	if b := (*l.declared.Load())[name]; b != nil {
		return b
	}
	u := l.undeclared.Load()
	if u.customer == nil {
		return nil
	}
	return u.find(name, l.options.Undeclared)
}

func (u *undeclared) find(name identifier.Customer, limit int) *bucket {
	s := &u.shards[shardOf(name)]
	s.lock.RLock()
	b := s.buckets[name]
	s.lock.RUnlock()
	if b != nil {
		return b
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if b := s.buckets[name]; b != nil {
		return b
	}
	if len(s.buckets) >= max(1, limit/shards) {
		s.buckets = map[identifier.Customer]*bucket{}
	}
	c := *u.customer
	c.Name = name
	b = &bucket{customer: &c}
	s.buckets[name] = b
	return b
}

// Report gives the usage to report now, in order of the customers' names. It
// is called once an interval.
func (l *Limiter) Report(now time.Time) []Usage {
	var usages []Usage
	for _, b := range *l.declared.Load() {
		usages = l.report(usages, b, now)
	}
	u := l.undeclared.Load()
	for i := range u.shards {
		s := &u.shards[i]
		s.lock.RLock()
		for _, b := range s.buckets {
			usages = l.report(usages, b, now)
		}
		s.lock.RUnlock()
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usages
}

func (l *Limiter) report(usages []Usage, b *bucket, now time.Time) []Usage {
	wanted := float64(b.wantedRequests.Load())
	tokens := float64(b.wantedTokens.Load())
	if wanted == 0 && tokens == 0 {
		return usages
	}
	part, _ := l.share(b, now)
	intervals := l.options.Interval.Seconds() * float64(b.skipped.Load()+1)
	calm := 2*wanted < b.customer.RequestsPerSecond*part*intervals &&
		2*tokens <= b.customer.TokensPerSecond*part*intervals
	if calm && int(b.skipped.Add(1)) < l.options.CalmInterval {
		return usages
	}
	b.skipped.Store(0)
	b.asked.CompareAndSwap(0, now.UnixNano())
	return append(usages, b.take())
}

// Answer takes in a coordinator's shares.
func (l *Limiter) Answer(shares []Share, now time.Time) {
	for _, s := range shares {
		b := l.find(s.Customer)
		if b == nil || s.Part <= 0 {
			continue
		}
		store(&b.part, s.Part)
		store(&b.burst, s.Burst)
		b.answered.Store(now.UnixNano())
		b.asked.Store(0)
	}
}

func shardOf(name identifier.Customer) uint64 {
	hash := uint64(14695981039346656037) // FNV-1a
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return (hash ^ hash>>32) % shards
}
