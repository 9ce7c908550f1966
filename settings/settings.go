// Package settings defines and loads the startup settings of one entry host's
// process, such as its name, data center, listeners and limits. The
// declarations shared by all hosts are a separate file, see package parser.
//
// # Usage
//
//	s, err := settings.Load("entry-1.toml", os.Environ(), flags)
//
// Values are taken from these sources, in increasing order of precedence:
// defaults, the file, the environment (JACKDAWTHREAD_LISTENERS_CALLERS sets
// listeners.callers) and flags. All problems are reported at once, as
// decoder.Problems. Tests and the demo start from [Default] and set the fields
// they need.
package settings

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Settings holds the settings of one entry host's process.
type Settings struct {
	// Host is the name of the entry host, unique within the firm.
	Host       identifier.Host       `toml:"host" validate:"required,name"`
	Firm       identifier.Firm       `toml:"firm" validate:"required,name"`
	DataCenter identifier.DataCenter `toml:"data-center" validate:"required,name"`
	// Seeds are the peer addresses of other entry hosts, used for the initial
	// contact in addition to the platform's host list.
	Seeds    []identifier.Address `toml:"seeds" validate:"max=1000,dive,ip-port"`
	LogLevel string               `toml:"log-level" validate:"oneof=debug info warn error"`

	Listeners Listeners `toml:"listeners"`
	Platform  Platform  `toml:"platform"`
	TLS       TLS       `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Periods   Periods   `toml:"periods"`
	Drain     Drain     `toml:"drain"`
}

// Listeners holds the addresses that the process listens on. Peers is also the
// address that other hosts connect to.
type Listeners struct {
	Callers   identifier.Address `toml:"callers" validate:"required,ip-port"`
	Peers     identifier.Address `toml:"peers" validate:"required,ip-port"`
	Operators identifier.Address `toml:"operators" validate:"required,ip-port"`
}

// Platform configures access to the configuration service.
type Platform struct {
	Address identifier.Address `toml:"address" validate:"required,ip-port"`
	// Key is the key of the declarations at the configuration service.
	Key string `toml:"key" validate:"required"`
	// AllowOlder lets a starting host adopt declarations even if a newer
	// revision is known to have been in force.
	AllowOlder bool `toml:"allow-older"`
	// Readers is the number of hosts per data center that read the platform.
	Readers int `toml:"readers" validate:"gt=0,lte=100"`
	// Wait is how long a watch request waits for a change.
	Wait time.Duration `toml:"wait" validate:"gte=100ms,lte=10m"`
	// HostsPeriod is the interval between reads of the host list.
	HostsPeriod time.Duration `toml:"hosts-period" validate:"gte=100ms,lte=10m"`
}

// TLS holds the files for mutual TLS between hosts. TLS is off if all are empty.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether connections between hosts use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Limits bounds the size and number of requests.
type Limits struct {
	MaxRequestBytes int64 `toml:"max-request-bytes" validate:"gte=1024,lte=1073741824"`
	MaxFrameBytes   int64 `toml:"max-frame-bytes" validate:"gte=1048576,lte=1073741824"`
	// MaxRequests is the maximum number of concurrent requests.
	MaxRequests int `toml:"max-requests" validate:"gt=0,lte=10000000"`
}

// Periods holds the intervals and timeouts of the protocols between hosts.
type Periods struct {
	// Lease is how long a grant is valid without being renewed.
	Lease time.Duration `toml:"lease" validate:"gte=100ms,lte=5m"`
	// Probe is the interval between probes of a peer.
	Probe time.Duration `toml:"probe" validate:"gte=10ms,lte=1m"`
	// ProbeTimeout is how long a probe waits for a response.
	ProbeTimeout time.Duration `toml:"probe-timeout" validate:"gte=1ms,lte=1m"`
	// Suspicion is how long a suspected peer has to refute the suspicion.
	Suspicion time.Duration `toml:"suspicion" validate:"gte=10ms,lte=10m"`
	// Declarations is the interval between requests to peers for newer
	// declarations.
	Declarations time.Duration `toml:"declarations" validate:"gte=10ms,lte=10m"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Announce is how long the process still accepts requests after it
	// reports that it is not ready, so that the load balancer can stop
	// sending it traffic.
	Announce time.Duration `toml:"announce" validate:"gte=0,lte=10m"`
	// Limit is the time after which requests still in progress are aborted;
	// 0 means no limit.
	Limit time.Duration `toml:"limit" validate:"gte=0,lte=24h"`
}

// Default returns the default settings.
func Default() *Settings {
	s := &Settings{}
	s.SetDefaults()
	return s
}

// SetDefaults implements decoder.Defaulter.
func (s *Settings) SetDefaults() {
	s.LogLevel = "info"
	s.Platform = Platform{
		Key:         "declarations",
		Readers:     2,
		Wait:        30 * time.Second,
		HostsPeriod: 5 * time.Second,
	}
	s.Limits = Limits{
		MaxRequestBytes: 4 << 20,
		MaxFrameBytes:   8 << 20,
		MaxRequests:     20_000,
	}
	s.Periods = Periods{
		Lease:        2 * time.Second,
		Probe:        time.Second,
		ProbeTimeout: 500 * time.Millisecond,
		Suspicion:    3 * time.Second,
		Declarations: 250 * time.Millisecond,
	}
	s.Drain = Drain{Announce: time.Second}
}
