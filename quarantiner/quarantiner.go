// Package quarantiner decides which requests are kept away from endpoints, because every endpoint
// that runs such a request ends. What such requests have in common is a trait: a part of their
// prompts, or all of it, as one request is repeated. The package holds policy only: it does no
// I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	q := quarantiner.New()
//	q.Begun(quarantiner.PhaseDecode, parts, now)     // an engine has begun to answer
//	q.Begun(quarantiner.PhaseDecode, wholes, now)    // an endpoint has answered, and goes on
//	q.AddEnd(quarantiner.End{Engine: "e1", Calls: calls}, now)
//	verdicts := q.Decide(now)                        // from time to time
//	if v, ok := q.Check(traits, now); ok { ... }     // before each call
//
// # Evidence
//
// The end of an endpoint breaks off all its calls. All of them are suspect as whole requests, whatever
// came back; a part of a prompt is suspect only if the engine had not begun to answer.
// Whether requests with a trait end endpoints is judged by distinct endpoints, and for parts of
// prompts by at least minRequests requests: a trait is quarantined once minEnds more endpoints
// have ended under it than have spared it. An endpoint spares the parts of a prompt that it
// begins to answer, and a request that it has answered to its end. Answers shortly before
// the first end count as well.
//
// Endpoints that end at the same time, without a call that has the trait, have a cause
// in common that the trait isn't. For each othersPerEnd of them another end is required.
//
// Of several traits that meet the condition, the one with the most evidence is
// quarantined first, and of those that always occur together the last one in the list of
// traits: the others are more widely shared. It explains the ends that
// its requests were part of, which are no evidence against other traits any more.
// A trait that was spared by mistake is quarantined after further ends.
//
// # All hosts
//
// Each host feeds the ends and the begun answers of all hosts to its Quarantiner, and
// merges the verdicts of others. No host decides for the others. News can arrive in any
// order: a verdict waits for SettleTime after the first end, so that what speaks against
// it can arrive. All state is bounded, whatever arrives.
//
// # Before a verdict
//
// A trait against which there is more evidence than for it is on trial: few requests
// with it should be sent at a time, so that few endpoints end until the verdict. Of the requests
// that one end broke off, only those with the most evidence are on trial.
//
// # The end of a quarantine
//
// A quarantine lasts until no host has seen a request with its trait for QuietTime.
// The next request is sent as any other, which is its trial. During relapseTime
// one end is enough to quarantine the trait again.
package quarantiner

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// minEnds is by how many engine ends the evidence against a trait must exceed the
	// begun answers, and minRequests the number of requests that were part of the ends.
	minEnds     = 3
	minRequests = 2
	// othersPerEnd ends without the trait, each within togetherTime of one with it,
	// require one more end.
	othersPerEnd = 4
	togetherTime = time.Second
	// evidenceTime is how long an end is evidence.
	evidenceTime = 10 * time.Minute
	// recentTime is how long an answer that began speaks for the traits of its prompt
	// if an engine ends later. It may be up to twice as long.
	recentTime = 5 * time.Second
	// relapseTime is the time after a quarantine in which one end renews it.
	relapseTime = time.Hour

	// Bounds of the state.
	maxEnds        = 128
	maxCallsPerEnd = 32
	maxSuspects    = 2048
	maxRecent      = 4096
	maxVerdicts    = 256
	maxBegunNews   = 256
	// enoughBegun is by how many the begun answers that all hosts know of must exceed
	// the ends until further ones are no news.
	enoughBegun = 8
)

const (
	// SettleTime is the time from the first end under a trait until it can be
	// quarantined.
	SettleTime = 200 * time.Millisecond
	// QuietTime is how long no host may see a request with a trait until its quarantine
	// lapses.
	QuietTime = 10 * time.Minute
	// MaxBegun is the largest number of begun answers that one BegunCount may tell of.
	MaxBegun = 1 << 20
	// MaxTraits is the largest number of traits of a call.
	MaxTraits = 32
	// MaxParts is the largest number of parts of a prompt among them.
	MaxParts = MaxTraits - 2
	// MaxTraitBytes is the largest length of a trait's ID.
	MaxTraitBytes = 64
)

// suspect is a trait in a phase.
type suspect struct {
	trait identifier.Trait
	phase Phase
}

// suspicion is what is known of a suspect besides the ends.
type suspicion struct {
	// since is when the first end under it became known here.
	since time.Time
	// begun counts the answers that began, at this host and, as far as told, at others.
	// untold of them are this host's and not told to others.
	begun, untold int
}

// Quarantiner holds the evidence and the verdicts. It is not safe for concurrent use.
type Quarantiner struct {
	ends       []*End
	suspicions map[suspect]*suspicion
	verdicts   map[identifier.Trait]*record
	// recent counts the answers that began within recentTime, previous those of the
	// period of the same length before.
	recent, previous map[suspect]int
	recentSince      time.Time
	// undecided is set if something has changed since the last decision.
	undecided bool
	// endsUnder are the numbers of ends under each suspect that no verdict explains, and
	// onTrial the traits with more ends than begun answers.
	endsUnder map[suspect]int
	onTrial   map[identifier.Trait]bool

	released, pinned map[identifier.Trait]bool
}

// New returns a Quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		suspicions: map[suspect]*suspicion{},
		verdicts:   map[identifier.Trait]*record{},
		recent:     map[suspect]int{},
		previous:   map[suspect]int{},
	}
}

// Override sets the traits that an operator has released from quarantine at this host
// or pinned in it, whatever the evidence.
func (q *Quarantiner) Override(released, pinned []identifier.Trait) {
	q.released = setOf(released)
	q.pinned = setOf(pinned)
}

func setOf(all []identifier.Trait) map[identifier.Trait]bool {
	set := make(map[identifier.Trait]bool, len(all))
	for _, g := range all {
		set[g] = true
	}
	return set
}

// Check returns the first trait that is quarantined, and records that a request with
// it was seen.
func (q *Quarantiner) Check(traits []identifier.Trait, now time.Time) (quarantined identifier.Trait, ok bool) {
	if len(q.verdicts) == 0 && len(q.pinned) == 0 {
		return "", false
	}
	for _, g := range traits {
		if q.released[g] {
			continue
		}
		if q.pinned[g] {
			return g, true
		}
		if v := q.verdicts[g]; v != nil && v.active(now) {
			v.LastSeen = now
			return g, true
		}
	}
	return "", false
}

// Begun records that an engine has begun to answer a request.
func (q *Quarantiner) Begun(p Phase, traits []identifier.Trait, now time.Time) {
	q.rotate(now)
	for _, g := range traits {
		k := suspectOf(g, p)
		if s := q.suspicions[k]; s != nil {
			s.begun++
			s.untold++
			q.undecided = q.undecided || q.onTrial[g]
		}
		if _, known := q.recent[k]; known || len(q.recent) < maxRecent {
			q.recent[k]++
		}
	}
}

// rotate starts a new period of recentTime if the last one has ended.
func (q *Quarantiner) rotate(now time.Time) {
	age := now.Sub(q.recentSince)
	if age < recentTime {
		return
	}
	q.previous, q.recent = q.recent, map[suspect]int{}
	if age >= 2*recentTime {
		q.previous = map[suspect]int{}
	}
	q.recentSince = now
}

// AddEnd records the end of an engine, and reports whether that is news.
func (q *Quarantiner) AddEnd(e End, now time.Time) bool {
	if now.Sub(e.At) > evidenceTime {
		return false
	}
	if len(e.Calls) > maxCallsPerEnd {
		e.Calls = e.Calls[:maxCallsPerEnd]
	}
	e.Calls = slices.Clone(e.Calls)
	i := slices.IndexFunc(q.ends, func(k *End) bool { return k.includes(&e) })
	switch {
	case i >= 0 && !q.ends[i].merge(&e):
		return false
	case i < 0:
		q.insertEnd(&e)
	}
	q.suspectAll(&e, now)
	q.undecided = true
	q.updateTrials(now)
	return true
}

// updateTrials updates endsUnder and onTrial.
func (q *Quarantiner) updateTrials(now time.Time) {
	q.endsUnder = map[suspect]int{}
	q.onTrial = map[identifier.Trait]bool{}
	open := q.unexplained(now)
	excess := map[suspect]int{}
	for k, e := range collect(open) {
		q.endsUnder[k] = len(e.ends)
		if s := q.suspicions[k]; s != nil {
			excess[k] = len(e.ends) - s.begun
		}
	}
	for k, n := range excess {
		if n > 0 && !IsRequest(k.trait) {
			q.onTrial[k.trait] = true
		}
	}
	for _, e := range open {
		q.tryRequests(e, excess)
	}
}

// tryRequests puts those of the requests that an end broke off on trial against which there is
// the most evidence. The others ran beside one of them.
func (q *Quarantiner) tryRequests(e *End, excess map[suspect]int) {
	most := 0
	for k := range e.requests() {
		most = max(most, excess[k])
	}
	for k := range e.requests() {
		if most > 0 && excess[k] == most {
			q.onTrial[k.trait] = true
		}
	}
}

// OnTrial returns the traits that may turn out to end engines: until that is decided,
// only few requests with one of them should be sent at a time.
func (q *Quarantiner) OnTrial(traits []identifier.Trait) []identifier.Trait {
	if len(q.onTrial) == 0 {
		return nil
	}
	var found []identifier.Trait
	for _, g := range traits {
		if q.onTrial[g] && !q.released[g] {
			found = append(found, g)
		}
	}
	return found
}

// insertEnd adds an end in the order of time. The oldest one makes room.
func (q *Quarantiner) insertEnd(e *End) {
	i, _ := slices.BinarySearchFunc(q.ends, e.At, func(k *End, at time.Time) int { return k.At.Compare(at) })
	q.ends = slices.Insert(q.ends, i, e)
	if len(q.ends) > maxEnds {
		q.ends = slices.Delete(q.ends, 0, 1)
	}
}

// suspectAll makes the traits of an end's calls suspects.
func (q *Quarantiner) suspectAll(e *End, now time.Time) {
	q.rotate(now)
	for _, c := range e.Calls {
		for _, g := range c.Traits {
			k := suspectOf(g, e.Phase)
			if q.suspicions[k] != nil || len(q.suspicions) >= maxSuspects {
				continue
			}
			n := q.recent[k] + q.previous[k]
			q.suspicions[k] = &suspicion{since: now, begun: n, untold: n}
		}
	}
}

// EndsUnder returns the number of ends under requests with a trait that no verdict explains, the
// most of any of the traits.
func (q *Quarantiner) EndsUnder(traits []identifier.Trait) int {
	most := 0
	for k, n := range q.endsUnder {
		if slices.Contains(traits, k.trait) {
			most = max(most, n)
		}
	}
	return most
}

// LastEnd returns when an endpoint of a service last ended in a phase, if one has.
func (q *Quarantiner) LastEnd(s identifier.Service, p Phase) (at time.Time, ok bool) {
	for _, e := range slices.Backward(q.ends) {
		if e.Service == s && e.Phase == p {
			return e.At, true
		}
	}
	return time.Time{}, false
}

// Ended reports whether an incarnation of an endpoint has ended after a time.
func (q *Quarantiner) Ended(e identifier.Endpoint, startID int64, after time.Time) bool {
	return slices.ContainsFunc(q.ends, func(k *End) bool {
		return k.Engine == e && k.StartID == startID && k.At.After(after)
	})
}

// RecentEnds returns the newest ends that no verdict explains, at most limit.
func (q *Quarantiner) RecentEnds(limit int, now time.Time) []End {
	var open []End
	for _, e := range slices.Backward(q.ends) {
		if len(open) == limit {
			break
		}
		if !q.explained(e, now) {
			open = append(open, *e)
		}
	}
	return open
}

// Update drops what is out of date. It returns the traits whose quarantine has
// lapsed.
func (q *Quarantiner) Update(now time.Time) []identifier.Trait {
	var lapsed []identifier.Trait
	for g, v := range q.verdicts {
		quiet := now.Sub(v.LastSeen)
		if quiet >= QuietTime && !v.lapsed {
			v.lapsed = true
			lapsed = append(lapsed, g)
		}
		if quiet >= QuietTime+relapseTime {
			delete(q.verdicts, g)
		}
	}
	old := func(e *End) bool { return now.Sub(e.At) > evidenceTime }
	if slices.ContainsFunc(q.ends, old) {
		q.ends = slices.DeleteFunc(q.ends, old)
		q.dropSuspicions()
		q.updateTrials(now)
	}
	return lapsed
}

// dropSuspicions removes the suspicions that no end supports.
func (q *Quarantiner) dropSuspicions() {
	supported := collect(q.ends)
	for k := range q.suspicions {
		if supported[k] == nil {
			delete(q.suspicions, k)
		}
	}
}
