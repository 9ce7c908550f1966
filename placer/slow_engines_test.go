package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// newPlacerWithSlowEngine returns a placer that has found engine a eight times slower
// than expected, and the engines.
func newPlacerWithSlowEngine(stage registrar.Stage) (*placer.Placer, []*registrar.Endpoint) {
	p, all := newPlacer(), threeEndpoints(stage)
	for range 20 {
		p.RecordSlowness(all[0], 8, at(0))
	}
	return p, all
}

// Engines that had become several times slower than others got as many requests as
// these.
func TestSlowEngines(t *testing.T) {
	slowOnly := demand
	slowOnly.MaxSlowness = 3
	t.Run("get a prompt only if it is done earlier there", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StagePrefill)
		d := placer.PrefillDemand{Prompt: 5000, PreferredDataCenter: "a"}
		got := map[identifier.Endpoint]int{}
		for range 15 { // 40,000 tokens of time at the slow one are 8 prompts elsewhere
			e := p.ChoosePrefill(all, d, nil, at(0))
			p.Begin(e, placer.Size{Tokens: d.Prompt})
			got[e.Name]++
		}
		i.True(got["a"] <= 1)
		i.True(got["b"] >= 6)
		i.True(got["c"] >= 6)
	})
	t.Run("come last among decode engines with the same load", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StageDecode)
		for _, e := range all {
			p.Begin(e, placer.Size{Tokens: 10_000})
		}
		candidates := p.DecodeCandidates(all, nil, demand, at(0))
		i.Equal(len(candidates), 3)
		i.Equal(candidates[2].Name, identifier.Endpoint("a"))
	})
	t.Run("get no response that would not be complete in time", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StageDecode)
		p.Begin(all[0], placer.Size{Tokens: 1000})
		i.Equal(len(p.DecodeCandidates(all, nil, slowOnly, at(0))), 2)
		i.True(!p.HasCapacity("a", slowOnly, at(0)))
	})
	t.Run("get one at a time, so that they are measured again", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StageDecode)
		i.Equal(len(p.DecodeCandidates(all, nil, slowOnly, at(0))), 3)
	})
	t.Run("get responses again some time after the last measurement", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StageDecode)
		p.Begin(all[0], placer.Size{Tokens: 1000})
		i.Equal(len(p.DecodeCandidates(all, nil, slowOnly, at(20*time.Second))), 3)
	})
	t.Run("are not slow any more after a restart", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacerWithSlowEngine(registrar.StageDecode)
		restarted := *all[0]
		restarted.StartID++
		i.Equal(p.Slowness(&restarted, at(0)), 1.0)
	})
}
