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

// twoDataCenters returns count endpoints in each of the data centers a and b.
func twoDataCenters(count int, stage registrar.Stage) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for _, dc := range []identifier.DataCenter{"a", "b"} {
		for n := range count {
			name := identifier.Endpoint(fmt.Sprintf("%s%d", dc, n))
			all = append(all, &registrar.Endpoint{Name: name, DataCenter: dc, Slots: 4, Stage: stage, StartID: 1})
		}
	}
	return all
}

// loseCalls records one unanswered call to each of the first count endpoints of
// data center b.
func loseCalls(p *placer.Placer, all []*registrar.Endpoint, count int) {
	for _, e := range all[len(all)/2:][:count] {
		call(p, e, placer.VerdictResponseFailed, 0, 0)
	}
}

// TestDataCenterOutage guards against paying a timeout per endpoint when a whole
// data center becomes unreachable.
func TestDataCenterOutage(t *testing.T) {
	const each = 10
	decodes := func(p *placer.Placer, all []*registrar.Endpoint, now time.Duration) map[identifier.DataCenter]int {
		found := map[identifier.DataCenter]int{}
		for _, e := range p.DecodeCandidates(all, nil, placer.CapacityDemand{MaxEngines: 2 * each}, at(now)) {
			found[e.DataCenter]++
		}
		return found
	}
	t.Run("its other endpoints are not candidates after a few unanswered calls", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), twoDataCenters(each, registrar.StageDecode)
		loseCalls(p, all, 3)
		found := decodes(p, all, 100*time.Millisecond)
		i.Equal(found["a"], each)
		i.Equal(found["b"], 0)
	})
	t.Run("failures of single endpoints do not affect the others", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), twoDataCenters(each, registrar.StageDecode)
		for _, e := range all[each:][:5] {
			call(p, e, placer.VerdictResponseFailed, 0, 0)
			call(p, all[len(all)-1], placer.VerdictSuccess, 0, 0)
		}
		i.Equal(decodes(p, all, 100*time.Millisecond)["b"], each-5)
	})
	t.Run("a successful probe ends the suspicion", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), twoDataCenters(each, registrar.StageDecode)
		loseCalls(p, all, 3)
		p.RecordProbe(all[each], true, at(50*time.Millisecond))
		i.Equal(decodes(p, all, 100*time.Millisecond)["b"], each-2)
	})
	t.Run("it is tried again after suspectDuration", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), twoDataCenters(each, registrar.StageDecode)
		loseCalls(p, all, 3)
		i.True(decodes(p, all, 2*time.Second)["b"] > 0)
	})
	t.Run("its prefill engines are used only if there are no others", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), twoDataCenters(each, registrar.StagePrefill)
		loseCalls(p, all, 3)
		now := at(100 * time.Millisecond)
		i.Equal(p.ChoosePrefill(all, placer.PrefillDemand{PreferredDataCenter: "b"}, nil, now).DataCenter, identifier.DataCenter("a"))
		i.Equal(p.ChoosePrefill(all[each:], placer.PrefillDemand{PreferredDataCenter: "b"}, nil, now).DataCenter, identifier.DataCenter("b"))
	})
	t.Run("plain calls go to other data centers", func(t *testing.T) {
		p, all := placer.New(placer.Options{DataCenter: "b"}, 1), twoDataCenters(each, registrar.StageAny)
		loseCalls(p, all, 3)
		is.New(t).Equal(p.ChoosePlain(all, nil, at(100*time.Millisecond)).DataCenter, identifier.DataCenter("a"))
	})
}

// TestPreferredDataCenter places requests that prefer one of two data centers until
// all engines are full. Requests placed in the preferred one survive an outage of
// the link between them.
func TestPreferredDataCenter(t *testing.T) {
	const (
		each   = 4
		tokens = 5_000
		memory = 20_000
	)
	fill := func(count int) (near, far int) {
		p, all := newPlacer(), twoDataCenters(each, registrar.StageDecode)
		for range count {
			list := p.DecodeCandidates(all, nil, placer.CapacityDemand{Size: placer.Size{Tokens: tokens}, Memory: memory, PreferredDataCenter: "b", MaxEngines: 1}, at(0))
			if len(list) == 0 {
				return near, far
			}
			p.Begin(list[0], placer.Size{Tokens: tokens})
			if list[0].DataCenter == "b" {
				near++
			} else {
				far++
			}
		}
		return near, far
	}
	t.Run("engines in the preferred data center are chosen first", func(t *testing.T) {
		i := is.New(t)
		near, far := fill(each)
		i.Equal(near, each)
		i.Equal(far, 0)
	})
	t.Run("engines elsewhere are used before the preferred ones are full", func(t *testing.T) {
		near, far := fill(5 * each)
		is.New(t).True(near > far && far > each)
	})
	t.Run("all are filled", func(t *testing.T) {
		i := is.New(t)
		near, far := fill(100 * each)
		i.Equal(near+far, 2*each*memory/tokens)
	})
}
