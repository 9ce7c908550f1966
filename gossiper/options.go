package gossiper

import (
	"time"

	"go.uber.org/zap"
)

// Defaults of Options.
const (
	defaultTick              = 100 * time.Millisecond
	defaultPeriod            = time.Second
	defaultProbes            = 1
	defaultMonitors          = 3
	defaultRelays            = 2
	defaultProbeTimeout      = 500 * time.Millisecond
	defaultSuspicionTimeout  = 3 * time.Second
	defaultBridges           = 2
	defaultBeat              = 5 * time.Second
	defaultLease             = 20 * time.Second
	defaultForget            = time.Minute
	defaultSync              = 30 * time.Second
	defaultRetention         = time.Hour
	defaultSeedPeriod        = 10 * time.Second
	defaultMaxNewsBytes      = 1000
	defaultDigestPeriod      = time.Second
	defaultDigestBytesPerSec = 1000
	defaultLargeDigestBytes  = 400
	defaultSmallFleet        = 64
)

// Options set the pace and the limits of membership; a zero field takes its
// default.
type Options struct {
	// Tick is the grain of all timers.
	Tick time.Duration
	// Period is the time between probes, of which Probes are sent at once.
	Period time.Duration
	Probes int
	// Monitors is the number of hosts that probe each host.
	Monitors int
	// Relays is the number of hosts that are asked to probe a host that did
	// not answer.
	Relays int
	// ProbeTimeout bounds a probe, and then the relayed ones.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// Bridges is the number of hosts per data center that probe the bridges
	// of the others.
	Bridges int
	// Beat is the time between the bridges' signs of life for other data
	// centers, whose Lease runs out without any; after Forget their members
	// count as dead.
	Beat, Lease, Forget time.Duration
	// Sync is the time between comparisons with a random peer.
	Sync time.Duration
	// Retention is how long dead members are kept and tried.
	Retention time.Duration
	// SeedPeriod is the time between tries of a dead member or unknown seed.
	SeedPeriod time.Duration
	// MaxNewsBytes bounds the news that goes with a message.
	MaxNewsBytes int
	// DigestPeriod is the least time between two digests of a host.
	// DigestBytesPerSecond bounds what a host sends of them, by making the
	// time longer in a larger fleet; LargeDigestBytesPerSecond does so beyond
	// SmallFleet.
	DigestPeriod              time.Duration
	DigestBytesPerSecond      int
	LargeDigestBytesPerSecond int
	// SmallFleet is the number of members up to which digests go to other
	// data centers, and changed revisions at once to all.
	SmallFleet int
	// Seed of the random choices; 0: drawn from the incarnation.
	Seed uint64
	// Logger gets one line per change; nil: none.
	Logger *zap.Logger
}

// withDefaults fills the zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.Tick, defaultTick)
	setDefault(&o.Period, defaultPeriod)
	setDefault(&o.Probes, defaultProbes)
	setDefault(&o.Monitors, defaultMonitors)
	setDefault(&o.Relays, defaultRelays)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&o.Bridges, defaultBridges)
	setDefault(&o.Beat, defaultBeat)
	setDefault(&o.Lease, defaultLease)
	setDefault(&o.Forget, defaultForget)
	setDefault(&o.Sync, defaultSync)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.SeedPeriod, defaultSeedPeriod)
	setDefault(&o.MaxNewsBytes, defaultMaxNewsBytes)
	setDefault(&o.DigestPeriod, defaultDigestPeriod)
	setDefault(&o.DigestBytesPerSecond, defaultDigestBytesPerSec)
	setDefault(&o.LargeDigestBytesPerSecond, defaultLargeDigestBytes)
	setDefault(&o.SmallFleet, defaultSmallFleet)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
