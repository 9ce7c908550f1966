package assembler_test

import (
	"context"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
	"github.com/jackdawthread/jackdawthread/logger"
)

// controlBytesTarget is what a host may send for control, in bytes a second.
const controlBytesTarget = 4 << 10

// traffic is what one run of nine hosts cost.
type traffic struct {
	bytesPerHostSecond float64
	requestsPerSecond  float64
	heapPerHost        float64
}

// measureTraffic runs nine hosts of three data centres for a minute of virtual
// time, under urgent quotes at a rate; 0: none.
func measureTraffic(t *testing.T, rate float64) (m traffic) {
	const span = time.Minute
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		source, err := os.ReadFile("../examples/tamsui.toml")
		i.NoErr(err)
		log, err := logger.New("error", os.Stderr)
		i.NoErr(err)
		before := heapInUse()
		s, err := assembler.Start(t.Context(), assembler.Options{
			Source: source, HostsPerDataCenter: 3, Memory: true, Log: log, Engine: emulator.RealisticEngineSettings(),
		})
		i.NoErr(err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		i.NoErr(s.WaitReady(ctx))
		time.Sleep(30 * time.Second) // membership settles
		sent := peerBytes(s)
		if rate > 0 {
			quote(t, s, rate, span)
		} else {
			time.Sleep(span)
		}
		hosts := float64(len(s.Hosts()))
		m.bytesPerHostSecond = float64(peerBytes(s)-sent) / span.Seconds() / hosts
		m.requestsPerSecond = rate / hosts
		m.heapPerHost = float64(heapInUse()-before) / hosts
	})
	return m
}

func quote(t *testing.T, s *assembler.System, rate float64, span time.Duration) {
	i := is.New(t)
	var urls []string
	for _, a := range s.Callers() {
		urls = append(urls, "http://"+string(a))
	}
	h := s.HTTPClient()
	defer h.CloseIdleConnections()
	report, err := loader.Run(t.Context(), loader.Settings{
		Mix: loader.TamsuiMix()[:1], Rate: rate, Duration: span, Seed: 1,
	}, loader.NewConnectCaller(h, urls...), nil)
	i.NoErr(err)
	i.Equal(report.Kinds[0].Verdicts["answered"], report.Kinds[0].Sent)
}

func peerBytes(s *assembler.System) (sum uint64) {
	for _, name := range s.Hosts() {
		sum += s.Host(name).SentPeerBytes()
	}
	return sum
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// TestControlBytes measures what hosts send each other without requests, and
// what each request adds.
func TestControlBytes(t *testing.T) {
	i := is.New(t)
	idle := measureTraffic(t, 0)
	slow := measureTraffic(t, 4.5)
	fast := measureTraffic(t, 18)
	perRequest := (fast.bytesPerHostSecond - slow.bytesPerHostSecond) / (fast.requestsPerSecond - slow.requestsPerSecond)
	t.Logf("idle %.0f B/s a host, with 0.5 and 2 requests/s a host %.0f and %.0f B/s: %.0f B a request; heap %.1f MB a host with its share of the stand-ins",
		idle.bytesPerHostSecond, slow.bytesPerHostSecond, fast.bytesPerHostSecond, perRequest, idle.heapPerHost/1e6)
	i.True(idle.bytesPerHostSecond <= controlBytesTarget)
}
