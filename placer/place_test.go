package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// cutPool gives count endpoints in each of the data centres a and b.
func cutPool(count int, stage registrar.Stage) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for _, dc := range []identifier.DataCenter{"a", "b"} {
		for n := range count {
			name := identifier.Endpoint(fmt.Sprintf("%s%d", dc, n))
			all = append(all, &registrar.Endpoint{Name: name, DataCenter: dc, Slots: 4, Stage: stage, Started: 1})
		}
	}
	return all
}

// lose plays calls to the first endpoints of data centre b that get no answer.
func lose(p *placer.Placer, all []*registrar.Endpoint, count int) {
	for _, e := range all[len(all)/2:][:count] {
		call(p, e, placer.VerdictBroken, 0, 0)
	}
}

// TestCutOff plays a data centre that is cut off: each of its endpoints would
// cost a timeout to find out.
func TestCutOff(t *testing.T) {
	const each = 10
	decodes := func(p *placer.Placer, all []*registrar.Endpoint, now time.Duration) map[identifier.DataCenter]int {
		found := map[identifier.DataCenter]int{}
		for _, e := range p.Decodes(all, nil, placer.Room{Most: 2 * each}, at(now)) {
			found[e.DataCenter]++
		}
		return found
	}
	t.Run("its other endpoints are no candidates after a few lost calls", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), cutPool(each, registrar.StageDecode)
		lose(p, all, 3)
		found := decodes(p, all, 100*time.Millisecond)
		i.Equal(found["a"], each)
		i.Equal(found["b"], 0)
	})
	t.Run("single endpoints that die leave the others alone", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), cutPool(each, registrar.StageDecode)
		for _, e := range all[each:][:5] {
			call(p, e, placer.VerdictBroken, 0, 0)
			call(p, all[len(all)-1], placer.VerdictSound, 0, 0)
		}
		i.Equal(decodes(p, all, 100*time.Millisecond)["b"], each-5)
	})
	t.Run("a probe that gets through ends the doubt", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), cutPool(each, registrar.StageDecode)
		lose(p, all, 3)
		p.Probed(all[each], true, at(50*time.Millisecond))
		i.Equal(decodes(p, all, 100*time.Millisecond)["b"], each-2)
	})
	t.Run("it is tried again after a while", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), cutPool(each, registrar.StageDecode)
		lose(p, all, 3)
		i.True(decodes(p, all, 2*time.Second)["b"] > 0)
	})
	t.Run("its prefill engines are a last resort before none", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), cutPool(each, registrar.StagePrefill)
		lose(p, all, 3)
		now := at(100 * time.Millisecond)
		i.Equal(p.Prefill(all, "b", nil, now).DataCenter, identifier.DataCenter("a"))
		i.Equal(p.Prefill(all[each:], "b", nil, now).DataCenter, identifier.DataCenter("b"))
	})
	t.Run("calls to plain services keep away from it", func(t *testing.T) {
		p, all := placer.New(placer.Options{DataCenter: "b"}, 1), cutPool(each, registrar.StageAny)
		lose(p, all, 3)
		is.New(t).Equal(p.Plain(all, nil, at(100*time.Millisecond)).DataCenter, identifier.DataCenter("a"))
	})
}

// TestNear fills engines in two data centres for homes in one of them: what is
// placed in the home's own outlives a cut between them.
func TestNear(t *testing.T) {
	const (
		each   = 4
		tokens = 5_000
		memory = 20_000
	)
	fill := func(count int) (near, far int) {
		p, all := newPlacer(), cutPool(each, registrar.StageDecode)
		for range count {
			list := p.Decodes(all, nil, placer.Room{Tokens: tokens, Memory: memory, Near: "b", Most: 1}, at(0))
			if len(list) == 0 {
				return near, far
			}
			p.Begin(list[0], tokens)
			if list[0].DataCenter == "b" {
				near++
			} else {
				far++
			}
		}
		return near, far
	}
	t.Run("engines in the home's data centre come first", func(t *testing.T) {
		i := is.New(t)
		near, far := fill(each)
		i.Equal(near, each)
		i.Equal(far, 0)
	})
	t.Run("the others take their share before those are full", func(t *testing.T) {
		near, far := fill(5 * each)
		is.New(t).True(near > far && far > each)
	})
	t.Run("all are filled", func(t *testing.T) {
		i := is.New(t)
		near, far := fill(100 * each)
		i.Equal(near+far, 2*each*memory/tokens)
	})
}
