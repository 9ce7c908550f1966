// Package placer chooses the endpoint that a call goes to, from what this host
// has seen of the endpoints: what it has sent there, what they said of their
// load, how long they took and how they failed. It decides only: it has no
// I/O, no clock and no goroutines.
//
// # Usage
//
//	p := placer.New(placer.Options{DataCenter: "tw-north-1"}, seed)
//	e := p.Plain(snapshot.Endpoints("dealer-desk"), exclude, now)
//	p.Begin(e, 0, now)
//	...
//	p.End(e, placer.Outcome{...}, now)
//
// # What makes an endpoint avoided
//
// An endpoint that can't be connected to, goes silent or sends nonsense is
// avoided until somebody has connected to it again: [Placer.Due] names the
// endpoints whose turn it is to be probed, at times that double with each
// further failure. An endpoint that merely answers with failures, or is slow,
// loses rank against the others, since callers see such answers from sound
// endpoints as well. An endpoint that is avoided gets calls only where there
// is no other; one that can't be reached gets none.
//
// When several calls in a row to a data centre's endpoints got no answer, all of
// its endpoints are doubted for a while: after the sound ones, before those
// that failed themselves.
package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// failurePenalty is the power to which the share of sound answers counts
	// against latency.
	failurePenalty = 4
	// unknownLatency is assumed of an endpoint that was not called yet.
	unknownLatency = 20 * time.Millisecond
	// otherPlaceCost is the factor on endpoints in other data centres.
	otherPlaceCost = 1.15
	// farDecode is the factor on decode engines in other data centres than the
	// request's home.
	farDecode = 1.4
	// loadLife is how long an endpoint's word on its load is believed.
	loadLife = 500 * time.Millisecond
)

// Options of a Placer.
type Options struct {
	// DataCenter of this host, whose endpoints are preferred.
	DataCenter identifier.DataCenter
}

// Verdict is what a call's end says of its endpoint.
type Verdict uint8

// Verdicts on endpoints.
const (
	// VerdictSound: it answered as it should.
	VerdictSound Verdict = iota
	// VerdictFailure: it answered that it failed.
	VerdictFailure
	// VerdictFull: it refused for want of room.
	VerdictFull
	// VerdictUnfit: it refused what it had reserved room for.
	VerdictUnfit
	// VerdictBroken: it broke off, sent nonsense or went silent.
	VerdictBroken
	// VerdictUnreachable: no connection to it could be opened.
	VerdictUnreachable
	// VerdictNone: the caller went away or another endpoint was faster.
	VerdictNone
)

// Outcome is how a call ended.
type Outcome struct {
	Verdict Verdict
	// Latency of a sound call, until its answer was whole or its first event
	// came; 0: not known.
	Latency time.Duration
}

// Load is what an endpoint says of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Placer holds what has been seen of endpoints. It is safe for use by several
// goroutines.
type Placer struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	states map[identifier.Endpoint]*state
	places map[identifier.DataCenter]*place
}

// state is what is known of one endpoint.
type state struct {
	started  int64
	running  int // calls of this host
	tokens   identifier.Tokens
	latency  float64 // seconds; 0: unknown
	failures float64 // share of late, between 0 and 1
	load     Load
	loadAt   time.Time

	broken int // failures in a row
	// unreachable is set while nobody has connected since a try that failed.
	unreachable bool
	avoidUntil  time.Time
	probing     bool // somebody looks whether it can be reached again
	fullUntil   time.Time
	unfit       int // refusals of what was reserved, in a row
}

// New gives a Placer that has seen nothing; the seed decides its draws.
func New(o Options, seed uint64) *Placer {
	return &Placer{
		options: o,
		random:  rand.New(rand.NewPCG(seed, seed)),
		states:  map[identifier.Endpoint]*state{},
		places:  map[identifier.DataCenter]*place{},
	}
}

// state gives what is known of e, nothing if it has started anew; p.mu is
// held.
func (p *Placer) state(e *registrar.Endpoint) *state {
	s := p.states[e.Name]
	if s == nil || s.started != e.Started {
		s = &state{started: e.Started}
		p.states[e.Name] = s
	}
	return s
}

// Forget drops what is known of endpoints that are registered no more.
func (p *Placer) Forget(registered func(identifier.Endpoint) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.states {
		if !registered(name) {
			delete(p.states, name)
		}
	}
}

// Plain chooses an instance of a plain service; nil: there is none that takes
// new work. Doubted and avoided ones are chosen only if there are no others.
func (p *Placer) Plain(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time) *registrar.Endpoint {
	return p.best(all, exclude, now, func(e *registrar.Endpoint, s *state) float64 {
		return p.plainCost(e, s, now)
	})
}

// plainCost is the time that a call is expected to take, made longer by the
// share of failures.
func (p *Placer) plainCost(e *registrar.Endpoint, s *state, now time.Time) float64 {
	latency := s.latency
	if latency == 0 {
		latency = unknownLatency.Seconds()
	}
	slots := float64(max(1, e.Slots))
	occupied := float64(s.running)
	if now.Sub(s.loadAt) < loadLife {
		occupied = max(occupied, float64(s.load.Running+s.load.Waiting))
	}
	sound := math.Pow(max(0.05, 1-s.failures), failurePenalty)
	return latency * (1 + occupied/slots) / sound * p.placeCost(e)
}

func decodeCost(e *registrar.Endpoint, near identifier.DataCenter) float64 {
	if e.DataCenter == near {
		return 1
	}
	return farDecode
}

func (p *Placer) placeCost(e *registrar.Endpoint) float64 {
	if e.DataCenter == p.options.DataCenter {
		return 1
	}
	return otherPlaceCost
}

// Prefill chooses the engine that is expected to have read a prompt first; nil:
// there is none that isn't avoided.
func (p *Placer) Prefill(all []*registrar.Endpoint, near identifier.DataCenter, exclude []identifier.Endpoint, now time.Time) *registrar.Endpoint {
	chosen, rank := p.choose(all, exclude, now, func(e *registrar.Endpoint, s *state) float64 {
		if e.Stage == registrar.StageDecode {
			return math.Inf(1)
		}
		cost := float64(s.tokens) + prefillBase
		if now.Sub(s.loadAt) < loadLife {
			others := max(0, s.load.Running+s.load.Waiting-s.running)
			cost += float64(others) * usualPrompt
		}
		if e.DataCenter != near {
			cost += farPrefill
		}
		return cost / math.Pow(max(0.05, 1-s.failures), failurePenalty)
	})
	if rank == rankAvoided {
		return nil
	}
	return chosen
}

// Tokens gives the tokens that are counted at e.
func (p *Placer) Tokens(e *registrar.Endpoint) identifier.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(e).tokens
}

const (
	// prefillBase keeps idle engines comparable by their failures.
	prefillBase = 1000
	// usualPrompt stands for a prompt of unknown length.
	usualPrompt = 5000
	// farPrefill is what a transfer to another data centre counts for, in
	// tokens of prompt.
	farPrefill = 800
)

// Room is what a request needs at a decode engine.
type Room struct {
	// Tokens that it takes, of Memory that an engine has; 0: unknown.
	Tokens, Memory identifier.Tokens
	// Near is the data centre of the request's home: engines there outlive the
	// loss of the way to others. "": this host's.
	Near identifier.DataCenter
	// Most bounds the engines that are looked for.
	Most int
}

// overcommit is how far the tokens that are counted at an engine may pass its
// memory: requests are counted with all of their expected output.
const overcommit = 1.1

// Decodes gives the engines that should have room, the emptiest first. Those
// that are avoided or doubted are among them only if there are no others.
func (p *Placer) Decodes(all []*registrar.Endpoint, exclude []identifier.Endpoint, r Room, now time.Time) []*registrar.Endpoint {
	near := cmp.Or(r.Near, p.options.DataCenter)
	var list []*registrar.Endpoint
	anySound := len(p.SoundDecodes(all, exclude, now)) > 0
	for len(list) < r.Most {
		e, rank := p.choose(all, append(exclude, names(list)...), now, func(e *registrar.Endpoint, s *state) float64 {
			if e.Stage == registrar.StagePrefill || now.Before(s.fullUntil) || r.full(s) {
				return math.Inf(1)
			}
			return (float64(s.tokens) + prefillBase) * decodeCost(e, near) / math.Pow(max(0.05, 1-s.failures), failurePenalty)
		})
		if e == nil || rank != rankSound && anySound {
			return list
		}
		list = append(list, e)
	}
	return list
}

// Fits tells whether an engine seems to have room for tokens, of memory that it
// has; 0: unknown.
func (p *Placer) Fits(name identifier.Endpoint, tokens, memory identifier.Tokens, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	r := Room{Tokens: tokens, Memory: memory}
	return s == nil || !now.Before(s.fullUntil) && !r.full(s)
}

// SoundDecodes gives the decode engines that are neither avoided nor doubted, full
// or not.
func (p *Placer) SoundDecodes(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time) []identifier.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sound []identifier.Endpoint
	for _, e := range all {
		if e.Decodes() && !contains(exclude, e.Name) && p.rank(e, now) == rankSound {
			sound = append(sound, e.Name)
		}
	}
	return sound
}

// full tells whether an engine can't have room, as far as is known here.
func (r *Room) full(s *state) bool {
	return r.Memory > 0 && s.tokens > 0 && float64(s.tokens+r.Tokens) > overcommit*float64(r.Memory)
}

func names(list []*registrar.Endpoint) []identifier.Endpoint {
	all := make([]identifier.Endpoint, len(list))
	for i, e := range list {
		all[i] = e.Name
	}
	return all
}

// best gives the endpoint of the least cost; nil: there is none.
func (p *Placer) best(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time, cost func(*registrar.Endpoint, *state) float64) *registrar.Endpoint {
	e, _ := p.choose(all, exclude, now, cost)
	return e
}

// rank says how much an endpoint is trusted; lower is better.
type rank uint8

const (
	rankSound rank = iota
	// rankDoubted endpoints are in a data centre that seems cut off.
	rankDoubted
	// rankAvoided endpoints failed themselves.
	rankAvoided
	ranks
)

// rank gives an endpoint's rank; p.mu is held.
func (p *Placer) rank(e *registrar.Endpoint, now time.Time) rank {
	switch {
	case p.state(e).broken > 0:
		return rankAvoided
	case p.place(e).doubted(now):
		return rankDoubted
	default:
		return rankSound
	}
}

// choose gives the endpoint of the least cost in the best rank that has any;
// infinite costs rule out.
func (p *Placer) choose(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time, cost func(*registrar.Endpoint, *state) float64) (*registrar.Endpoint, rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best [ranks]*registrar.Endpoint
	least := [ranks]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for _, e := range all {
		s := p.state(e)
		if e.Leaving || s.unreachable || contains(exclude, e.Name) {
			continue
		}
		c := cost(e, s) * (1 + drawShare*p.random.Float64())
		if k := p.rank(e, now); c < least[k] {
			best[k], least[k] = e, c
		}
	}
	for k, e := range best {
		if e != nil {
			return e, rank(k)
		}
	}
	return nil, rankAvoided
}

// drawShare is how far a random draw moves a cost, so that hosts that have
// seen the same don't all choose the same.
const drawShare = 0.02

func contains(list []identifier.Endpoint, name identifier.Endpoint) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
