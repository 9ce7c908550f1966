package allocator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// cancelBound is the maximum time that an attempt may remain at an engine
// after its home died or the pool started, whichever is later: lease, orphan
// grace and a few reports.
const cancelBound = 10*time.Second + 2*time.Second + 2*time.Second

// running is a granted attempt as known to its home.
type running struct {
	prefill, decode identifier.Endpoint
	pieces          identifier.Pieces
	phase           allocator.Phase
	tokens          identifier.Tokens
	urgency         compiler.Urgency
}

// simulation feeds a pool with events from homes and engines and checks the
// actions that it returns.
type simulation struct {
	t             *rapid.T
	service       *compiler.Service
	options       allocator.Options
	pool          *allocator.Pool
	now           time.Time
	poolStartedAt time.Time
	lastSequence  int
	waiting       map[identifier.Attempt]bool
	running       map[identifier.Attempt]*running
	// engines maps each engine to the attempts that it holds, including those
	// of dead homes.
	engines      map[identifier.Endpoint]map[identifier.Attempt]identifier.Pieces
	diedAt       map[identifier.Incarnation]time.Time
	leaving      map[identifier.Endpoint]bool
	listRequests []identifier.Incarnation
	asks         []allocator.SlotRequest
}

func newSimulation(t *rapid.T, late bool) *simulation {
	s := &simulation{
		t: t, service: newService(2, 3, 3), now: epoch,
		waiting: map[identifier.Attempt]bool{}, running: map[identifier.Attempt]*running{},
		engines: map[identifier.Endpoint]map[identifier.Attempt]identifier.Pieces{},
		diedAt:  map[identifier.Incarnation]time.Time{}, leaving: map[identifier.Endpoint]bool{},
	}
	for _, e := range s.service.Endpoints {
		e.Pieces = 100
		s.engines[e.Name] = map[identifier.Attempt]identifier.Pieces{}
	}
	s.options = allocator.Options{Firm: "tamsui", LateBinding: late}
	if late {
		s.options.PrefillRate = 100 // slow, so that attempts complete during a prefill
		s.options.MaxPrefillWait = time.Minute
	}
	s.restartPool()
	return s
}

// restartPool replaces the pool by an empty one. The homes repeat the slot requests
// that wait.
func (s *simulation) restartPool() {
	s.poolStartedAt = s.now
	s.pool = allocator.New(s.service, dataCenter, nil, s.options, 7)
	s.sendReports()
	s.renewLeases()
	for _, a := range s.asks {
		if s.waiting[a.Attempt] {
			s.execute(s.pool.Ask(a, s.now))
		}
	}
}

func (s *simulation) execute(actions []allocator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case allocator.Granted:
			s.onGranted(a)
		case allocator.Bound:
			s.onBound(a)
		case allocator.Refused:
			s.recordAnswer(a.Attempt)
		case allocator.CancelAt:
			s.onCancel(a)
		case allocator.RequestGrantList:
			s.listRequests = append(s.listRequests, a.Home)
		}
	}
}

// recordAnswer records the answer to a slot request; false: its home is dead.
func (s *simulation) recordAnswer(a identifier.Attempt) bool {
	if !s.diedAt[a.Incarnation].IsZero() {
		return false
	}
	if !s.waiting[a] {
		s.t.Fatalf("attempt %s was answered but is not waiting", a)
	}
	delete(s.waiting, a)
	return true
}

func (s *simulation) onGranted(g allocator.Granted) {
	if !s.recordAnswer(g.Attempt) {
		return
	}
	if s.leaving[g.Prefill] || s.leaving[g.Decode] {
		s.t.Fatalf("attempt %s was granted at a leaving endpoint", g.Attempt)
	}
	r := &running{prefill: g.Prefill, decode: g.Decode, pieces: g.Pieces, phase: allocator.PhaseGranted}
	r.tokens, r.urgency = s.asks[g.Attempt.Sequence-1].MaxTokens, s.asks[g.Attempt.Sequence-1].Urgency
	s.running[g.Attempt] = r
	s.engines[g.Prefill][g.Attempt] = 25 // 400 tokens
	s.reserveDecode(g.Attempt, r)
	s.checkCapacity(g.Prefill)
}

func (s *simulation) onBound(b allocator.Bound) {
	r := s.running[b.Attempt]
	if !s.diedAt[b.Attempt.Incarnation].IsZero() {
		return
	}
	if r == nil || r.decode != "" {
		s.t.Fatalf("attempt %s was bound but is not waiting for a decode engine", b.Attempt)
	}
	r.decode, r.pieces = b.Decode, b.Pieces
	s.reserveDecode(b.Attempt, r)
}

func (s *simulation) reserveDecode(a identifier.Attempt, r *running) {
	if r.decode == "" {
		return
	}
	s.engines[r.decode][a] = r.pieces
	s.checkCapacity(r.decode)
}

// checkCapacity checks that the grants do not exceed the engine's capacity.
func (s *simulation) checkCapacity(name identifier.Endpoint) {
	slots, pieces := 0, identifier.Pieces(0)
	for _, p := range s.engines[name] {
		slots++
		pieces += p
	}
	if slots > 3 || pieces > 100 {
		s.t.Fatalf("endpoint %q has 3 slots and 100 pieces, but %d slots and %d pieces are granted", name, slots, pieces)
	}
}

func (s *simulation) onCancel(c allocator.CancelAt) {
	if s.running[c.Attempt] != nil && s.diedAt[c.Attempt.Incarnation].IsZero() {
		s.t.Fatalf("attempt %s of a live home was canceled", c.Attempt)
	}
	delete(s.engines[c.Endpoint], c.Attempt)
}

func (s *simulation) ask() {
	home := rapid.IntRange(1, 3).Draw(s.t, "home")
	s.lastSequence++
	a := allocator.SlotRequest{
		Attempt: attempt(home, s.lastSequence), PromptTokens: 400, TimeLeft: time.Minute,
		MaxTokens: identifier.Tokens(rapid.IntRange(1, 800).Draw(s.t, "tokens")),
		Urgency:   compiler.Urgency(rapid.IntRange(1, 2).Draw(s.t, "urgency")),
	}
	s.asks = append(s.asks, a)
	if !s.diedAt[a.Attempt.Incarnation].IsZero() {
		return
	}
	s.waiting[a.Attempt] = true
	s.execute(s.pool.Ask(a, s.now))
}

// runUnderLoad simulates a busy period with more slot requests than capacity
// and steady completions.
func (s *simulation) runUnderLoad() {
	for range 40 {
		s.ask()
		for range 4 {
			s.advance()
		}
		s.finish()
		s.finish()
		if rapid.IntRange(0, 9).Draw(s.t, "cancel") == 0 {
			s.cancelUnbound()
		}
		s.now = s.now.Add(200 * time.Millisecond)
		s.execute(s.pool.Tick(s.now))
	}
	s.renewLeases()
	s.sendReports()
}

// cancelUnbound cancels an attempt that waits for its decode engine.
func (s *simulation) cancelUnbound() {
	a := s.pickWhere(func(r *running) bool { return r.decode == "" })
	if !a.IsZero() {
		s.removeAttempt(a)
		s.execute(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingCanceled}, s.now))
	}
}

// finish completes an attempt that is decoding.
func (s *simulation) finish() {
	a := s.pick()
	if r := s.running[a]; r != nil && r.phase == allocator.PhaseTransferred {
		s.removeAttempt(a)
		s.execute(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, s.now))
	}
}

// pick returns a running attempt of a live home, or the zero value.
func (s *simulation) pick() identifier.Attempt {
	return s.pickWhere(func(*running) bool { return true })
}

func (s *simulation) pickWhere(match func(*running) bool) identifier.Attempt {
	var candidates []identifier.Attempt
	for a, r := range s.running {
		if s.diedAt[a.Incarnation].IsZero() && match(r) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return identifier.Attempt{}
	}
	slices.SortFunc(candidates, func(a, b identifier.Attempt) int { return int(a.Sequence) - int(b.Sequence) })
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(s.t, "running")]
}

func (s *simulation) advance() {
	a := s.pick()
	r := s.running[a]
	if r == nil || r.phase == allocator.PhaseTransferred || r.phase == allocator.PhasePrefilled && r.decode == "" {
		return
	}
	r.phase++
	if r.phase == allocator.PhaseTransferred {
		delete(s.engines[r.prefill], a)
	}
	s.execute(s.pool.AdvancePhase(a, r.phase, s.now))
}

func (s *simulation) release() {
	a := s.pick()
	if a.IsZero() {
		return
	}
	s.removeAttempt(a)
	s.execute(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, s.now))
}

func (s *simulation) removeAttempt(a identifier.Attempt) {
	delete(s.running, a)
	for _, held := range s.engines {
		delete(held, a)
	}
}

// elapse advances the time in steps, with ticks, reports and renewals as in
// production.
func (s *simulation) elapse(d time.Duration) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.execute(s.pool.Tick(s.now))
		s.renewLeases()
		s.sendReports()
		s.checkOrphans()
	}
}

func (s *simulation) sendReports() {
	for _, e := range s.service.Endpoints {
		held := s.engines[e.Name]
		r := allocator.Report{Slots: 3, SlotsUsed: len(held), Pieces: 100, Leaving: s.leaving[e.Name]}
		for a, pieces := range held {
			r.PiecesUsed += pieces
			r.Attempts = append(r.Attempts, a)
		}
		slices.SortFunc(r.Attempts, func(a, b identifier.Attempt) int { return int(a.Sequence) - int(b.Sequence) })
		s.execute(s.pool.Report(e.Name, r, s.now))
	}
}

func (s *simulation) renewLeases() {
	for i := identifier.Incarnation(1); i <= 3; i++ {
		if s.diedAt[i].IsZero() {
			s.execute(s.pool.Renew(i, s.digest(i), s.now))
		}
	}
	lists := s.listRequests
	s.listRequests = nil
	for _, i := range lists {
		if s.diedAt[i].IsZero() {
			s.execute(s.pool.ReconcileGrants(i, s.held(i), s.now))
		}
	}
}

func (s *simulation) digest(i identifier.Incarnation) uint64 {
	digest := uint64(0)
	for a := range s.running {
		if a.Incarnation == i {
			digest ^= allocator.Digest(a)
		}
	}
	return digest
}

func (s *simulation) held(i identifier.Incarnation) []allocator.HeldGrant {
	var list []allocator.HeldGrant
	for a, r := range s.running {
		if a.Incarnation == i {
			list = append(list, allocator.HeldGrant{
				Attempt: a, Prefill: r.prefill, Decode: r.decode, Pieces: r.pieces, Phase: r.phase, PromptTokens: 400, MaxTokens: r.tokens, Urgency: r.urgency,
			})
		}
	}
	slices.SortFunc(list, func(a, b allocator.HeldGrant) int { return int(a.Attempt.Sequence) - int(b.Attempt.Sequence) })
	return list
}

func (s *simulation) killHome() {
	i := identifier.Incarnation(rapid.IntRange(2, 3).Draw(s.t, "killed"))
	if !s.diedAt[i].IsZero() {
		return
	}
	s.diedAt[i] = s.now
	for a := range s.waiting {
		if a.Incarnation == i {
			delete(s.waiting, a)
		}
	}
}

// checkOrphans checks that engines hold no attempts of homes that died more
// than cancelBound ago.
func (s *simulation) checkOrphans() {
	for name, held := range s.engines {
		for a := range held {
			died := s.diedAt[a.Incarnation]
			if !died.IsZero() && s.now.Sub(died) > cancelBound && s.now.Sub(s.poolStartedAt) > cancelBound {
				s.t.Fatalf("endpoint %q still holds attempt %s, %s after its home died", name, a, s.now.Sub(died))
			}
		}
	}
}

func (s *simulation) markLeaving() {
	name := identifier.Endpoint(fmt.Sprintf("decode-%d", rapid.IntRange(1, 2).Draw(s.t, "leaving")))
	s.leaving[name] = true
	s.execute(s.pool.SetLeaving(name, s.now))
}

// settle ends all running attempts and checks that every slot request was answered.
func (s *simulation) settle() {
	for range 200 {
		for a := range s.running {
			if s.diedAt[a.Incarnation].IsZero() {
				s.removeAttempt(a)
				s.execute(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, s.now))
				break
			}
		}
		s.elapse(500 * time.Millisecond)
	}
	for a := range s.waiting {
		s.t.Fatalf("attempt %s was not answered", a)
	}
}

func checkInvariants(t *testing.T, late bool, extra func(s *simulation) map[string]func(*rapid.T)) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, late)
		steps := map[string]func(*rapid.T){
			"ask":     func(*rapid.T) { s.ask() },
			"advance": func(*rapid.T) { s.advance() },
			"release": func(*rapid.T) { s.release() },
			"elapse":  func(*rapid.T) { s.elapse(time.Second) },
		}
		for name, step := range extra(s) {
			steps[name] = step
		}
		t.Repeat(steps)
		s.settle()
	})
}
