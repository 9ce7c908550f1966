package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Ticked is the clock tick, once per Options.Tick.
type Ticked struct{}

// GossipArrived reports membership updates from a peer, sent as a probe or
// alone. If Reply is set, the machine emits an action of type Reply.
type GossipArrived struct {
	From   identifier.Incarnation
	Gossip *peerwire.Gossip
	Reply  bool
}

// ProbeAnswered is the reply to a direct or relayed probe.
type ProbeAnswered struct {
	Probe  ProbeID
	Gossip *peerwire.Gossip
}

// ProbeFailed reports that a direct or relayed probe got no reply.
type ProbeFailed struct {
	Probe ProbeID
}

// ProbeUndecided reports that a probe says nothing about its target, because it
// was refused with classifier.ReasonQueueFull, which means that the local outbox
// or the peer's handlers are full.
type ProbeUndecided struct {
	Probe ProbeID
}

// SyncArrived is a peer's sync request; the machine emits a ReplySync.
type SyncArrived struct {
	From    identifier.Incarnation
	Request *peerwire.SyncRequest
}

// SyncAnswered is a peer's reply to a SendSync.
type SyncAnswered struct {
	From  identifier.Address
	Reply *peerwire.SyncReply
}

// Published sets the payload that this host publishes.
type Published struct {
	Payload Payload
}

// Marked sets the mark of an endpoint to leaving or serving.
type Marked struct {
	Endpoint identifier.Endpoint
	Mark     Mark
}

// Seeded sets the seed addresses, replacing earlier ones.
type Seeded struct {
	Addresses []identifier.Address
}

// LeaveStarted reports that this host begins a planned stop.
type LeaveStarted struct{}

func (Ticked) event()         {}
func (GossipArrived) event()  {}
func (ProbeAnswered) event()  {}
func (ProbeFailed) event()    {}
func (ProbeUndecided) event() {}
func (SyncArrived) event()    {}
func (SyncAnswered) event()   {}
func (Published) event()      {}
func (Marked) event()         {}
func (Seeded) event()         {}
func (LeaveStarted) event()   {}

// ProbeID correlates a reply with its probe.
type ProbeID uint64

// Action is an output of the Machine.
type Action interface{ action() }

// SendProbe sends a direct probe to To.
type SendProbe struct {
	Probe   ProbeID
	To      identifier.Address
	Gossip  *peerwire.Gossip
	Timeout time.Duration
}

// SendProbeFor asks Via to probe another host on behalf of this one.
type SendProbeFor struct {
	Probe   ProbeID
	Via     identifier.Address
	Request *peerwire.IndirectProbe
	Timeout time.Duration
}

// SendGossip sends membership updates to a peer and expects no reply.
type SendGossip struct {
	To     identifier.Address
	Gossip *peerwire.Gossip
}

// SendSync starts an anti-entropy exchange with a peer.
type SendSync struct {
	To      identifier.Address
	Request *peerwire.SyncRequest
}

// Reply is the reply to the GossipArrived of this step.
type Reply struct {
	Gossip *peerwire.Gossip
}

// ReplySync is the reply to the SyncArrived of this step.
type ReplySync struct {
	Reply *peerwire.SyncReply
}

// MemberChanged reports a change of a member's state, for logs and metrics.
type MemberChanged struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	From, To    State // From is 0 for a new member
}

func (SendProbe) action()     {}
func (SendProbeFor) action()  {}
func (SendGossip) action()    {}
func (SendSync) action()      {}
func (Reply) action()         {}
func (ReplySync) action()     {}
func (MemberChanged) action() {}
