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

// Platform is the configuration service and the host list. A
// platformwireconnect.PlatformServiceClient is one.
type Platform interface {
	Watch(context.Context, *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error)
	ListHosts(context.Context, *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error)
}

// Readers says which hosts of a data center read the platform.
type Readers interface {
	// Reads tells whether this host does. A host that knows of no other
	// live host of its data center does.
	Reads() bool
}

// PeerRevision is the revision that a live peer has in force; 0: none.
type PeerRevision struct {
	Host     identifier.Host
	Revision identifier.Revision
}

// Peers are the other entry hosts.
type Peers interface {
	// Revisions gives the live peers with what is known of each. It doesn't
	// ask them.
	Revisions() []PeerRevision
	// Fetch asks a peer for declarations newer than those that ask names.
	Fetch(ctx context.Context, host identifier.Host, ask *peerwire.DeclarationsRequest) (*peerwire.Declarations, error)
}

// Fences asks engines which orders they have seen.
type Fences interface {
	// Highest gives the highest fencing number that the firm's own engines of
	// the fleet remember; answered is false if none could be reached.
	Highest(ctx context.Context, fleet *compiler.Fleet) (fence identifier.Revision, answered bool)
}

// HostList takes the platform's host list.
type HostList func([]*platformwire.Host)

// Dependencies are what a Watcher works with.
type Dependencies struct {
	Keeper   *keeper.Keeper
	Archive  *archiver.Archive
	Platform Platform
	Readers  Readers
	Peers    Peers
	Fences   Fences
	HostList HostList
	Timers   *timer.Service
	Group    *grouper.Group
	Log      *zap.Logger
}

// Options of a Watcher.
type Options struct {
	// Key of the declarations at the configuration service.
	Key string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// HostsPeriod is the time between two reads of the host list.
	HostsPeriod time.Duration
	// PeersPeriod is the time between two looks at the peers' revisions.
	PeersPeriod time.Duration
	// CallTimeout bounds a question to a peer or to the engines.
	CallTimeout time.Duration
	// Seed of the waits that are drawn at random.
	Seed uint64
}

// DefaultOptions gives the options of a host for which nothing is set.
func DefaultOptions() Options {
	return Options{
		Key:         "declarations",
		Wait:        30 * time.Second,
		HostsPeriod: 5 * time.Second,
		PeersPeriod: 250 * time.Millisecond,
		CallTimeout: 800 * time.Millisecond,
	}
}
