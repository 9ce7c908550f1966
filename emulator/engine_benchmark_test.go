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

// BenchmarkStep is the step loop's own cost, without its waiting: a full batch
// and eight prefills that wait.
func BenchmarkStep(b *testing.B) {
	e := NewEngine(b.Context(), EngineSettings{Model: testModel}, EngineDeps{})
	defer e.Close()
	e.SetFaults(Faults{Stall: true}) // the loop itself rests
	for i := range uint64(28) {
		w := newPrefill(prefillRequest(i+1, promptOf(500), 1<<30).Msg)
		w.phase = phasePrefill
		if i < 20 {
			w.phase, w.stream = phaseDecoding, newStream()
		}
		w.tokens = 1 << 30
		e.mu.Lock()
		e.hold(w)
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

// benchmarkEngines serves engines over loopback and gives their clients.
func benchmarkEngines(b *testing.B, count int, s EngineSettings) []enginewireconnect.EngineServiceClient {
	b.Helper()
	g := grouper.New(b.Context())
	var clients []enginewireconnect.EngineServiceClient
	var engines []*Engine
	for range count {
		e := NewEngine(g.Context(), s, EngineDeps{})
		address, err := Serve(g.Context(), g, anyPort, e.Handler())
		if err != nil {
			b.Fatal(err)
		}
		engines = append(engines, e)
		clients = append(clients, enginewireconnect.NewEngineServiceClient(NewHTTPClient(), "http://"+string(address)))
	}
	b.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // connections that were cut are of no interest here
		for _, e := range engines {
			e.Close()
		}
	})
	return clients
}

// answerOnce takes one request through prefill, import and decode.
func answerOnce(ctx context.Context, c enginewireconnect.EngineServiceClient, sequence uint64, tokens uint32) error {
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
	defer func() { _ = s.Close() }() // the stream has its error already
	for s.Receive() {
		_ = s.Msg().GetText()
	}
	return s.Err()
}

// drive keeps every slot of the engines busy for a while and reports what
// came of it, with the processor time of both sides.
func drive(b *testing.B, clients []enginewireconnect.EngineServiceClient, tokens uint32, lasts time.Duration) {
	b.Helper()
	var answers, sequence atomic.Uint64
	g := grouper.New(b.Context())
	began, cpu := time.Now(), processorTime()
	for _, c := range clients {
		for range DefaultEngineSettings().Slots {
			g.Go(func(ctx context.Context) error {
				for time.Since(began) < lasts {
					if err := answerOnce(ctx, c, sequence.Add(1), tokens); err != nil {
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
	took := time.Since(began).Seconds()
	b.ReportMetric(float64(answers.Load())/took, "requests/s")
	b.ReportMetric(float64(answers.Load())*float64(tokens)/took, "tokens/s")
	b.ReportMetric((processorTime()-cpu).Seconds()/took, "cores")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPace runs thirteen full engines at their own speed. Each step of a
// full batch takes 32 ms, so that at most 8125 tokens come a second.
func BenchmarkPace(b *testing.B) {
	clients := benchmarkEngines(b, 13, EngineSettings{Model: testModel})
	for b.Loop() {
		drive(b, clients, 100, 10*time.Second)
	}
}

// BenchmarkCapacity runs thirteen engines whose speed is no limit.
func BenchmarkCapacity(b *testing.B) {
	s := EngineSettings{Model: testModel, Scale: 1000, ResultKeep: time.Hour, ImportKeep: time.Hour}
	clients := benchmarkEngines(b, 13, s)
	for b.Loop() {
		drive(b, clients, 50, 3*time.Second)
	}
}
