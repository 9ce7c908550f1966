// Package faulter injects faults into the links between hosts: partitions,
// delays, packet loss and freezes, which can be changed at run time. Tests and the
// in-process runs of package assembler use it; entry hosts in production don't.
//
// # Usage
//
// A network maps addresses to hosts. Each host's messenger dials through it:
//
//	network := faulter.New(seed, group)
//	network.Register("entry-1", address)
//	options.Dial = network.Dial("entry-1")
//
//	network.Partition([]identifier.Host{"entry-1"}, []identifier.Host{"entry-2", "entry-3"})
//	network.SetFault("entry-2", "entry-3", faulter.Fault{Delay: time.Second})
//	network.Freeze("entry-3")
//	network.Heal()
//
// # Faults
//
// A fault applies to one direction. Data written while a direction is blocked is
// held back and delivered after the fault ends, as with TCP; dials block until
// their context ends. Reset closes connections instead. Packet loss is simulated
// as the delay of a retransmission. The order of the bytes is preserved.
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

// RetransmitDelay is the delay that each simulated loss adds to a chunk.
const RetransmitDelay = 200 * time.Millisecond

// Fault describes how the traffic from one host to another is disturbed.
type Fault struct {
	// Blocked holds all data back.
	Blocked bool
	// Delay is added to each chunk, plus a random duration below Jitter.
	Delay, Jitter time.Duration
	// Loss is the probability that a chunk has to be retransmitted.
	Loss float64
}

type direction struct {
	from, to identifier.Host
}

// Network applies faults to the connections that are dialed through it.
type Network struct {
	group *grouper.Group
	dial  Dialer

	mu      sync.Mutex
	rng     *rand.Rand
	hosts   map[identifier.Address]identifier.Host
	faults  map[direction]Fault
	frozen  map[identifier.Host]bool
	conns   map[*conn]struct{}
	changed chan struct{} // closed and replaced at each update
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, to identifier.Address) (net.Conn, error)

func dialTCP(ctx context.Context, to identifier.Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}

// New returns a network without faults over TCP. Its goroutines run in group.
// Random choices depend on the seed and the order of the writes.
func New(seed uint64, group *grouper.Group) *Network {
	return NewWithDialer(dialTCP, seed, group)
}

// NewWithDialer is like New, but connects with dial, such as
// [MemoryNetwork.Dial].
func NewWithDialer(dial Dialer, seed uint64, group *grouper.Group) *Network {
	return &Network{
		group:   group,
		dial:    dial,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		hosts:   map[identifier.Address]identifier.Host{},
		faults:  map[direction]Fault{},
		frozen:  map[identifier.Host]bool{},
		conns:   map[*conn]struct{}{},
		changed: make(chan struct{}),
	}
}

// Register records that host listens on address.
func (n *Network) Register(host identifier.Host, address identifier.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Dial returns the dial function of a host. Links to unregistered addresses have
// no faults.
func (n *Network) Dial(from identifier.Host) func(context.Context, identifier.Address) (net.Conn, error) {
	return func(ctx context.Context, address identifier.Address) (net.Conn, error) {
		n.mu.Lock()
		to := n.hosts[address]
		n.mu.Unlock()
		if err := n.awaitUnblocked(ctx, from, to); err != nil {
			return nil, err
		}
		raw, err := n.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, to), nil
	}
}

// SetFault sets the fault of the direction between two hosts.
func (n *Network) SetFault(from, to identifier.Host, f Fault) {
	n.update(func() { n.faults[direction{from, to}] = f })
}

// Partition blocks both directions between every host in a and every host in b.
func (n *Network) Partition(a, b []identifier.Host) {
	n.update(func() {
		for _, x := range a {
			for _, y := range b {
				n.faults[direction{x, y}] = Fault{Blocked: true}
				n.faults[direction{y, x}] = Fault{Blocked: true}
			}
		}
	})
}

// Freeze blocks all links of a host until Unfreeze.
func (n *Network) Freeze(host identifier.Host) {
	n.update(func() { n.frozen[host] = true })
}

// Unfreeze ends a Freeze and delivers the data that was held back.
func (n *Network) Unfreeze(host identifier.Host) {
	n.update(func() { delete(n.frozen, host) })
}

// Heal ends all faults and delivers the data that was held back.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.faults)
		clear(n.frozen)
	})
}

// Reset closes all connections between two hosts.
func (n *Network) Reset(a, b identifier.Host) {
	n.mu.Lock()
	var matching []*conn
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		_ = c.Close()
	}
}

func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether a direction is blocked, and returns a channel that is
// closed at the next update.
func (n *Network) blocked(from, to identifier.Host) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.faults[direction{from, to}].Blocked || n.frozen[from] || n.frozen[to]
	return b, n.changed
}

// awaitUnblocked waits until neither direction is blocked or ctx ends.
func (n *Network) awaitUnblocked(ctx context.Context, a, b identifier.Host) error {
	for {
		forward, changed := n.blocked(a, b)
		reverse, _ := n.blocked(b, a)
		if !forward && !reverse {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// randomDelay returns the delay of a chunk, drawn from the direction's fault.
func (n *Network) randomDelay(from, to identifier.Host) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[direction{from, to}]
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(f.Jitter)))
	}
	for f.Loss > 0 && f.Loss < 1 && n.rng.Float64() < f.Loss {
		d += RetransmitDelay
	}
	return d
}
