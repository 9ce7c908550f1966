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
	defaultResultLife      = 800 * time.Millisecond
	defaultPrefillRate     = 20_000 // tokens a second
	defaultStep            = 30 * time.Millisecond
	defaultPrefillDepth    = 150 * time.Millisecond
	defaultAgedShare       = 0.15
	defaultStaleLimit      = 3 * time.Second
	defaultWarmUp          = time.Second
	defaultProbeInterval   = time.Second
	defaultFailuresToAvoid = 3
	defaultPassLimit       = time.Second
	defaultMinRetryAfter   = 200 * time.Millisecond
	defaultMaxRetryAfter   = time.Minute
	defaultTokensPerPiece  = 16
)

// Options are a pool's knobs; zero fields get defaults.
type Options struct {
	// Firm owns the endpoints; other firms need a contract.
	Firm      identifier.Firm
	Contracts []*compiler.Contract
	// Lease is how long grants last without a renewal of their home.
	Lease time.Duration
	// OrphanGrace is how long an attempt that no home claims may stay in load
	// reports before it is cancelled, beyond the lease.
	OrphanGrace time.Duration
	// ResultLife is how long engines keep a prefill's result.
	ResultLife time.Duration
	// PrefillRate and Step are assumed until an engine reports its own.
	PrefillRate float64
	Step        time.Duration
	// PrefillDepth is how much prefill may wait at an engine.
	PrefillDepth time.Duration
	// AgedShare is the share of slots for patient requests past AgeLimit.
	AgedShare float64
	// StaleLimit is the age of a load report after which its endpoint is
	// avoided.
	StaleLimit time.Duration
	// WarmUp is how long a new pool grants nothing at an endpoint that has
	// not reported yet.
	WarmUp time.Duration
	// ProbeInterval is the first wait before an avoided endpoint gets one
	// request as a probe; it doubles with each failed probe.
	ProbeInterval time.Duration
	// FailuresToAvoid is how many failures in a row make an endpoint avoided.
	FailuresToAvoid int
	// PassLimit is how long asks that fit may pass the first of their lane,
	// which does not.
	PassLimit     time.Duration
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Affinity are the knobs of the prefill endpoint's choice.
	Affinity router.AffinityOptions
	// Prefill replaces the choice of the prefill endpoint; nil: affinity.
	Prefill router.Policy
	// LateBinding lets the pool grant an attempt before it knows the decode
	// engine, if enough slots are sure to become free during the prefill.
	LateBinding bool
	// Unreserved grants without regard to decode slots and the link; it is a
	// baseline for measurements.
	Unreserved bool
	// LateAnswers lets urgent requests wait past the first-token target.
	LateAnswers bool
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
	orDefault(&o.ResultLife, defaultResultLife)
	orDefault(&o.PrefillRate, defaultPrefillRate)
	orDefault(&o.Step, defaultStep)
	orDefault(&o.PrefillDepth, defaultPrefillDepth)
	orDefault(&o.AgedShare, defaultAgedShare)
	orDefault(&o.StaleLimit, defaultStaleLimit)
	orDefault(&o.WarmUp, defaultWarmUp)
	orDefault(&o.ProbeInterval, defaultProbeInterval)
	orDefault(&o.FailuresToAvoid, defaultFailuresToAvoid)
	orDefault(&o.PassLimit, defaultPassLimit)
	orDefault(&o.MinRetryAfter, defaultMinRetryAfter)
	orDefault(&o.MaxRetryAfter, defaultMaxRetryAfter)
	return o
}
