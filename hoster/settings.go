package hoster

import (
	"math"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// Settings are the settings of a forwarding host's process.
type Settings struct {
	// Host is the process's name, unique among the hosts.
	Host       identifier.Host       `toml:"host" validate:"required,name"`
	DataCenter identifier.DataCenter `toml:"data-center" validate:"required,name"`
	// Seeds are the peer addresses of some other hosts, used to join them.
	Seeds    []identifier.Address `toml:"seeds" validate:"max=1000,dive,ip-port"`
	LogLevel string               `toml:"log-level" validate:"oneof=debug info warn error"`

	Listeners Listeners   `toml:"listeners"`
	Store     Store       `toml:"store"`
	Retries   Retries     `toml:"retries"`
	Stop      Stop        `toml:"stop"`
	Limits    Limits      `toml:"limits"`
	Orders    Orders      `toml:"orders"`
	Slots     Slots       `toml:"slots"`
	Log       LogSettings `toml:"log"`
	// Quarantine takes effect at once when the settings are reloaded.
	Quarantine Quarantine `toml:"quarantine"`
}

// Quarantine overrides the decisions which traits of requests are kept away from
// engines.
type Quarantine struct {
	// Released are the traits that are never quarantined at this host, and Pinned
	// those that always are. Released goes first.
	Released []identifier.Trait `toml:"released" validate:"max=1000,dive,min=1,max=64"`
	Pinned   []identifier.Trait `toml:"pinned" validate:"max=1000,dive,min=1,max=64"`
}

// Listeners are the addresses that the process listens on.
type Listeners struct {
	// Callers accepts callers' requests.
	Callers identifier.Address `toml:"callers" validate:"required,ip-port"`
	// Readiness answers the load balancer's readiness checks.
	Readiness identifier.Address `toml:"readiness" validate:"required,ip-port"`
	// Peers is also the address at which other hosts reach this one.
	Peers identifier.Address `toml:"peers" validate:"required,ip-port"`
	// Metrics serves the metrics; if empty, they aren't served.
	Metrics identifier.Address `toml:"metrics" validate:"omitempty,ip-port"`
}

// Store locates the configuration store.
type Store struct {
	Address identifier.Address `toml:"address" validate:"required,ip-port"`
}

// Retries bound, for each service, the calls that all hosts together send beyond
// the first call of each request.
type Retries struct {
	// Ratio bounds these calls in proportion to the requests in Window. Slack
	// calls are allowed in addition.
	Ratio  float64       `toml:"ratio" validate:"gte=0,lte=1"`
	Slack  float64       `toml:"slack" validate:"gte=0"`
	Window time.Duration `toml:"window" validate:"gte=1s,lte=10m"`
	// Settle is how long after its start a host gets no slack, because it doesn't
	// know yet how many hosts share it.
	Settle time.Duration `toml:"settle" validate:"gte=0,lte=1m"`
}

// Orders configure whether hosts may order engines to switch to another stage.
type Orders struct {
	// Enabled allows orders.
	Enabled bool `toml:"enabled"`
	// Fenced is set if engines check fencing tokens; otherwise hosts give orders
	// only while their copy of the store is current.
	Fenced bool `toml:"fenced"`
	// Lease is how long a host that was replaced may still consider itself the
	// one that gives orders.
	Lease time.Duration `toml:"lease" validate:"gte=0,lte=1m"`
}

// Slots configure whose calls to plain services need slots that one host grants for all.
type Slots struct {
	// SharedBelow is the number of slots for each host below which a service's slots are
	// granted; 0 for none.
	SharedBelow float64 `toml:"shared-below" validate:"gte=0,lte=1000"`
}

// Stop configures the planned stop of the process.
type Stop struct {
	// Announce is how long the process accepts new connections after it reports
	// that it isn't ready, so that the load balancer can stop sending them.
	Announce time.Duration `toml:"announce" validate:"gte=0,lte=10m"`
	// Limit is the time after which the process is killed from outside.
	Limit time.Duration `toml:"limit" validate:"gte=1s,lte=24h"`
}

// Limits bound the resources of the process.
type Limits struct {
	// MaxRequests is the largest number of concurrent requests.
	MaxRequests int64 `toml:"max-requests" validate:"gt=0,lte=10000000"`
	// MemoryBytes is the memory available to the process; 0 if unknown.
	MemoryBytes int64 `toml:"memory-bytes" validate:"gte=0"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 if unknown.
	MaxDescriptors int `toml:"max-descriptors" validate:"gte=0"`
}

// bufferedShare is the part of the process's memory for buffered responses. Their buffers
// leave garbage of about the same size.
const bufferedShare = 0.2

// MaxBuffered returns the memory in bytes for buffered responses; 0 if the memory of the
// process is unknown.
func (l Limits) MaxBuffered() int64 {
	return int64(bufferedShare * float64(l.MemoryBytes))
}

// storeLogShare is the part of the process's memory for the store's last changes, which
// hosts keep for peers.
const storeLogShare = 0.02

// MaxStoreLog returns the memory in bytes for the store's last changes. A log larger
// than a whole copy of most stores would save nothing.
func (l Limits) MaxStoreLog() int64 {
	if l.MemoryBytes == 0 {
		return replicator.DefaultMaxLogBytes
	}
	return min(replicator.DefaultMaxLogBytes, int64(storeLogShare*float64(l.MemoryBytes)))
}

const (
	// memoryShare is the part of the process's memory for requests, and reservedShare the
	// part of that which only small ones take. The rest is for the configuration, peers
	// and garbage.
	memoryShare   = 0.4
	reservedShare = 0.2
	// connectionsShare is the part of the process's descriptors for callers' connections.
	// Each may need another one to an endpoint. The rest is for peers, the store,
	// readiness and files.
	connectionsShare = 0.45
	// operatorsShare is the part of each of the listeners for readiness and metrics.
	operatorsShare = 0.04
)

// memory returns the options of the account of the memory for requests.
func (l Limits) memory() budgeter.Options {
	limit := memoryShare * float64(l.MemoryBytes)
	return budgeter.Options{Limit: int64(limit), Reserved: int64(reservedShare * limit)}
}

// maxConnections returns the largest number of callers' connections; 0 means no limit.
func (l Limits) maxConnections() int {
	return int(connectionsShare * float64(l.MaxDescriptors))
}

// maxOperators returns the largest number of connections for readiness, and for metrics; 0
// means no limit.
func (l Limits) maxOperators() int {
	return int(math.Ceil(operatorsShare * float64(l.MaxDescriptors)))
}

// LogSettings bound the volume of the log.
type LogSettings struct {
	// LinesPerSecond bounds the lines of each event.
	LinesPerSecond int `toml:"lines-per-second" validate:"gt=0,lte=1000000"`
	// QueueLines bounds the lines that are queued for a slow reader of the log.
	QueueLines int `toml:"queue-lines" validate:"gt=0,lte=10000000"`
}

// SetDefaults implements decoder.Defaulter.
func (s *Settings) SetDefaults() {
	s.LogLevel = "info"
	s.Retries = Retries{Ratio: 0.1, Slack: 10, Window: 10 * time.Second, Settle: 3 * time.Second}
	s.Stop = Stop{Announce: 3 * time.Second, Limit: 10 * time.Second}
	s.Orders = Orders{Enabled: true, Lease: 3 * time.Second}
	s.Slots = Slots{SharedBelow: 2}
	s.Limits = Limits{MaxRequests: 4000}
	s.Log = LogSettings{LinesPerSecond: 100, QueueLines: 1024}
}

// LoadSettings reads the settings file at path. It reports all errors at once.
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
