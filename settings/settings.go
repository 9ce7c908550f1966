// Package settings holds what one entry host's process is told when it
// starts: its name, its place, its listeners and its limits. The declarations
// that all hosts share are another file, see package parser.
//
// # Usage
//
//	s, err := settings.Load("entry-1.toml", os.Environ(), flags)
//
// A key's value comes from, the later the stronger: its default, the file,
// the environment (JACKDAWTHREAD_LISTENERS_CALLERS sets listeners.callers),
// the flags. All faults are reported at once, as decoder.Problems. Tests and
// the demo start from [Default] and fill in what they need.
package settings

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Settings of one entry host's process.
type Settings struct {
	// Host is the process's name, unique among the firm's entry hosts.
	Host       identifier.Host       `toml:"host" validate:"required,name"`
	Firm       identifier.Firm       `toml:"firm" validate:"required,name"`
	DataCenter identifier.DataCenter `toml:"data-center" validate:"required,name"`
	// Seeds are the peers' listeners of other entry hosts, to start from
	// beside the platform's host list.
	Seeds    []identifier.Address `toml:"seeds" validate:"max=1000,dive,ip-port"`
	LogLevel string               `toml:"log-level" validate:"oneof=debug info warn error"`

	Listeners Listeners `toml:"listeners"`
	Platform  Platform  `toml:"platform"`
	TLS       TLS       `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Periods   Periods   `toml:"periods"`
	Drain     Drain     `toml:"drain"`
}

// Listeners are the addresses that the process listens on. Peers is also the
// address that other hosts reach it by.
type Listeners struct {
	Callers   identifier.Address `toml:"callers" validate:"required,ip-port"`
	Peers     identifier.Address `toml:"peers" validate:"required,ip-port"`
	Operators identifier.Address `toml:"operators" validate:"required,ip-port"`
}

// Platform says where the configuration service is and how it is read.
type Platform struct {
	Address identifier.Address `toml:"address" validate:"required,ip-port"`
	// Key of the declarations at the configuration service.
	Key string `toml:"key" validate:"required"`
	// AllowOlder lets a host that starts take declarations although a newer
	// revision is known to have been in force.
	AllowOlder bool `toml:"allow-older"`
	// Readers is how many hosts of a data centre read the platform.
	Readers int `toml:"readers" validate:"gt=0,lte=100"`
	// Wait is how long a watch waits for a change.
	Wait time.Duration `toml:"wait" validate:"gte=100ms,lte=10m"`
	// HostsPeriod is the time between two reads of the host list.
	HostsPeriod time.Duration `toml:"hosts-period" validate:"gte=100ms,lte=10m"`
}

// TLS names the files for mutual TLS between hosts; all empty means none.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled tells whether links between hosts use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Limits bound what the process takes on.
type Limits struct {
	MaxRequestBytes int64 `toml:"max-request-bytes" validate:"gte=1024,lte=1073741824"`
	MaxFrameBytes   int64 `toml:"max-frame-bytes" validate:"gte=1048576,lte=1073741824"`
	// MaxRequests is how many requests the process holds at once.
	MaxRequests int `toml:"max-requests" validate:"gt=0,lte=10000000"`
}

// Periods of the work between hosts.
type Periods struct {
	// Lease is how long a grant lives without being renewed.
	Lease time.Duration `toml:"lease" validate:"gte=100ms,lte=5m"`
	// Probe is the time between two probes of a peer.
	Probe time.Duration `toml:"probe" validate:"gte=10ms,lte=1m"`
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout time.Duration `toml:"probe-timeout" validate:"gte=1ms,lte=1m"`
	// Suspicion is how long a suspected peer has to refute.
	Suspicion time.Duration `toml:"suspicion" validate:"gte=10ms,lte=10m"`
	// Declarations is the time between two questions to a peer for newer
	// declarations.
	Declarations time.Duration `toml:"declarations" validate:"gte=10ms,lte=10m"`
}

// Drain says how the process stops as planned.
type Drain struct {
	// Announce is how long it goes on taking requests after it reports that
	// it is not ready, so that the balancer can turn away from it.
	Announce time.Duration `toml:"announce" validate:"gte=0,lte=10m"`
	// Limit cuts off what still runs after it; 0 means never.
	Limit time.Duration `toml:"limit" validate:"gte=0,lte=24h"`
}

// Default gives the settings of a host for which nothing is set.
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
