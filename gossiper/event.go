package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Ticked comes once per Options.Tick.
type Ticked struct{}

// NewsArrived is news that a peer sent, as a probe or without one. Reply asks
// for an action of type Reply.
type NewsArrived struct {
	From  identifier.Incarnation
	News  *peerwire.News
	Reply bool
}

// ProbeAnswered is the reply to a probe, or to a relayed one.
type ProbeAnswered struct {
	Probe ProbeID
	News  *peerwire.News
}

// ProbeFailed says that a probe, or a relayed one, got no reply.
type ProbeFailed struct {
	Probe ProbeID
}

// ProbeUndecided says that a probe gave no evidence, for want of room here.
type ProbeUndecided struct {
	Probe ProbeID
}

// SyncArrived asks for an action of type ReplySync.
type SyncArrived struct {
	From    identifier.Incarnation
	Request *peerwire.SyncRequest
}

// SyncAnswered is the reply to a SendSync.
type SyncAnswered struct {
	From  identifier.Address
	Reply *peerwire.SyncReply
}

// Published sets what this host publishes.
type Published struct {
	Payload Payload
}

// Marked marks an endpoint as leaving or serving.
type Marked struct {
	Endpoint identifier.Endpoint
	Mark     Mark
}

// Seeded gives addresses that may be those of peers; they replace earlier
// ones.
type Seeded struct {
	Addresses []identifier.Address
}

// LeaveStarted says that this host stops as planned.
type LeaveStarted struct{}

func (Ticked) event()         {}
func (NewsArrived) event()    {}
func (ProbeAnswered) event()  {}
func (ProbeFailed) event()    {}
func (ProbeUndecided) event() {}
func (SyncArrived) event()    {}
func (SyncAnswered) event()   {}
func (Published) event()      {}
func (Marked) event()         {}
func (Seeded) event()         {}
func (LeaveStarted) event()   {}

// ProbeID ties an answer to its probe.
type ProbeID uint64

// Action is an output of the Machine.
type Action interface{ action() }

// SendProbe asks To whether it is alive.
type SendProbe struct {
	Probe   ProbeID
	To      identifier.Address
	News    *peerwire.News
	Timeout time.Duration
}

// SendProbeFor asks Via to probe a third host.
type SendProbeFor struct {
	Probe   ProbeID
	Via     identifier.Address
	Ask     *peerwire.ProbeFor
	Timeout time.Duration
}

// SendNews hands on news without a reply.
type SendNews struct {
	To   identifier.Address
	News *peerwire.News
}

// SendSync compares what two hosts know.
type SendSync struct {
	To      identifier.Address
	Request *peerwire.SyncRequest
}

// Reply answers the NewsArrived of this step.
type Reply struct {
	News *peerwire.News
}

// ReplySync answers the SyncArrived of this step.
type ReplySync struct {
	Reply *peerwire.SyncReply
}

// Changed reports that a member's state changed, for logs and metrics.
type Changed struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	From, To    State // From is 0 for a new member
}

func (SendProbe) action()    {}
func (SendProbeFor) action() {}
func (SendNews) action()     {}
func (SendSync) action()     {}
func (Reply) action()        {}
func (ReplySync) action()    {}
func (Changed) action()      {}
