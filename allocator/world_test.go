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

// cancelBound is how long after its home's last sign of life, or the start of
// the pool if that is later, an attempt may stay at an engine: lease, grace
// and a few reports.
const cancelBound = 10*time.Second + 2*time.Second + 2*time.Second

// running is what the homes know of a granted attempt.
type running struct {
	prefill, decode identifier.Endpoint
	pieces          identifier.Pieces
	phase           allocator.Phase
	tokens          identifier.Tokens
	urgency         compiler.Urgency
}

// world feeds a pool with events and checks all that it answers.
type world struct {
	t       *rapid.T
	service *compiler.Service
	options allocator.Options
	pool    *allocator.Pool
	now     time.Time
	began   time.Time // of the pool
	last    int
	waiting map[identifier.Attempt]bool
	running map[identifier.Attempt]*running
	// engines hold attempts, also those of dead homes.
	engines map[identifier.Endpoint]map[identifier.Attempt]identifier.Pieces
	dead    map[identifier.Incarnation]time.Time
	left    map[identifier.Endpoint]bool
	lists   []identifier.Incarnation
	asks    []allocator.Ask
}

func newWorld(t *rapid.T, late bool) *world {
	w := &world{
		t: t, service: newService(2, 3, 3), now: epoch,
		waiting: map[identifier.Attempt]bool{}, running: map[identifier.Attempt]*running{},
		engines: map[identifier.Endpoint]map[identifier.Attempt]identifier.Pieces{},
		dead:    map[identifier.Incarnation]time.Time{}, left: map[identifier.Endpoint]bool{},
	}
	for _, e := range w.service.Endpoints {
		e.Pieces = 100
		w.engines[e.Name] = map[identifier.Attempt]identifier.Pieces{}
	}
	w.options = allocator.Options{Firm: "tamsui", LateBinding: late}
	if late {
		w.options.PrefillRate = 100 // so that completions come during a prefill
		w.options.PrefillDepth = time.Minute
	}
	w.renewPool()
	return w
}

// renewPool loses the allocator: another one begins with nothing, and the
// homes repeat the asks that wait.
func (w *world) renewPool() {
	w.began = w.now
	w.pool = allocator.New(w.service, dataCenter, nil, w.options, 7)
	w.reports()
	w.renewals()
	for _, a := range w.asks {
		if w.waiting[a.Attempt] {
			w.do(w.pool.Ask(a, w.now))
		}
	}
}

func (w *world) do(actions []allocator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case allocator.Granted:
			w.granted(a)
		case allocator.Bound:
			w.bound(a)
		case allocator.Refused:
			w.answer(a.Attempt)
		case allocator.CancelAt:
			w.cancel(a)
		case allocator.AskList:
			w.lists = append(w.lists, a.Home)
		}
	}
}

// answer notes an ask's answer; false: its home is dead and gets none.
func (w *world) answer(a identifier.Attempt) bool {
	if !w.dead[a.Incarnation].IsZero() {
		return false
	}
	if !w.waiting[a] {
		w.t.Fatalf("attempt %s was answered, but does not wait", a)
	}
	delete(w.waiting, a)
	return true
}

func (w *world) granted(g allocator.Granted) {
	if !w.answer(g.Attempt) {
		return
	}
	if w.left[g.Prefill] || w.left[g.Decode] {
		w.t.Fatalf("attempt %s was granted at a leaving endpoint", g.Attempt)
	}
	r := &running{prefill: g.Prefill, decode: g.Decode, pieces: g.Pieces, phase: allocator.PhaseGranted}
	r.tokens, r.urgency = w.asks[g.Attempt.Sequence-1].MaxTokens, w.asks[g.Attempt.Sequence-1].Urgency
	w.running[g.Attempt] = r
	w.engines[g.Prefill][g.Attempt] = 25 // 400 tokens
	w.place(g.Attempt, r)
	w.checkRoom(g.Prefill)
}

func (w *world) bound(b allocator.Bound) {
	r := w.running[b.Attempt]
	if !w.dead[b.Attempt.Incarnation].IsZero() {
		return
	}
	if r == nil || r.decode != "" {
		w.t.Fatalf("attempt %s was bound, but waits for nothing", b.Attempt)
	}
	r.decode, r.pieces = b.Decode, b.Pieces
	w.place(b.Attempt, r)
}

func (w *world) place(a identifier.Attempt, r *running) {
	if r.decode == "" {
		return
	}
	w.engines[r.decode][a] = r.pieces
	w.checkRoom(r.decode)
}

// checkRoom checks that no more is granted than the engine has.
func (w *world) checkRoom(name identifier.Endpoint) {
	slots, pieces := 0, identifier.Pieces(0)
	for _, p := range w.engines[name] {
		slots++
		pieces += p
	}
	if slots > 3 || pieces > 100 {
		w.t.Fatalf("endpoint %q has 3 slots and 100 pieces, but %d and %d are granted", name, slots, pieces)
	}
}

func (w *world) cancel(c allocator.CancelAt) {
	if w.running[c.Attempt] != nil && w.dead[c.Attempt.Incarnation].IsZero() {
		w.t.Fatalf("attempt %s of a living home was canceled", c.Attempt)
	}
	delete(w.engines[c.Endpoint], c.Attempt)
}

func (w *world) ask() {
	home := rapid.IntRange(1, 3).Draw(w.t, "home")
	w.last++
	a := allocator.Ask{
		Attempt: attempt(home, w.last), PromptTokens: 400, Left: time.Minute,
		MaxTokens: identifier.Tokens(rapid.IntRange(1, 800).Draw(w.t, "tokens")),
		Urgency:   compiler.Urgency(rapid.IntRange(1, 2).Draw(w.t, "urgency")),
	}
	w.asks = append(w.asks, a)
	if !w.dead[a.Attempt.Incarnation].IsZero() {
		return
	}
	w.waiting[a.Attempt] = true
	w.do(w.pool.Ask(a, w.now))
}

// turnover runs a busy time, with more asks than room and steady completions.
func (w *world) turnover() {
	for range 40 {
		w.ask()
		for range 4 {
			w.advance()
		}
		w.finish()
		w.finish()
		if rapid.IntRange(0, 9).Draw(w.t, "give up") == 0 {
			w.giveUp()
		}
		w.now = w.now.Add(200 * time.Millisecond)
		w.do(w.pool.Tick(w.now))
	}
	w.renewals()
	w.reports()
}

// giveUp ends an attempt that waits for its decode engine.
func (w *world) giveUp() {
	a := w.pickWhere(func(r *running) bool { return r.decode == "" })
	if !a.IsZero() {
		w.free(a)
		w.do(w.pool.Release(a, allocator.Outcome{Ending: allocator.EndingCancelled}, w.now))
	}
}

// finish ends an attempt that decodes.
func (w *world) finish() {
	a := w.pick()
	if r := w.running[a]; r != nil && r.phase == allocator.PhaseTransferred {
		w.free(a)
		w.do(w.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, w.now))
	}
}

// pick gives a running attempt of a living home, or the zero one.
func (w *world) pick() identifier.Attempt {
	return w.pickWhere(func(*running) bool { return true })
}

func (w *world) pickWhere(match func(*running) bool) identifier.Attempt {
	var living []identifier.Attempt
	for a, r := range w.running {
		if w.dead[a.Incarnation].IsZero() && match(r) {
			living = append(living, a)
		}
	}
	if len(living) == 0 {
		return identifier.Attempt{}
	}
	slices.SortFunc(living, func(a, b identifier.Attempt) int { return int(a.Sequence) - int(b.Sequence) })
	return living[rapid.IntRange(0, len(living)-1).Draw(w.t, "running")]
}

func (w *world) advance() {
	a := w.pick()
	r := w.running[a]
	if r == nil || r.phase == allocator.PhaseTransferred || r.phase == allocator.PhasePrefilled && r.decode == "" {
		return
	}
	r.phase++
	if r.phase == allocator.PhaseTransferred {
		delete(w.engines[r.prefill], a)
	}
	w.do(w.pool.Started(a, r.phase, w.now))
}

func (w *world) release() {
	a := w.pick()
	if a.IsZero() {
		return
	}
	w.free(a)
	w.do(w.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, w.now))
}

func (w *world) free(a identifier.Attempt) {
	delete(w.running, a)
	for _, held := range w.engines {
		delete(held, a)
	}
}

// pass lets time go by in steps, with ticks, reports and renewals as they
// come in life.
func (w *world) pass(d time.Duration) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		w.now = w.now.Add(step)
		w.do(w.pool.Tick(w.now))
		w.renewals()
		w.reports()
		w.checkOrphans()
	}
}

func (w *world) reports() {
	for _, e := range w.service.Endpoints {
		held := w.engines[e.Name]
		r := allocator.Report{Slots: 3, SlotsUsed: len(held), Pieces: 100, Leaving: w.left[e.Name]}
		for a, pieces := range held {
			r.PiecesUsed += pieces
			r.Attempts = append(r.Attempts, a)
		}
		slices.SortFunc(r.Attempts, func(a, b identifier.Attempt) int { return int(a.Sequence) - int(b.Sequence) })
		w.do(w.pool.Report(e.Name, r, w.now))
	}
}

func (w *world) renewals() {
	for i := identifier.Incarnation(1); i <= 3; i++ {
		if w.dead[i].IsZero() {
			w.do(w.pool.Renew(i, w.digest(i), w.now))
		}
	}
	lists := w.lists
	w.lists = nil
	for _, i := range lists {
		if w.dead[i].IsZero() {
			w.do(w.pool.Grants(i, w.held(i), w.now))
		}
	}
}

func (w *world) digest(i identifier.Incarnation) uint64 {
	digest := uint64(0)
	for a := range w.running {
		if a.Incarnation == i {
			digest ^= allocator.Digest(a)
		}
	}
	return digest
}

func (w *world) held(i identifier.Incarnation) []allocator.Held {
	var list []allocator.Held
	for a, r := range w.running {
		if a.Incarnation == i {
			list = append(list, allocator.Held{
				Attempt: a, Prefill: r.prefill, Decode: r.decode, Pieces: r.pieces, Phase: r.phase, PromptTokens: 400, MaxTokens: r.tokens, Urgency: r.urgency,
			})
		}
	}
	slices.SortFunc(list, func(a, b allocator.Held) int { return int(a.Attempt.Sequence) - int(b.Attempt.Sequence) })
	return list
}

func (w *world) kill() {
	i := identifier.Incarnation(rapid.IntRange(2, 3).Draw(w.t, "killed"))
	if !w.dead[i].IsZero() {
		return
	}
	w.dead[i] = w.now
	for a := range w.waiting {
		if a.Incarnation == i {
			delete(w.waiting, a)
		}
	}
}

// checkOrphans checks that engines hold nothing of long dead homes.
func (w *world) checkOrphans() {
	for name, held := range w.engines {
		for a := range held {
			died := w.dead[a.Incarnation]
			if !died.IsZero() && w.now.Sub(died) > cancelBound && w.now.Sub(w.began) > cancelBound {
				w.t.Fatalf("endpoint %q still holds attempt %s, %s after its home died", name, a, w.now.Sub(died))
			}
		}
	}
}

func (w *world) leave() {
	name := identifier.Endpoint(fmt.Sprintf("decode-%d", rapid.IntRange(1, 2).Draw(w.t, "leaving")))
	w.left[name] = true
	w.do(w.pool.SetLeaving(name, w.now))
}

// settle lets all running attempts end and checks that every ask has got its
// answer.
func (w *world) settle() {
	for range 200 {
		for a := range w.running {
			if w.dead[a.Incarnation].IsZero() {
				w.free(a)
				w.do(w.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, w.now))
				break
			}
		}
		w.pass(500 * time.Millisecond)
	}
	for a := range w.waiting {
		w.t.Fatalf("attempt %s got no answer", a)
	}
}

func property(t *testing.T, late bool, extra func(w *world) map[string]func(*rapid.T)) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, late)
		steps := map[string]func(*rapid.T){
			"ask":     func(*rapid.T) { w.ask() },
			"advance": func(*rapid.T) { w.advance() },
			"release": func(*rapid.T) { w.release() },
			"pass":    func(*rapid.T) { w.pass(time.Second) },
		}
		for name, step := range extra(w) {
			steps[name] = step
		}
		t.Repeat(steps)
		w.settle()
	})
}
