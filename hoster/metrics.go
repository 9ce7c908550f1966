package hoster

import (
	"expvar"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/forwarder"
)

const (
	// Range and precision of the latency histograms, in milliseconds.
	minLatencyMs     = 1
	maxLatencyMs     = 60_000
	latencyPrecision = 2 // significant figures

	// maxHistograms bounds the latency histograms, of about 10 kB each. Configurations
	// may have thousands of routes, and other ones in each version. The requests of
	// further routes are recorded together, as those of otherRoutes.
	maxHistograms = 1024
	otherRoutes   = "(other)"

	// answeredSuffix names the histogram of a route's requests that got an endpoint's
	// whole answer.
	answeredSuffix = ".answered"
)

// metrics holds the host's counters and latency histograms.
type metrics struct {
	root     expvar.Map
	requests expvar.Map
	failures expvar.Map
	closings expvar.Map // callers' connections that the host closed, by reason
	moves    expvar.Map
	// brokenOff counts the streams that engines broke off, by framing.
	brokenOff expvar.Map
	// stopRefusals counts the requests that a planned stop refused.
	stopRefusals expvar.Int

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	m := &metrics{latencies: map[string]*hdrhistogram.Histogram{}}
	m.root.Init()
	m.root.Set("requests", m.requests.Init())
	m.root.Set("failures", m.failures.Init())
	m.root.Set("caller-connections-closed", m.closings.Init())
	m.root.Set("stream-moves", m.moves.Init())
	m.root.Set("streams-broken-off", m.brokenOff.Init())
	m.root.Set("stop-refusals", &m.stopRefusals)
	m.root.Set("latency-ms", expvar.Func(m.latencySummary))
	return m
}

// registerGauges publishes the statistics of the host's components.
func (m *metrics) registerGauges(h *Host) {
	m.root.Set("caller-connections", expvar.Func(func() any { return h.acceptor.Open() }))
	m.root.Set("memory", expvar.Func(func() any { return h.memory.Stats() }))
	m.root.Set("running", expvar.Func(func() any { return h.forwarder.Running() }))
	m.root.Set("waiting", expvar.Func(func() any { return h.reserver.Waiting() }))
	m.root.Set("placement-queues", expvar.Func(func() any { return h.reserver.Queues() }))
	m.root.Set("engine-models", expvar.Func(func() any { return h.reserver.Models() }))
	m.root.Set("shared-slots", expvar.Func(func() any { return h.reserver.SlotStats() }))
	m.root.Set("connections", expvar.Func(func() any { return h.deps.Platform.Exchanger().Stats() }))
	m.root.Set("exclusions", expvar.Func(func() any { return h.interceptor.Stats() }))
	m.root.Set("endpoint-limits", expvar.Func(func() any { return h.rationer.Stats() }))
	m.root.Set("quotas", expvar.Func(func() any { return h.charger.Stats() }))
	m.root.Set("quarantine", expvar.Func(func() any { return h.isolator.Stats() }))
	m.root.Set("links", expvar.Func(func() any { return h.messenger.Stats() }))
	m.root.Set("membership", expvar.Func(func() any { return h.gossiper.Stats() }))
	m.root.Set("store-connected", expvar.Func(func() any { return h.replicator.Load().Connected() }))
	m.root.Set("store-revision", expvar.Func(func() any { return h.replicator.Load().Replica().Position().Revision }))
	m.root.Set("store-items-retained", expvar.Func(func() any { return h.replicator.Load().Retained() }))
	m.root.Set("store-log-bytes", expvar.Func(func() any { return h.replicator.Load().Replica().LogBytes() }))
	m.root.Set("store-reads", expvar.Func(func() any { return h.replicator.Load().Stats() }))
	m.root.Set("store-values", expvar.Func(func() any { return h.distributor.Stats() }))
	m.root.Set("store-era", expvar.Func(func() any { return h.replicator.Load().Replica().Position().Era }))
}

// ServeHTTP implements http.Handler.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(m.root.String())) // the client may have disconnected
}

// observe records a request that has ended.
func (m *metrics) observe(o *forwarder.Observation) {
	route := routeName(o)
	m.requests.Add(route+"."+strconv.Itoa(o.Status), 1)
	if f := classifier.Of(o.Err); f != nil {
		m.failures.Add(route+"."+string(f.Reason)+"."+f.Verdict.String(), 1)
		if f.Reason == classifier.ReasonStopping {
			m.stopRefusals.Add(1)
		}
	}
	m.moves.Add("stalled", int64(o.Moves.Stalled))
	m.moves.Add("moved", int64(o.Moves.Moved))
	m.moves.Add("continued", int64(o.Moves.Continued))
	m.moves.Add("refused", int64(o.Moves.Refused))
	for _, framing := range o.BrokenOff {
		m.brokenOff.Add(framing, 1)
	}
	m.record(route+".whole", o.Duration)
	if o.Err == nil {
		m.record(route+answeredSuffix, o.Duration)
	}
	if o.FirstEvent > 0 {
		m.record(route+".first-event", o.FirstEvent)
	}
	if o.PlacementTime > 0 {
		m.record(route+".placing", o.PlacementTime)
	}
	if o.Prefill > 0 {
		m.record(route+".prefill", o.Prefill)
	}
}

func routeName(o *forwarder.Observation) string {
	if o.Route == nil {
		return "none"
	}
	return o.Route.Name
}

func (m *metrics) record(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latencies[name] == nil && len(m.latencies) >= maxHistograms {
		name = otherRoutes + path.Ext(name)
	}
	h := m.latencies[name]
	if h == nil {
		h = hdrhistogram.New(minLatencyMs, maxLatencyMs, latencyPrecision)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(maxLatencyMs, max(minLatencyMs, d.Milliseconds()))) // can't fail: the value is in range
}

// latencySummary returns the counts and quantiles of all latencies.
func (m *metrics) latencySummary() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]map[string]int64, len(m.latencies))
	for name, h := range m.latencies {
		all[name] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p90":   h.ValueAtQuantile(90),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return all
}

// Observe implements forwarder.Observer.
func (h *Host) Observe(o *forwarder.Observation) {
	h.metrics.observe(o)
	fields := []zap.Field{
		zap.String("request", string(o.ID)),
		zap.String("route", routeName(o)),
		zap.String("service", string(o.Service)),
		zap.Uint64("version", uint64(o.Version)),
		zap.Duration("knowledge-age", h.replicator.Load().Age()),
		zap.Int("status", o.Status),
		zap.Duration("took", o.Duration),
	}
	for _, e := range o.Attempted {
		fields = append(fields, zap.String("tried", string(e)))
	}
	if o.Customer != "" {
		fields = append(fields, zap.String("customer", string(o.Customer)))
	}
	if o.RespondedBy != "" {
		fields = append(fields, zap.String("by", string(o.RespondedBy)))
	}
	if o.FirstEvent > 0 {
		fields = append(fields,
			zap.Duration("placing", o.PlacementTime),
			zap.Duration("prefill", o.Prefill),
			zap.Duration("first-event", o.FirstEvent),
			zap.Duration("longest-gap", o.LongestGap))
	}
	fields = append(fields, o.Stream.LogFields()...)
	if o.Err != nil {
		fields = append(fields,
			zap.String("fingerprint", string(o.Fingerprints.Request)),
			zap.String("caller-fingerprint", string(o.Fingerprints.Caller)),
			zap.Error(o.Err))
	}
	h.log.Info("request-ended", fields...)
}
