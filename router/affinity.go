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

// Bounds on the endpoints that one decision examines, so that its cost doesn't
// depend on the number of endpoints.
const (
	maxLeastLoaded = 7
	maxRingSteps   = 16
)

// AffinityOptions configures PrefixAffinity. Zero fields take defaults.
type AffinityOptions struct {
	// LeadingBlocks is the number of leading blocks that determine a prompt's
	// key on the hash ring.
	LeadingBlocks int
	// Slack is how much longer a prompt may wait at its endpoint on the ring
	// than at the least loaded endpoint.
	Slack time.Duration
	// BlockTokens is the number of tokens in a block.
	BlockTokens identifier.Tokens
	// IndexLimit is the maximum number of blocks in the cache index.
	IndexLimit int
	// TimeToLive is how long a block is assumed to be cached after the last
	// placement or engine event for it.
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

// PrefixAffinity picks the endpoint with the lowest estimated time to the end
// of the prompt's prefill: the queueing delay plus the prefill of the tokens
// that the endpoint has not cached. Prompts with the same leading blocks map to
// the same endpoint of a consistent hash ring, which is preferred while its
// load exceeds the minimum by no more than AffinityOptions.Slack.
type PrefixAffinity struct {
	options AffinityOptions
	ring    *Ring
	index   *CacheIndex
}

// NewPrefixAffinity returns a policy for the named endpoints, with an empty
// cache index.
func NewPrefixAffinity(endpoints []identifier.Endpoint, options AffinityOptions) *PrefixAffinity {
	options = options.withDefaults()
	return &PrefixAffinity{
		options: options,
		ring:    NewRing(endpoints),
		index:   NewCacheIndex(options.IndexLimit, options.TimeToLive),
	}
}

// BlockTokens returns the number of tokens in a block.
func (p *PrefixAffinity) BlockTokens() identifier.Tokens {
	return p.options.BlockTokens
}

// candidate is an endpoint with its estimated cost in seconds, less any
// discount.
type candidate struct {
	endpoint     int32
	cachedBlocks int
	cost         float64
	found        bool
}

// Pick implements Policy. Its running time doesn't depend on the number of
// endpoints, and it allocates nothing.
func (p *PrefixAffinity) Pick(t *Table, q Query, now time.Time) (endpoint int32, cachedBlocks int, ok bool) {
	var best candidate
	p.tryLeastLoaded(t, &q, &best)
	if len(q.Blocks) > 0 {
		p.tryCacheHolders(t, &q, now, &best)
		p.tryRing(t, &q, &best)
	}
	return best.endpoint, best.cachedBlocks, best.found
}

// RecordPlacement implements Policy.
func (p *PrefixAffinity) RecordPlacement(blocks []identifier.BlockHash, endpoint int32, now time.Time) {
	for _, b := range blocks {
		p.index.Add(b, endpoint, now)
	}
}

// RecordCacheEvent records an engine's event that a block was added to its
// cache or evicted from it.
func (p *PrefixAffinity) RecordCacheEvent(block identifier.BlockHash, endpoint int32, evicted bool, now time.Time) {
	if evicted {
		p.index.Evict(block, endpoint)
		return
	}
	p.index.Add(block, endpoint, now)
}

// SetEndpoints replaces the list of endpoints. moved maps the old number of each
// endpoint that remains to its new one; their cached blocks stay in the index.
func (p *PrefixAffinity) SetEndpoints(endpoints []identifier.Endpoint, moved map[int32]int32) {
	p.ring = NewRing(endpoints)
	p.index.Renumber(moved)
}

// Forget removes an endpoint from the cache index.
func (p *PrefixAffinity) Forget(endpoint int32) {
	p.index.Forget(endpoint)
}

// tryLeastLoaded tries the first endpoint at the head of the heap that isn't
// excluded.
func (p *PrefixAffinity) tryLeastLoaded(t *Table, q *Query, best *candidate) {
	for position := range min(maxLeastLoaded, t.Len()) {
		p.tryEndpoint(t, q, t.At(position), 0, 0, best)
		if best.found {
			return
		}
	}
}

// tryCacheHolders tries the endpoints that cache the longest prefix of the
// prompt.
func (p *PrefixAffinity) tryCacheHolders(t *Table, q *Query, now time.Time, best *candidate) {
	var found [maxHolders]int32
	depth, count := p.index.LongestPrefix(q.Blocks, now, &found)
	for i := range count {
		if t.Has(found[i]) {
			p.tryEndpoint(t, q, found[i], depth, 0, best)
		}
	}
}

// tryRing tries the first usable endpoint on the ring at or after the key of
// the prompt's leading blocks, with the slack as its discount.
func (p *PrefixAffinity) tryRing(t *Table, q *Query, best *candidate) {
	key := uint64(q.Blocks[min(p.options.LeadingBlocks, len(q.Blocks))-1])
	position := p.ring.successor(splitMix64(key))
	for range min(maxRingSteps, len(p.ring.nodes)) {
		endpoint := p.ring.nodes[position].endpoint
		if t.Has(endpoint) && !q.excludes(endpoint) {
			p.tryEndpoint(t, q, endpoint, 0, p.options.Slack.Seconds(), best)
			return
		}
		position = (position + 1) % len(p.ring.nodes)
	}
}

// tryEndpoint makes the endpoint the best candidate if its cost, less the
// discount in seconds, is the lowest so far.
func (p *PrefixAffinity) tryEndpoint(t *Table, q *Query, endpoint int32, cachedBlocks int, discount float64, best *candidate) {
	if q.excludes(endpoint) {
		return
	}
	tokens := float64(q.PromptTokens) - float64(cachedBlocks)*float64(p.options.BlockTokens)
	cost := max(0, t.Load(endpoint)-q.Clock) - discount
	if q.Rate > 0 {
		cost += max(0, tokens) / q.Rate
	}
	if best.found && cost >= best.cost {
		return
	}
	*best = candidate{endpoint: endpoint, cachedBlocks: cachedBlocks, cost: cost, found: true}
}
