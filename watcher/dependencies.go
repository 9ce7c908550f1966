package watcher

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/archiver"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

// Platform provides the configuration service and the host list. It is
// implemented by platformwireconnect.PlatformServiceClient.
type Platform interface {
	Watch(context.Context, *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error)
	ListHosts(context.Context, *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error)
}

// Readers selects the hosts of a data center that read the platform.
type Readers interface {
	// IsReader reports whether this host is a reader. It is true if the host
	// knows no other live host of its data center.
	IsReader() bool
}

// PeerRevision is the revision that a live peer has in force; 0 if it has none.
type PeerRevision struct {
	Host     identifier.Host
	Revision identifier.Revision
}

// Peers provides access to the other entry hosts.
type Peers interface {
	// Revisions returns the last known revisions of the live peers, without
	// network I/O.
	Revisions() []PeerRevision
	// Fetch requests from a peer the declarations newer than the revision in
	// ask.
	Fetch(ctx context.Context, host identifier.Host, ask *peerwire.DeclarationsRequest) (*peerwire.Declarations, error)
}

// Fences queries the fencing numbers that engines have seen. A fencing number is
// the revision of the declarations that an order to an engine is based on.
type Fences interface {
	// HighestFence returns the highest fencing number that the firm's own
	// engines in the fleet have seen; answered is false if none could be
	// reached.
	HighestFence(ctx context.Context, fleet *compiler.Fleet) (fence identifier.Revision, answered bool)
}

// HostList is called with the platform's host list each time it is read.
type HostList func([]*platformwire.Host)

// Dependencies holds the components that a Watcher uses.
type Dependencies struct {
	Keeper     *keeper.Keeper
	Archive    *archiver.Archive
	Platform   Platform
	Readers    Readers
	Peers      Peers
	Fences     Fences
	OnHostList HostList
	Timers     *timer.Service
	Group      *grouper.Group
	Log        *zap.Logger
}

// Options configures a Watcher.
type Options struct {
	// Key is the key of the declarations in the configuration service.
	Key string
	// Wait is the long-poll duration of a watch.
	Wait time.Duration
	// HostsPeriod is the polling interval of the host list.
	HostsPeriod time.Duration
	// PeersPeriod is the interval at which the peers' revisions are checked.
	PeersPeriod time.Duration
	// CallTimeout is the timeout of requests to a peer, to the engines and
	// for the host list.
	CallTimeout time.Duration
	// Seed seeds the random number generators of the jitter and of the choice
	// of peers.
	Seed uint64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Key:         "declarations",
		Wait:        30 * time.Second,
		HostsPeriod: 5 * time.Second,
		PeersPeriod: 250 * time.Millisecond,
		CallTimeout: 800 * time.Millisecond,
	}
}
