package reserver

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// earmark keeps an engine for a wish that found no room, if requests of its size
// get less than others: the one that should have room for it first.
func (d *desk) earmark(all []*registrar.Endpoint, a *waiter) {
	now := time.Now()
	exclude := append(d.changing(all, now), a.Exclude...)
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.gone {
		return
	}
	if e, ok := d.earmarks.Kept(a.Key); ok && !usable(all, e, exclude) {
		d.earmarks.Release(a.Key)
		a.Kept = false
		d.log("engine-kept-no-more", a.Wish, zap.String("endpoint", string(e)))
	}
	if a.Kept || a.Unkept || !d.queue.Underserved(&a.Wish.Wish) || !d.earmarks.Spare(decoding(all)) {
		return
	}
	exclude = append(exclude, d.earmarks.Others(a.Key)...)
	engines := d.reserver.deps.Placer.SoundDecodes(all, exclude, now)
	need := earmarker.Need{Tokens: a.Tokens, Memory: traitsOf(d.reserver.deps.Registry.Snapshot(), d.service).Memory}
	e, at := earmarker.Soonest(engines, d.reserver.runs(&d.answers), need, now)
	if e == "" {
		return
	}
	if at.After(a.StartBy) {
		a.Unkept = true
		d.log("engine-not-kept", a.Wish, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
		return
	}
	d.earmarks.Keep(a.Key, e)
	a.Kept = true
	d.log("engine-kept", a.Wish, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
}

// runs gives what this host has given room at engines.
func (r *Reserver) runs(p *answerPace) []earmarker.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]earmarker.Run, 0, len(r.grants.all))
	for _, g := range r.grants.all {
		all = append(all, earmarker.Run{Engine: g.decode.Name, Tokens: g.tokens, Ends: g.given.Add(p.takes(answerTime(g.prompt, g.tokens)))})
	}
	return all
}

// keptForOthers gives the engines that are kept for other wishes.
func (d *desk) keptForOthers(a *waiter) []identifier.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.earmarks.Others(a.Key)
}

// spareEarmark tells whether one more engine may be kept; d.mu is held.
func (d *desk) spareEarmark() bool {
	return d.earmarks.Spare(decoding(d.reserver.deps.Registry.Snapshot().Endpoints(d.service)))
}

// keptWithRoom gives a waiting wish whose engine seems to have room for it now;
// d.mu is held.
func (d *desk) keptWithRoom(now time.Time) (admitter.Key, bool) {
	memory := traitsOf(d.reserver.deps.Registry.Snapshot(), d.service).Memory
	for k, e := range d.earmarks.All() {
		if a := d.waiters[k]; a != nil && d.queue.Waits(k) && d.reserver.deps.Placer.Fits(e, a.Tokens, memory, now) {
			return k, true
		}
	}
	return 0, false
}

// usable tells whether an engine still decodes and may be used.
func usable(all []*registrar.Endpoint, name identifier.Endpoint, exclude []identifier.Endpoint) bool {
	if slices.Contains(exclude, name) {
		return false
	}
	return slices.ContainsFunc(all, func(e *registrar.Endpoint) bool { return e.Name == name && e.Decodes() })
}

// decoding counts the engines that decode.
func decoding(all []*registrar.Endpoint) int {
	n := 0
	for _, e := range all {
		if e.Decodes() {
			n++
		}
	}
	return n
}
