// Package linker connects hosts in one process: messages between them are function calls that
// take a time. Tests run the code of many hosts with it in virtual time.
//
// # Usage
//
//	n := linker.New(group, time.Millisecond, reaches)
//	a, b := n.Node(addressOfA), n.Node(addressOfB)
//	a.Start(messenger.Peer{Host: "a", Incarnation: 1}) // again after a restart
//	b.Handle(peerwire.KindProbe, handler)
//	err := a.Call(ctx, addressOfB, peerwire.KindProbe, request, reply)
package linker

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Network carries messages between its nodes.
type Network struct {
	group *grouper.Group
	delay time.Duration
	// reaches reports whether a message arrives; it may wait.
	reaches func(from, to identifier.Address) bool

	mu    sync.Mutex
	nodes map[identifier.Address]*Node
}

// New returns a Network without nodes, whose messages take delay in each direction. The function
// reaches is called when a message is about to arrive.
func New(g *grouper.Group, delay time.Duration, reaches func(from, to identifier.Address) bool) *Network {
	return &Network{group: g, delay: delay, reaches: reaches, nodes: map[identifier.Address]*Node{}}
}

// Node is a host's end of the network. It implements what hosts' parts need of a messenger.
type Node struct {
	network *Network
	address identifier.Address
	// out and in are the two directions of the node's own link.
	out, in pipe

	mu       sync.Mutex
	peer     messenger.Peer
	handlers map[peerwire.Kind]messenger.Handler
}

// Node returns the node at an address, without handlers if it is new.
func (n *Network) Node(a identifier.Address) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[a] == nil {
		n.nodes[a] = &Node{network: n, address: a}
	}
	return n.nodes[a]
}

// Start begins a process of the host, which has no handlers. The peer is what others learn of it.
func (n *Node) Start(p messenger.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peer = p
	n.handlers = map[peerwire.Kind]messenger.Handler{}
}

// Handle registers the handler for a kind.
func (n *Node) Handle(k peerwire.Kind, h messenger.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[k] = h
}

// Call sends a request and decodes the response into reply.
func (n *Node) Call(ctx context.Context, to identifier.Address, k peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	payload, err := request.MarshalMsg(nil)
	if err != nil {
		return err
	}
	answers := make(chan error, 1)
	n.network.group.Run(func(context.Context) { answers <- n.deliver(to, k, payload, reply) })
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Send sends a one-way message.
func (n *Node) Send(_ context.Context, to identifier.Address, k peerwire.Kind, message msgp.Marshaler) error {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		return err
	}
	n.network.group.Run(func(context.Context) { _ = n.deliver(to, k, payload, nil) }) // lost like on a network
	return nil
}

// deliver carries a message to a node, and its reply, if any, back.
func (n *Node) deliver(to identifier.Address, k peerwire.Kind, payload []byte, reply msgp.Unmarshaler) error {
	receiver := n.network.Node(to)
	n.carry(receiver, len(payload))
	if !n.network.reaches(n.address, to) {
		return unreachable(to)
	}
	handle := receiver.handler(k)
	if handle == nil {
		return unreachable(to)
	}
	m, err := handle(context.Background(), n.self(), payload)
	if err != nil || m == nil || reply == nil {
		return err
	}
	answer, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	receiver.carry(n, len(answer))
	_, err = reply.UnmarshalMsg(answer)
	return err
}

// carry waits while a message passes the links of both nodes.
func (n *Node) carry(to *Node, bytes int) {
	n.out.pass(bytes)
	time.Sleep(n.network.delay)
	to.in.pass(bytes)
}

// SetLink bounds the node's own link to a number of bytes a second in each direction. Messages pass
// in order; also those that nobody waits for any more.
func (n *Node) SetLink(bytesPerSecond float64) {
	n.out.setRate(bytesPerSecond)
	n.in.setRate(bytesPerSecond)
}

// SentBytes returns the number of bytes that the node has sent.
func (n *Node) SentBytes() int {
	n.out.mu.Lock()
	defer n.out.mu.Unlock()
	return n.out.bytes
}

func unreachable(to identifier.Address) error {
	return classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no path to %s", to)
}

func (n *Node) handler(k peerwire.Kind) messenger.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[k]
}

func (n *Node) self() messenger.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peer
}
