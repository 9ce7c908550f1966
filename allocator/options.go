package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/router"
)

// Defaults of Options.
const (
	defaultLease           = 10 * time.Second
	defaultOrphanGrace     = 2 * time.Second
	defaultResultTTL       = 800 * time.Millisecond
	defaultPrefillRate     = 20_000 // tokens per second
	defaultStepTime        = 30 * time.Millisecond
	defaultMaxPrefillWait  = 150 * time.Millisecond
	defaultAgedShare       = 0.15
	defaultStaleLimit      = 3 * time.Second
	defaultWarmUp          = time.Second
	defaultProbeInterval   = time.Second
	defaultFailuresToAvoid = 3
	defaultBypassLimit     = time.Second
	defaultMinRetryAfter   = 200 * time.Millisecond
	defaultMaxRetryAfter   = time.Minute
	defaultTokensPerPiece  = 16
)

// Options configures a pool. Zero fields get defaults.
type Options struct {
	// Firm owns the endpoints; other firms need a contract.
	Firm      identifier.Firm
	Contracts []*compiler.Contract
	// Lease is how long grants last without a renewal by their home.
	Lease time.Duration
	// OrphanGrace is how long, beyond the lease, an attempt that no home
	// claims may appear in load reports before it is canceled.
	OrphanGrace time.Duration
	// ResultTTL is how long engines keep the result of a prefill.
	ResultTTL time.Duration
	// PrefillRate and Step are assumed until an engine reports its own.
	PrefillRate float64
	StepTime    time.Duration
	// MaxPrefillWait is the prefill wait at an engine above which it gets no
	// further grants.
	MaxPrefillWait time.Duration
	// AgedShare is the share of the served cost for patient requests while
	// the oldest has waited longer than the service's age limit.
	AgedShare float64
	// StaleLimit is the age of the latest load report above which an endpoint
	// gets no new requests.
	StaleLimit time.Duration
	// WarmUp is how long a new pool grants nothing at an endpoint that has
	// not reported yet.
	WarmUp time.Duration
	// ProbeInterval is the initial delay before an avoided endpoint gets a
	// request as a probe; it doubles with each failed probe.
	ProbeInterval time.Duration
	// FailuresToAvoid is the number of consecutive failures after which an
	// endpoint is avoided.
	FailuresToAvoid int
	// BypassLimit is how long later slot requests of the same firm and urgency may be
	// granted ahead of a slot request that doesn't fit.
	BypassLimit   time.Duration
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Affinity configures the default choice of the prefill endpoint.
	Affinity router.AffinityOptions
	// Prefill selects the prefill endpoint; nil: prefix affinity.
	Prefill router.Policy
	// LateBinding lets the pool grant an attempt without a decode engine if
	// enough slots are expected to become free during the prefill.
	LateBinding bool
	// IgnoreReservations grants regardless of decode slots and link capacity. It is a
	// baseline for measurements.
	IgnoreReservations bool
	// AllowLateFirstToken lets urgent requests wait beyond the first-token
	// target.
	AllowLateFirstToken bool
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.Lease, defaultLease)
	orDefault(&o.OrphanGrace, defaultOrphanGrace)
	orDefault(&o.ResultTTL, defaultResultTTL)
	orDefault(&o.PrefillRate, defaultPrefillRate)
	orDefault(&o.StepTime, defaultStepTime)
	orDefault(&o.MaxPrefillWait, defaultMaxPrefillWait)
	orDefault(&o.AgedShare, defaultAgedShare)
	orDefault(&o.StaleLimit, defaultStaleLimit)
	orDefault(&o.WarmUp, defaultWarmUp)
	orDefault(&o.ProbeInterval, defaultProbeInterval)
	orDefault(&o.FailuresToAvoid, defaultFailuresToAvoid)
	orDefault(&o.BypassLimit, defaultBypassLimit)
	orDefault(&o.MinRetryAfter, defaultMinRetryAfter)
	orDefault(&o.MaxRetryAfter, defaultMaxRetryAfter)
	return o
}
