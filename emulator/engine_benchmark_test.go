package emulator

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// BenchmarkStep measures the cost of the step loop without its waits, with a
// full batch and eight pending prefills.
func BenchmarkStep(b *testing.B) {
	e := NewEngine(b.Context(), EngineSettings{Model: testModel}, EngineDeps{})
	defer e.Close()
	e.SetFaults(Faults{Stall: true}) // the loop itself is idle
	for i := range uint64(28) {
		w := newPrefill(prefillRequest(i+1, promptOf(500), 1<<30).Msg)
		w.phase = phasePrefill
		if i < 20 {
			w.phase, w.stream = phaseDecoding, newStream()
		}
		w.tokens = 1 << 30
		e.mu.Lock()
		e.register(w)
		e.mu.Unlock()
	}
	e.faults.Store(&Faults{}) // without waking the loop
	var s step
	b.ReportAllocs()
	for b.Loop() {
		e.planStep(&s)
		e.finishStep(&s)
	}
}

// benchmarkEngines serves engines over loopback and returns their clients.
func benchmarkEngines(b *testing.B, count int, s EngineSettings) []enginewireconnect.EngineServiceClient {
	b.Helper()
	g := grouper.New(b.Context())
	var clients []enginewireconnect.EngineServiceClient
	var engines []*Engine
	for range count {
		e := NewEngine(g.Context(), s, EngineDeps{})
		address, err := Serve(g.Context(), g, ephemeralAddress, e.Handler())
		if err != nil {
			b.Fatal(err)
		}
		engines = append(engines, e)
		clients = append(clients, enginewireconnect.NewEngineServiceClient(NewHTTPClient(), "http://"+string(address)))
	}
	b.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // errors of closed connections are irrelevant here
		for _, e := range engines {
			e.Close()
		}
	})
	return clients
}

// runRequest runs one request through prefill, import and decode.
func runRequest(ctx context.Context, c enginewireconnect.EngineServiceClient, sequence uint64, tokens uint32) error {
	p, err := c.Prefill(ctx, prefillRequest(sequence, fmt.Sprint(sequence, promptOf(200)), tokens))
	if err != nil {
		return err
	}
	if _, err = c.Import(ctx, connect.NewRequest(&enginewire.ImportRequest{
		Attempt: newAttempt(sequence), Model: testModel, Handle: p.Msg.GetHandle(),
	})); err != nil {
		return err
	}
	s, err := c.Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{Attempt: newAttempt(sequence)}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // errors are reported by s.Err
	for s.Receive() {
		_ = s.Msg().GetText()
	}
	return s.Err()
}

// runLoad keeps every slot of the engines busy for a duration and reports the
// throughput and the processor time of clients and engines.
func runLoad(b *testing.B, clients []enginewireconnect.EngineServiceClient, tokens uint32, duration time.Duration) {
	b.Helper()
	var answers, sequence atomic.Uint64
	g := grouper.New(b.Context())
	start, cpu := time.Now(), processorTime()
	for _, c := range clients {
		for range DefaultEngineSettings().Slots {
			g.Go(func(ctx context.Context) error {
				for time.Since(start) < duration {
					if err := runRequest(ctx, c, sequence.Add(1), tokens); err != nil {
						return err
					}
					answers.Add(1)
				}
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	elapsed := time.Since(start).Seconds()
	b.ReportMetric(float64(answers.Load())/elapsed, "requests/s")
	b.ReportMetric(float64(answers.Load())*float64(tokens)/elapsed, "tokens/s")
	b.ReportMetric((processorTime()-cpu).Seconds()/elapsed, "cores")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for RUSAGE_SELF
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPace runs thirteen fully loaded engines in real time. Each step of a
// full batch takes 32 ms, so at most 8125 tokens per second are possible.
func BenchmarkPace(b *testing.B) {
	clients := benchmarkEngines(b, 13, EngineSettings{Model: testModel})
	for b.Loop() {
		runLoad(b, clients, 100, 10*time.Second)
	}
}

// BenchmarkCapacity runs thirteen engines whose emulated speed is not the
// bottleneck.
func BenchmarkCapacity(b *testing.B) {
	s := EngineSettings{Model: testModel, Scale: 1000, ResultTTL: time.Hour, ImportTTL: time.Hour}
	clients := benchmarkEngines(b, 13, s)
	for b.Loop() {
		runLoad(b, clients, 50, 3*time.Second)
	}
}
