// Package faulter injects faults into the links between hosts: cuts, delays,
// losses and freezes, switched at run time. Tests and experiments use it; the
// product does not.
//
// # Usage
//
// A network knows the hosts by their addresses. Each host's messenger dials
// through it:
//
//	network := faulter.New(seed, group)
//	network.Register("entry-1", address)
//	options.Dial = network.Dial("entry-1")
//
//	network.Cut([]identifier.Host{"entry-1"}, []identifier.Host{"entry-2", "entry-3"})
//	network.SetFault("entry-2", "entry-3", faulter.Fault{Delay: time.Second})
//	network.Freeze("entry-3")
//	network.Heal()
//
// # Faults
//
// A fault holds for one direction. What is written while a direction is
// blocked is held and arrives, late, after it heals, as TCP does it; dials hang
// until their context ends. Reset breaks connections instead. A loss shows as
// the delay of a retransmission. Bytes keep their order.
package faulter

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// RetransmitDelay is what a lost chunk arrives later.
const RetransmitDelay = 200 * time.Millisecond

// Fault is what happens to the bytes from one host to another.
type Fault struct {
	// Blocked holds all bytes back.
	Blocked bool
	// Delay and, on top, a random time up to Jitter.
	Delay, Jitter time.Duration
	// Loss is the probability with which a chunk has to be sent again.
	Loss float64
}

type direction struct {
	from, to identifier.Host
}

// Network applies faults to the connections that are dialled through it.
type Network struct {
	group *grouper.Group
	dial  Dialer

	mu      sync.Mutex
	random  *rand.Rand
	hosts   map[identifier.Address]identifier.Host
	faults  map[direction]Fault
	frozen  map[identifier.Host]bool
	open    map[*conn]struct{}
	changed chan struct{} // closed at each change
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, to identifier.Address) (net.Conn, error)

func dialTCP(ctx context.Context, to identifier.Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}

// New gives a network without faults, whose helpers run in the group. Random
// choices follow from the seed and the order of the writes.
func New(seed uint64, group *grouper.Group) *Network {
	return NewOver(dialTCP, seed, group)
}

// NewOver gives a network like New over another dialler, such as a Memory's.
func NewOver(dial Dialer, seed uint64, group *grouper.Group) *Network {
	return &Network{
		group:   group,
		dial:    dial,
		random:  rand.New(rand.NewPCG(seed, seed)),
		hosts:   map[identifier.Address]identifier.Host{},
		faults:  map[direction]Fault{},
		frozen:  map[identifier.Host]bool{},
		open:    map[*conn]struct{}{},
		changed: make(chan struct{}),
	}
}

// Register says that host listens at address.
func (n *Network) Register(host identifier.Host, address identifier.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Dial gives the dialler of a host. Links to unregistered addresses have no
// faults.
func (n *Network) Dial(from identifier.Host) func(context.Context, identifier.Address) (net.Conn, error) {
	return func(ctx context.Context, address identifier.Address) (net.Conn, error) {
		n.mu.Lock()
		to := n.hosts[address]
		n.mu.Unlock()
		if err := n.awaitBoth(ctx, from, to); err != nil {
			return nil, err
		}
		raw, err := n.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, to), nil
	}
}

// SetFault sets the fault from one host to another.
func (n *Network) SetFault(from, to identifier.Host, f Fault) {
	n.change(func() { n.faults[direction{from, to}] = f })
}

// Cut blocks both directions between all hosts of a and all of b.
func (n *Network) Cut(a, b []identifier.Host) {
	n.change(func() {
		for _, x := range a {
			for _, y := range b {
				n.faults[direction{x, y}] = Fault{Blocked: true}
				n.faults[direction{y, x}] = Fault{Blocked: true}
			}
		}
	})
}

// Freeze blocks all links of a host, until Thaw.
func (n *Network) Freeze(host identifier.Host) {
	n.change(func() { n.frozen[host] = true })
}

// Thaw ends a Freeze; what was held back arrives.
func (n *Network) Thaw(host identifier.Host) {
	n.change(func() { delete(n.frozen, host) })
}

// Heal ends all faults; what was held back arrives.
func (n *Network) Heal() {
	n.change(func() {
		clear(n.faults)
		clear(n.frozen)
	})
}

// Reset breaks all connections between two hosts.
func (n *Network) Reset(a, b identifier.Host) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.open {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked tells whether a direction is blocked, and gives the channel that is
// closed at the next change.
func (n *Network) blocked(from, to identifier.Host) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.faults[direction{from, to}].Blocked || n.frozen[from] || n.frozen[to]
	return b, n.changed
}

// awaitBoth waits until neither direction is blocked, or ctx ends.
func (n *Network) awaitBoth(ctx context.Context, a, b identifier.Host) error {
	for {
		there, changed := n.blocked(a, b)
		back, _ := n.blocked(b, a)
		if !there && !back {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// delay draws how long a chunk takes.
func (n *Network) delay(from, to identifier.Host) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[direction{from, to}]
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(n.random.Int64N(int64(f.Jitter)))
	}
	for f.Loss > 0 && f.Loss < 1 && n.random.Float64() < f.Loss {
		d += RetransmitDelay
	}
	return d
}
