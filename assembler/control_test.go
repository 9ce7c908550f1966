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

// maxControlBytesPerSecond bounds the control traffic that an idle host sends.
const maxControlBytesPerSecond = 4 << 10

// controlTraffic holds the traffic and memory per host of one run of nine hosts.
type controlTraffic struct {
	bytesPerHostSecond float64
	requestsPerSecond  float64
	heapPerHost        float64
}

// measureTraffic runs nine hosts in three data centers for a minute of virtual
// time and sends urgent quotes at rate requests per second, or none if it is 0.
func measureTraffic(t *testing.T, rate float64) (m controlTraffic) {
	const span = time.Minute
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		source, err := os.ReadFile("../examples/tamsui.toml")
		i.NoErr(err)
		log, err := logger.New("error", os.Stderr)
		i.NoErr(err)
		heapBefore := heapInUse()
		s, err := assembler.Start(t.Context(), assembler.Options{
			Source: source, HostsPerDataCenter: 3, MemoryNetwork: true, Log: log, Engine: emulator.RealisticEngineSettings(),
		})
		i.NoErr(err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		i.NoErr(s.WaitReady(ctx))
		time.Sleep(30 * time.Second) // until the membership is stable
		sentBefore := sentPeerBytes(s)
		if rate > 0 {
			sendQuotes(t, s, rate, span)
		} else {
			time.Sleep(span)
		}
		hosts := float64(len(s.Hosts()))
		m.bytesPerHostSecond = float64(sentPeerBytes(s)-sentBefore) / span.Seconds() / hosts
		m.requestsPerSecond = rate / hosts
		m.heapPerHost = float64(heapInUse()-heapBefore) / hosts
	})
	return m
}

func sendQuotes(t *testing.T, s *assembler.System, rate float64, span time.Duration) {
	i := is.New(t)
	var urls []string
	for _, a := range s.CallerAddresses() {
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

func sentPeerBytes(s *assembler.System) (sum uint64) {
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

// TestControlTraffic measures the traffic between idle hosts and the traffic that
// each request adds, and checks the former against its bound.
func TestControlTraffic(t *testing.T) {
	i := is.New(t)
	idle := measureTraffic(t, 0)
	lowRate := measureTraffic(t, 4.5)
	highRate := measureTraffic(t, 18)
	perRequest := (highRate.bytesPerHostSecond - lowRate.bytesPerHostSecond) / (highRate.requestsPerSecond - lowRate.requestsPerSecond)
	t.Logf("idle %.0f B/s a host, with 0.5 and 2 requests/s a host %.0f and %.0f B/s: %.0f B a request; heap %.1f MB a host including its share of the emulators",
		idle.bytesPerHostSecond, lowRate.bytesPerHostSecond, highRate.bytesPerHostSecond, perRequest, idle.heapPerHost/1e6)
	i.True(idle.bytesPerHostSecond <= maxControlBytesPerSecond)
}
