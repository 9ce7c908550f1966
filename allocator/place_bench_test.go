package allocator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

var benchEpoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

// benchPool returns a half-full pool of n endpoints, half of each role.
func benchPool(n int) *Pool {
	s := &compiler.Service{Name: "bench"}
	for i := range n {
		role := compiler.RolePrefill
		if i%2 == 1 {
			role = compiler.RoleDecode
		}
		s.Endpoints = append(s.Endpoints, &compiler.Endpoint{
			Name: identifier.Endpoint(fmt.Sprintf("runner-%d", i)), Role: role, Slots: 20, Pieces: 2000, TokensPerPiece: 64,
		})
	}
	p := New(s, "", nil, Options{MaxPrefillWait: time.Hour, StaleLimit: time.Hour}, 1)
	for _, e := range s.Endpoints {
		p.Report(e.Name, Report{}, benchEpoch)
	}
	for i := range 5 * n {
		p.Ask(benchAsk(i), benchEpoch)
	}
	return p
}

func benchAsk(i int) SlotRequest {
	blocks := make([]identifier.BlockHash, 16)
	for b := range blocks {
		blocks[b] = identifier.BlockHash(i%500*100 + b)
	}
	return SlotRequest{
		Attempt: identifier.Attempt{Incarnation: 1, Sequence: uint64(i + 1)}, Urgency: compiler.UrgencyUrgent,
		PromptTokens: 1024, MaxTokens: 200, Blocks: blocks,
	}
}

var poolSizes = []int{10, 100, 1000, 10_000}

// BenchmarkPlace measures one placement decision.
func BenchmarkPlace(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := benchPool(n)
			asks := make([]*pendingRequest, 512)
			for i := range asks {
				asks[i] = p.newPendingRequest(benchAsk(i), benchEpoch)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.place(asks[i%len(asks)], benchEpoch)
			}
		})
	}
}

// BenchmarkAskAndRelease measures the pool's total work for one attempt.
func BenchmarkAskAndRelease(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := benchPool(n)
			asks := make([]SlotRequest, 512)
			for i := range asks {
				asks[i] = benchAsk(1_000_000 + i)
			}
			now := benchEpoch
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := asks[i%len(asks)]
				a.Attempt.Sequence = uint64(1_000_000 + i)
				now = now.Add(time.Millisecond)
				p.Ask(a, now)
				p.AdvancePhase(a.Attempt, PhasePrefilled, now)
				p.AdvancePhase(a.Attempt, PhaseTransferred, now)
				p.Release(a.Attempt, Outcome{Ending: EndingDone}, now)
				if i%100 == 0 {
					p.Tick(now)
				}
			}
		})
	}
}

// BenchmarkReport measures the processing of a load report with 10 attempts.
func BenchmarkReport(b *testing.B) {
	p := benchPool(1000)
	e := p.endpoints[1]
	r := Report{Slots: 20, Pieces: 2000, StepTime: 30 * time.Millisecond}
	for _, h := range e.allocations {
		r.Attempts = append(r.Attempts, h.grant.attempt)
	}
	b.ReportAllocs()
	for range b.N {
		p.Report(e.name, r, benchEpoch)
	}
}

// BenchmarkMemory measures the heap usage per endpoint with four to five
// grants, and per further slot request.
func BenchmarkMemory(b *testing.B) {
	const n = 10_000
	for range b.N {
		begin := heapBytes()
		p := benchPool(n)
		built := heapBytes()
		before := len(p.grants)
		for i := range 2 * n {
			p.Ask(benchAsk(5*n+i), benchEpoch)
		}
		b.ReportMetric(float64(built-begin)/n, "B/endpoint")
		b.ReportMetric(float64(heapBytes()-built)/float64(2*n), "B/ask")
		b.ReportMetric(float64(before)/n, "grants/endpoint")
		runtime.KeepAlive(p)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestPlaceAllocatesNothing(t *testing.T) {
	p := benchPool(1000)
	ask := p.newPendingRequest(benchAsk(7), benchEpoch)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { p.place(ask, benchEpoch) }), 0.0)
}

// TestPlaceCostIsFlat checks that the cost of a placement hardly depends on the
// number of endpoints. The bound allows for the effect of CPU caches.
func TestPlaceCostIsFlat(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a second")
	}
	const bound = 10.0
	cost := func(n int) float64 {
		p := benchPool(n)
		asks := make([]*pendingRequest, 512)
		for i := range asks {
			asks[i] = p.newPendingRequest(benchAsk(i), benchEpoch)
		}
		best := time.Hour
		for range 5 {
			begin := time.Now()
			for i := range 20_000 {
				p.place(asks[i%len(asks)], benchEpoch)
			}
			best = min(best, time.Since(begin))
		}
		return best.Seconds()
	}
	ratio := cost(10_000) / cost(100)
	t.Logf("placement with 10000 endpoints takes %.2f times as long as with 100", ratio)
	is.New(t).True(ratio < bound)
}
