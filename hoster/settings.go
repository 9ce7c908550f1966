package hoster

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Settings of a forwarding host's process.
type Settings struct {
	// Host is the process's name, unique among the hosts.
	Host       identifier.Host       `toml:"host" validate:"required,name"`
	DataCenter identifier.DataCenter `toml:"data-center" validate:"required,name"`
	// Seeds are the peers' listeners of some other hosts, to start from.
	Seeds    []identifier.Address `toml:"seeds" validate:"max=1000,dive,ip-port"`
	LogLevel string               `toml:"log-level" validate:"oneof=debug info warn error"`

	Listeners Listeners   `toml:"listeners"`
	Store     Store       `toml:"store"`
	Retries   Retries     `toml:"retries"`
	Stop      Stop        `toml:"stop"`
	Limits    Limits      `toml:"limits"`
	Orders    Orders      `toml:"orders"`
	Log       LogSettings `toml:"log"`
}

// Listeners are the addresses that the process listens on.
type Listeners struct {
	// Callers is where requests come in.
	Callers identifier.Address `toml:"callers" validate:"required,ip-port"`
	// Readiness answers the balancer's questions.
	Readiness identifier.Address `toml:"readiness" validate:"required,ip-port"`
	// Peers is also the address that other hosts reach this one by.
	Peers identifier.Address `toml:"peers" validate:"required,ip-port"`
	// Metrics shows counts; empty: nowhere.
	Metrics identifier.Address `toml:"metrics" validate:"omitempty,ip-port"`
}

// Store says where the configuration store is.
type Store struct {
	Address identifier.Address `toml:"address" validate:"required,ip-port"`
}

// Retries bound what all hosts together send beyond the first call of each
// request, for each service.
type Retries struct {
	// Ratio to the requests in Window, and Slack beyond it.
	Ratio  float64       `toml:"ratio" validate:"gte=0,lte=1"`
	Slack  float64       `toml:"slack" validate:"gte=0"`
	Window time.Duration `toml:"window" validate:"gte=1s,lte=10m"`
	// Settle is how long after its start a host gets no slack: it doesn't know
	// yet among how many hosts the slack is shared.
	Settle time.Duration `toml:"settle" validate:"gte=0,lte=1m"`
}

// Orders say whether hosts may order engines to another stage.
type Orders struct {
	// Fenced is set where engines check fencing tokens; elsewhere nothing is
	// ordered.
	Fenced bool `toml:"fenced"`
	// Lease is how long a host that was replaced may still take itself for the
	// one that orders.
	Lease time.Duration `toml:"lease" validate:"gte=0,lte=1m"`
}

// Stop says how the process stops as planned.
type Stop struct {
	// Announce is how long it goes on taking new connections after it reports
	// that it isn't ready, so that the balancer can turn away from it.
	Announce time.Duration `toml:"announce" validate:"gte=0,lte=10m"`
	// Limit is the time after which it is killed from outside.
	Limit time.Duration `toml:"limit" validate:"gte=1s,lte=24h"`
}

// Limits bound what the process takes on.
type Limits struct {
	// MaxRequests is how many requests the process holds at once.
	MaxRequests int64 `toml:"max-requests" validate:"gt=0,lte=10000000"`
	// MemoryBytes is what the process may use at most; 0: not known.
	MemoryBytes int64 `toml:"memory-bytes" validate:"gte=0"`
}

// LogSettings bound the log.
type LogSettings struct {
	// LinesPerSecond of one event.
	LinesPerSecond int `toml:"lines-per-second" validate:"gt=0,lte=1000000"`
	// QueueLines wait at most for a reader of the log that is slow.
	QueueLines int `toml:"queue-lines" validate:"gt=0,lte=10000000"`
}

// SetDefaults implements decoder.Defaulter.
func (s *Settings) SetDefaults() {
	s.LogLevel = "info"
	s.Retries = Retries{Ratio: 0.1, Slack: 10, Window: 10 * time.Second, Settle: 3 * time.Second}
	s.Stop = Stop{Announce: 3 * time.Second, Limit: 10 * time.Second}
	s.Orders = Orders{Lease: 3 * time.Second}
	s.Limits = Limits{MaxRequests: 4000}
	s.Log = LogSettings{LinesPerSecond: 100, QueueLines: 1024}
}

// LoadSettings reads the settings file at path. All faults are reported at
// once.
func LoadSettings(path string) (*Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read settings %q", path)
	}
	s := &Settings{}
	document := decoder.Decode(path, source, s)
	document.Validate(s)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
