package router

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Defaults of AffinityOptions.
const (
	defaultLeadingBlocks = 4
	defaultSlack         = 100 * time.Millisecond
	defaultBlockTokens   = 64
	defaultIndexLimit    = 200_000
	defaultTimeToLive    = 2 * time.Minute
)

// candidates of one decision, at most.
const (
	heapCandidates = 7
	ringSteps      = 16
)

// AffinityOptions are the knobs of PrefixAffinity; zero fields get defaults.
type AffinityOptions struct {
	// LeadingBlocks is how many blocks decide a prompt's place on the ring.
	LeadingBlocks int
	// Slack is how much longer a prompt may wait at its endpoint on the ring
	// than at the least loaded one.
	Slack time.Duration
	// BlockTokens is the number of tokens in a block.
	BlockTokens identifier.Tokens
	// IndexLimit bounds the blocks that are remembered.
	IndexLimit int
	// TimeToLive is how long a block is believed to be cached after it was
	// last seen.
	TimeToLive time.Duration
}

func (o AffinityOptions) withDefaults() AffinityOptions {
	if o.LeadingBlocks == 0 {
		o.LeadingBlocks = defaultLeadingBlocks
	}
	if o.Slack == 0 {
		o.Slack = defaultSlack
	}
	if o.BlockTokens == 0 {
		o.BlockTokens = defaultBlockTokens
	}
	if o.IndexLimit == 0 {
		o.IndexLimit = defaultIndexLimit
	}
	if o.TimeToLive == 0 {
		o.TimeToLive = defaultTimeToLive
	}
	return o
}

// PrefixAffinity picks the endpoint at which the prompt's prefill is expected
// to end first: the wait there plus the prefill of what it doesn't cache.
// Prompts with the same leading blocks meet at the same endpoint of a ring
// for as long as its load is not above the least by more than the slack.
type PrefixAffinity struct {
	options AffinityOptions
	ring    *Ring
	index   *CacheIndex
}

// NewPrefixAffinity gives the policy for the named endpoints.
func NewPrefixAffinity(endpoints []identifier.Endpoint, options AffinityOptions) *PrefixAffinity {
	options = options.withDefaults()
	return &PrefixAffinity{
		options: options,
		ring:    NewRing(endpoints),
		index:   NewCacheIndex(options.IndexLimit, options.TimeToLive),
	}
}

// BlockTokens gives the number of tokens in a block.
func (p *PrefixAffinity) BlockTokens() identifier.Tokens {
	return p.options.BlockTokens
}

// choice is the best candidate so far.
type choice struct {
	endpoint int32
	cached   int
	cost     float64
	found    bool
}

// Pick implements Policy. It takes constant time and allocates nothing.
func (p *PrefixAffinity) Pick(t *Table, q Query, now time.Time) (endpoint int32, cachedBlocks int, ok bool) {
	var best choice
	p.considerHeap(t, &q, &best)
	if len(q.Blocks) > 0 {
		p.considerHolders(t, &q, now, &best)
		p.considerRing(t, &q, &best)
	}
	return best.endpoint, best.cached, best.found
}

// Placed implements Policy.
func (p *PrefixAffinity) Placed(blocks []identifier.BlockHash, endpoint int32, now time.Time) {
	for _, b := range blocks {
		p.index.Add(b, endpoint, now)
	}
}

// Cached takes in an engine's event on one block.
func (p *PrefixAffinity) Cached(block identifier.BlockHash, endpoint int32, evicted bool, now time.Time) {
	if evicted {
		p.index.Evict(block, endpoint)
		return
	}
	p.index.Add(block, endpoint, now)
}

// Renumber takes in a new list of endpoints; moved gives the new number of
// each old one that stays. What their caches hold is still known.
func (p *PrefixAffinity) Renumber(endpoints []identifier.Endpoint, moved map[int32]int32) {
	p.ring = NewRing(endpoints)
	p.index.Renumber(moved)
}

// Forget drops what is believed of an endpoint's cache.
func (p *PrefixAffinity) Forget(endpoint int32) {
	p.index.Forget(endpoint)
}

func (p *PrefixAffinity) considerHeap(t *Table, q *Query, best *choice) {
	for place := range min(heapCandidates, t.Len()) {
		p.consider(t, q, t.At(place), 0, 0, best)
		if best.found {
			return
		}
	}
}

func (p *PrefixAffinity) considerHolders(t *Table, q *Query, now time.Time, best *choice) {
	var found [holdersPerBlock]int32
	depth, count := p.index.Longest(q.Blocks, now, &found)
	for i := range count {
		if t.Has(found[i]) {
			p.consider(t, q, found[i], depth, 0, best)
		}
	}
}

func (p *PrefixAffinity) considerRing(t *Table, q *Query, best *choice) {
	key := uint64(q.Blocks[min(p.options.LeadingBlocks, len(q.Blocks))-1])
	place := p.ring.find(mix(key))
	for range min(ringSteps, len(p.ring.points)) {
		endpoint := p.ring.points[place].endpoint
		if t.Has(endpoint) && !q.excludes(endpoint) {
			p.consider(t, q, endpoint, 0, p.options.Slack.Seconds(), best)
			return
		}
		place = (place + 1) % len(p.ring.points)
	}
}

// consider keeps the endpoint if it costs less than the best so far; bonus is
// taken off its cost, in seconds.
func (p *PrefixAffinity) consider(t *Table, q *Query, endpoint int32, cached int, bonus float64, best *choice) {
	if q.excludes(endpoint) {
		return
	}
	tokens := float64(q.PromptTokens) - float64(cached)*float64(p.options.BlockTokens)
	cost := max(0, t.Load(endpoint)-q.Clock) - bonus
	if q.Rate > 0 {
		cost += max(0, tokens) / q.Rate
	}
	if best.found && cost >= best.cost {
		return
	}
	*best = choice{endpoint: endpoint, cached: cached, cost: cost, found: true}
}
