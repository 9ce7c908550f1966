package gossiper

import (
	"time"

	"go.uber.org/zap"
)

// Defaults of Options.
const (
	defaultTick                   = 100 * time.Millisecond
	defaultProbePeriod            = time.Second
	defaultProbes                 = 1
	defaultMonitors               = 3
	defaultRelays                 = 2
	defaultProbeTimeout           = 500 * time.Millisecond
	defaultSuspicionTimeout       = 3 * time.Second
	defaultBridges                = 2
	defaultHeartbeatPeriod        = 5 * time.Second
	defaultDataCenterLease        = 20 * time.Second
	defaultDataCenterDeadTimeout  = time.Minute
	defaultSyncPeriod             = 30 * time.Second
	defaultRetention              = time.Hour
	defaultSeedPeriod             = 10 * time.Second
	defaultMaxGossipBytes         = 1000
	defaultDigestPeriod           = time.Second
	defaultDigestBytesPerSec      = 1000
	defaultLargeDigestBytesPerSec = 400
	defaultSmallFleetSize         = 64
)

// Options set the timing and limits of membership. Zero fields get defaults.
type Options struct {
	// Tick is the resolution of all timers.
	Tick time.Duration
	// ProbePeriod is the time between rounds of probes; ProbesPerPeriod are
	// sent per round.
	ProbePeriod     time.Duration
	ProbesPerPeriod int
	// Monitors is the number of hosts that probe each host.
	Monitors int
	// Relays is the number of hosts that are asked to probe a host that didn't
	// reply to a direct probe.
	Relays int
	// ProbeTimeout limits a direct probe. Relayed probes get twice that, of which
	// the relay uses ProbeTimeout for its own probe.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time in which a suspect host must refute.
	SuspicionTimeout time.Duration
	// Bridges is the number of hosts per data center that probe the bridges
	// of the others.
	Bridges int
	// HeartbeatPeriod is the time between heartbeats that the bridges send to
	// other data centers. Without any news from a data center, its members show
	// as suspect after DataCenterLease and as dead after DataCenterDeadTimeout.
	HeartbeatPeriod, DataCenterLease, DataCenterDeadTimeout time.Duration
	// SyncPeriod is the time between anti-entropy exchanges with a random peer.
	SyncPeriod time.Duration
	// Retention is how long dead members are kept and retried.
	Retention time.Duration
	// SeedPeriod is the mean time between attempts to reach a dead member and a
	// seed that isn't a live member.
	SeedPeriod time.Duration
	// MaxGossipBytes limits the size of the news in a message.
	MaxGossipBytes int
	// DigestPeriod is the least time between two digests of a host. The period
	// grows with the fleet to keep the digests that a host sends within
	// DigestBytesPerSecond, or within LargeDigestBytesPerSecond if the fleet has
	// more than SmallFleetSize members.
	DigestPeriod              time.Duration
	DigestBytesPerSecond      int
	LargeDigestBytesPerSecond int
	// SmallFleetSize is the largest number of members at which all digests are
	// sent to other data centers and changed revisions are urgent.
	SmallFleetSize int
	// Seed is that of the random generator; 0 means the incarnation.
	Seed uint64
	// Logger gets one line per change of a member's state. Nil disables logging.
	Logger *zap.Logger
}

// withDefaults returns o with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.Tick, defaultTick)
	setDefault(&o.ProbePeriod, defaultProbePeriod)
	setDefault(&o.ProbesPerPeriod, defaultProbes)
	setDefault(&o.Monitors, defaultMonitors)
	setDefault(&o.Relays, defaultRelays)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&o.Bridges, defaultBridges)
	setDefault(&o.HeartbeatPeriod, defaultHeartbeatPeriod)
	setDefault(&o.DataCenterLease, defaultDataCenterLease)
	setDefault(&o.DataCenterDeadTimeout, defaultDataCenterDeadTimeout)
	setDefault(&o.SyncPeriod, defaultSyncPeriod)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.SeedPeriod, defaultSeedPeriod)
	setDefault(&o.MaxGossipBytes, defaultMaxGossipBytes)
	setDefault(&o.DigestPeriod, defaultDigestPeriod)
	setDefault(&o.DigestBytesPerSecond, defaultDigestBytesPerSec)
	setDefault(&o.LargeDigestBytesPerSecond, defaultLargeDigestBytesPerSec)
	setDefault(&o.SmallFleetSize, defaultSmallFleetSize)
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
