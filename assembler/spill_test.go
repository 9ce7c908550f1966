package assembler_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/launcher"
	"github.com/jackdawthread/jackdawthread/loader"
	"github.com/jackdawthread/jackdawthread/logger"
)

// measureSkewedGoodput sends urgent quotes to the hosts of one data center only, at
// twice the rate that its own engine sustains, and returns the share that met both
// latency targets.
func measureSkewedGoodput(t *testing.T, spillWait time.Duration, seed uint64) (share float64) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		source, err := os.ReadFile("../examples/tamsui.toml")
		i.NoErr(err)
		source = bytes.ReplaceAll(source, []byte("requests-per-second = 40\nburst = 80"), []byte("requests-per-second = 4000\nburst = 4000"))
		log, err := logger.New("error", os.Stderr)
		i.NoErr(err)
		options := coordinator.DefaultOptions()
		options.SpillWait = spillWait
		s, err := assembler.Start(t.Context(), assembler.Options{
			Source: source, HostsPerDataCenter: 2, MemoryNetwork: true, Seed: seed, Log: log,
			Engine:        emulator.RealisticEngineSettings(),
			LaunchOptions: func(_ identifier.Host, o *launcher.Options) { o.Coordinator = &options },
		})
		i.NoErr(err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		i.NoErr(s.WaitReady(ctx))
		h := s.HTTPClient()
		defer h.CloseIdleConnections()
		quotes := loader.TamsuiMix()[:1]
		report, err := loader.Run(t.Context(), loader.Settings{
			Mix: quotes, Rate: 20, Duration: 25 * time.Second, Warmup: 8 * time.Second, Seed: seed,
		}, loader.NewConnectCaller(h, "http://"+string(s.CallerAddresses()[0]), "http://"+string(s.CallerAddresses()[1])), nil)
		i.NoErr(err)
		share = report.Kinds[0].GoodShare
		t.Logf("spill wait %s, seed %d: good %.3f, first token p95 %.0f ms, verdicts %v, reasons %v",
			spillWait, seed, share, report.Kinds[0].FirstToken.P95, report.Kinds[0].Verdicts, report.Kinds[0].Reasons)
	})
	return share
}

// goodShareTarget is the share of urgent requests that have to meet both latency
// targets.
const goodShareTarget = 0.95

var spillSeeds = flag.Uint64("spill-seeds", 1, "number of seeds that TestSpill runs")

func TestSpill(t *testing.T) {
	for seed := range *spillSeeds {
		i := is.New(t)
		without := measureSkewedGoodput(t, 0, seed+1)
		with := measureSkewedGoodput(t, coordinator.DefaultOptions().SpillWait, seed+1)
		i.True(with >= goodShareTarget)
		i.True(with >= without)
	}
}
