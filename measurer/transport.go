package measurer

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Overhead of TCP over IPv4, in bytes.
const (
	headerBytes  = 52   // IP and TCP headers with timestamps; also the size of an empty ACK
	segmentBytes = 1448 // payload per packet
	// connectBytes is the size of the TCP handshake, without the hello frames.
	connectBytes = 60 + 60 + headerBytes
	// closeBytes is the size of two FINs and their ACKs.
	closeBytes = 4 * headerBytes
)

// idleTimeout is the messenger's default idle timeout of connections.
const idleTimeout = time.Minute

// syncTimeout is the timeout of a sync exchange.
const syncTimeout = 5 * time.Second

// Traffic counts the network traffic of a host.
type Traffic struct {
	// Bytes in both directions, including TCP and IP overhead.
	Bytes uint64
	// Messages sent, including replies.
	Messages uint64
	// Connections opened by the host.
	Connections uint64
}

// Traffic returns host i's traffic so far.
func (f *Fleet) Traffic(i int) Traffic {
	return f.traffic[i]
}

// fillViews gives each host a full view, as after a long run.
func (f *Fleet) fillViews() {
	all := &peerwire.Gossip{}
	for _, h := range f.hosts {
		all.Updates = append(all.Updates, peerwire.Update{
			Host: h.self.Host, Incarnation: h.self.Incarnation, Started: h.self.Started,
			Address: h.self.Address, DataCenter: h.self.DataCenter,
			State: uint8(gossiper.StateAlive), Version: 1,
		})
	}
	for _, h := range f.hosts {
		h.machine.Step(f.now, gossiper.GossipArrived{From: h.self.Incarnation, Gossip: all})
	}
}

func (f *Fleet) perform(h *host, actions []gossiper.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gossiper.SendProbe:
			f.probe(h, a.To, a.Gossip, a.Timeout, func(reply *peerwire.Gossip) { f.finishProbe(h, a.Probe, reply) })
		case gossiper.SendProbeFor:
			f.relayProbe(h, a)
		case gossiper.SendGossip:
			f.send(h, a.To, a.Gossip, func(to *host) {
				f.step(to, gossiper.GossipArrived{From: h.self.Incarnation, Gossip: a.Gossip})
			})
		case gossiper.SendSync:
			f.sync(h, a)
		case gossiper.MemberChanged:
			f.onChange(h.index, a)
		}
	}
}

func (f *Fleet) finishProbe(h *host, id gossiper.ProbeID, reply *peerwire.Gossip) {
	if reply == nil {
		f.step(h, gossiper.ProbeFailed{Probe: id})
		return
	}
	f.step(h, gossiper.ProbeAnswered{Probe: id, Gossip: reply})
}

// probe sends a probe and calls done with the reply, or with nil on failure.
func (f *Fleet) probe(h *host, to identifier.Address, n *peerwire.Gossip, timeout time.Duration, done func(*peerwire.Gossip)) {
	serve := func(target *host, respond func(msgp.Marshaler)) {
		for _, a := range f.step(target, gossiper.GossipArrived{From: h.self.Incarnation, Gossip: n, Reply: true}) {
			if r, ok := a.(gossiper.Reply); ok {
				respond(r.Gossip)
			}
		}
	}
	f.call(h, to, n, timeout, serve, func(reply msgp.Marshaler) {
		answer, _ := reply.(*peerwire.Gossip)
		done(answer)
	})
}

func (f *Fleet) relayProbe(h *host, a gossiper.SendProbeFor) {
	serve := func(relay *host, respond func(msgp.Marshaler)) {
		f.probe(relay, a.Request.Address, &a.Request.Gossip, a.Timeout/2, func(reply *peerwire.Gossip) {
			if reply == nil || reply.From != a.Request.Incarnation {
				respond(nil)
				return
			}
			f.step(relay, gossiper.GossipArrived{From: reply.From, Gossip: reply})
			respond(&peerwire.IndirectProbeReply{Gossip: *reply})
		})
	}
	f.call(h, a.Via, a.Request, a.Timeout, serve, func(reply msgp.Marshaler) {
		answer, ok := reply.(*peerwire.IndirectProbeReply)
		if !ok {
			f.finishProbe(h, a.Probe, nil)
			return
		}
		f.finishProbe(h, a.Probe, &answer.Gossip)
	})
}

func (f *Fleet) sync(h *host, a gossiper.SendSync) {
	serve := func(target *host, respond func(msgp.Marshaler)) {
		for _, b := range f.step(target, gossiper.SyncArrived{From: h.self.Incarnation, Request: a.Request}) {
			if r, ok := b.(gossiper.ReplySync); ok {
				respond(r.Reply)
			}
		}
	}
	f.call(h, a.To, a.Request, syncTimeout, serve, func(reply msgp.Marshaler) {
		if answer, ok := reply.(*peerwire.SyncReply); ok {
			f.step(h, gossiper.SyncAnswered{From: a.To, Reply: answer})
		}
	})
}

// call sends a request and calls done with the reply, or with nil on failure.
func (f *Fleet) call(h *host, to identifier.Address, request msgp.Marshaler, timeout time.Duration,
	serve func(*host, func(msgp.Marshaler)), done func(msgp.Marshaler),
) {
	finished := false
	finish := func(reply msgp.Marshaler) {
		if !finished {
			finished = true
			done(reply)
		}
	}
	f.after(timeout, func() { f.deliver(h, func() { finish(nil) }) })
	target := f.byAddress[to]
	if target == nil || target.stopped && !target.unresponsive {
		f.after(2*f.config.Latency, func() { f.deliver(h, func() { finish(nil) }) })
		return
	}
	f.transmit(h, target, request, peerwire.FrameCall, func() {
		serve(target, func(reply msgp.Marshaler) {
			if target.stopped || f.blocked(target.index, h.index) {
				return
			}
			f.countReply(target.index, h.index, reply)
			f.after(f.config.Latency, func() { f.deliver(h, func() { finish(reply) }) })
		})
	})
}

// send sends a message that has no reply.
func (f *Fleet) send(h *host, to identifier.Address, message msgp.Marshaler, arrive func(*host)) {
	target := f.byAddress[to]
	if target == nil {
		return
	}
	f.transmit(h, target, message, peerwire.FrameSend, func() { arrive(target) })
}

// transmit counts a message and delivers it after the latency, unless the link is
// blocked.
func (f *Fleet) transmit(from, to *host, message msgp.Marshaler, t peerwire.FrameType, arrive func()) {
	f.countRequest(from.index, to.index, message, t)
	if f.blocked(from.index, to.index) {
		return
	}
	f.after(f.config.Latency, func() { f.deliver(to, arrive) })
}

// frameSize returns the encoded size of a message's frame in bytes.
func frameSize(message msgp.Marshaler, t peerwire.FrameType) uint64 {
	e := peerwire.Envelope{Type: t, ID: 1000, Kind: peerwire.KindProbe, TimeLeftMs: 500}
	if t != peerwire.FrameCall {
		e.TimeLeftMs = 0
	}
	const unlimited = 1 << 30
	b, err := messenger.AppendFrame(nil, &e, message, unlimited)
	if err != nil {
		panic(err) // unreachable: all simulated messages can be encoded
	}
	return uint64(len(b))
}

// bytesOnWire returns the size of n payload bytes including packet headers.
func bytesOnWire(n uint64) uint64 {
	return n + (n+segmentBytes-1)/segmentBytes*headerBytes
}

func (f *Fleet) countRequest(from, to int, message msgp.Marshaler, t peerwire.FrameType) {
	bytes := bytesOnWire(frameSize(message, t)) + headerBytes // plus an ACK for the message or its reply
	last, ok := f.lastUsed[[2]int{from, to}]
	if !ok || f.now.Sub(last) > idleTimeout {
		hello := &peerwire.Hello{Version: 1, Firm: "tamsui", Host: f.Name(from), Incarnation: 1 << 63, DataCenter: f.DataCenter(from)}
		bytes += connectBytes + closeBytes + 2*bytesOnWire(frameSize(hello, peerwire.FrameHello))
		f.traffic[from].Connections++
	}
	f.lastUsed[[2]int{from, to}] = f.now
	f.count(from, to, bytes)
}

func (f *Fleet) countReply(from, to int, message msgp.Marshaler) {
	f.count(from, to, bytesOnWire(frameSize(message, peerwire.FrameReply)))
}

func (f *Fleet) count(from, to int, bytes uint64) {
	f.traffic[from].Messages++
	f.traffic[from].Bytes += bytes
	f.traffic[to].Bytes += bytes
}
