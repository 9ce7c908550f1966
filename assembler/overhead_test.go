package assembler_test

import (
	"context"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/logger"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

const overheadSource = `
firm = "tamsui"

[[data-center]]
name = "tw-north-1"
region = "tw-north"

[[service]]
name = "lookup"
kind = "plain"
urgency = "urgent"
repeatable = true
objective = 0.99
timeout = "5s"
queue-limit = 100

[[service]]
name = "dealer-desk"
kind = "model"
model = "quotes-8b"
urgency = "urgent"
repeatable = true
first-token = "1.6s"
between-tokens = "47ms"
objective = 0.95
timeout = "20s"
queue-limit = 200
max-prompt-tokens = 4000
max-output-tokens = 400

[[endpoint]]
name = "lookup-1"
service = "lookup"
data-center = "tw-north-1"
address = "127.0.0.1:1"
slots = 500

[[endpoint]]
name = "desk-1"
service = "dealer-desk"
data-center = "tw-north-1"
address = "127.0.0.1:2"
role = "both"

[default-customer]
requests-per-second = 1000000
burst = 1000000
`

// fastEngineSettings makes the time of an engine's own work negligible.
func fastEngineSettings() emulator.EngineSettings {
	e := emulator.DefaultEngineSettings()
	e.StepBase = 20 * time.Microsecond
	e.StepPerRequest = time.Microsecond
	e.PrefillRate = 1e9
	return e
}

func startFastSystem(b testing.TB) *assembler.System {
	b.Helper()
	i := is.New(b)
	log, err := logger.New("error", os.Stderr)
	i.NoErr(err)
	s, err := assembler.Start(b.Context(), assembler.Options{
		Source: []byte(overheadSource), HostsPerDataCenter: 2, Engine: fastEngineSettings(), Log: log,
	})
	i.NoErr(err)
	b.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()
	i.NoErr(s.WaitReady(ctx))
	time.Sleep(500 * time.Millisecond) // until the engines' first load reports
	return s
}

// BenchmarkOverhead calls the emulated endpoints directly and through an entry host
// in one run. The CPU time is that of the whole process: caller, entry hosts and
// emulated endpoints.
func BenchmarkOverhead(b *testing.B) {
	s := startFastSystem(b)
	c := connector.New(connector.Options{})
	plain := s.Fleet.Endpoints["lookup-1"]
	engine := s.Fleet.Endpoints["desk-1"]
	caller := callerwireconnect.NewCallerServiceClient(s.HTTPClient(), "http://"+string(s.CallerAddresses()[0]))
	var sequence uint64
	b.Run("plain/direct", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error {
			_, err := c.Plain(plain.Address).Invoke(ctx, connect.NewRequest(&enginewire.InvokeRequest{Service: "lookup"}))
			return err
		})
	})
	b.Run("plain/routed", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error {
			_, err := caller.Call(ctx, connect.NewRequest(&callerwire.CallRequest{Service: "lookup", Customer: "c"}))
			return err
		})
	})
	b.Run("load-report", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error {
			_, err := c.Engine(engine.Address).Load(ctx, connect.NewRequest(&enginewire.LoadRequest{}))
			return err
		})
	})
	b.Run("model/direct", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error {
			sequence++
			return generateDirectly(ctx, c, engine.Address, &enginewire.Attempt{Incarnation: 1, Sequence: sequence})
		})
	})
	b.Run("model/routed", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error { return generateRouted(ctx, caller, overheadTokens) })
	})
	b.Run("model/routed-long", func(b *testing.B) {
		benchmarkCalls(b, func(ctx context.Context) error { return generateRouted(ctx, caller, longTokens) })
	})
}

const (
	overheadPrompt = "copper, twenty tonnes, Taoyuan, delivered on Thursday?"
	overheadTokens = 16
	longTokens     = 400
)

// benchmarkCalls reports the CPU time per call in addition to the elapsed time.
func benchmarkCalls(b *testing.B, call func(context.Context) error) {
	i := is.New(b)
	i.NoErr(call(b.Context())) // opens the connections
	b.ReportAllocs()
	before := processCPUTime()
	for b.Loop() {
		i.NoErr(call(b.Context()))
	}
	b.ReportMetric(float64(processCPUTime()-before)/float64(b.N), "cpu-ns/op")
}

// processCPUTime returns the CPU time that the process has used so far.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// generateDirectly makes the engine calls of a request without an entry host.
func generateDirectly(ctx context.Context, c *connector.Connector, at identifier.Address, attempt *enginewire.Attempt) error {
	engine := c.Engine(at)
	prefilled, err := engine.Prefill(ctx, connect.NewRequest(&enginewire.PrefillRequest{
		Attempt: attempt, Model: "quotes-8b", Prompt: overheadPrompt, MaxTokens: overheadTokens,
	}))
	if err != nil {
		return err
	}
	_, err = engine.Import(ctx, connect.NewRequest(&enginewire.ImportRequest{
		Attempt: attempt, Model: "quotes-8b", Handle: prefilled.Msg.GetHandle(), SourceAddress: string(at),
		SourceDataCenter: "tw-north-1", Pieces: 8,
	}))
	if err != nil {
		return err
	}
	stream, err := engine.Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{Attempt: attempt}))
	if err != nil {
		return err
	}
	for stream.Receive() {
		if stream.Msg().GetDone() {
			break
		}
	}
	return stream.Close()
}

func generateRouted(ctx context.Context, caller callerwireconnect.CallerServiceClient, tokens uint32) error {
	stream, err := caller.Generate(ctx, connect.NewRequest(&callerwire.GenerateRequest{
		Service: "dealer-desk", Customer: "c", Prompt: overheadPrompt, MaxTokens: tokens,
	}))
	if err != nil {
		return err
	}
	for stream.Receive() {
	}
	return stream.Err()
}

// maxAddedLatency is one hundredth of the first-token target of 1.6 s.
const maxAddedLatency = 16 * time.Millisecond

// TestAddedLatency compares the median latencies of direct and routed requests,
// which alternate in one run.
func TestAddedLatency(t *testing.T) {
	i := is.New(t)
	s := startFastSystem(t)
	c := connector.New(connector.Options{})
	engine := s.Fleet.Endpoints["desk-1"]
	caller := callerwireconnect.NewCallerServiceClient(s.HTTPClient(), "http://"+string(s.CallerAddresses()[1]))
	var direct, routed []time.Duration
	for n := range uint64(101) {
		direct = append(direct, measureDuration(t, func() error {
			return generateDirectly(t.Context(), c, engine.Address, &enginewire.Attempt{Incarnation: 1, Sequence: n + 1})
		}))
		routed = append(routed, measureDuration(t, func() error { return generateRouted(t.Context(), caller, overheadTokens) }))
	}
	added := median(routed) - median(direct)
	t.Logf("direct %s, routed %s, added %s", median(direct), median(routed), added)
	i.True(added <= maxAddedLatency)
}

func measureDuration(t *testing.T, call func() error) time.Duration {
	t.Helper()
	started := time.Now()
	if err := call(); err != nil {
		t.Fatal(err)
	}
	return time.Since(started)
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}
