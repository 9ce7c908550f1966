package measurer

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Sizes in bytes of what TCP over IPv4 adds.
const (
	headerBytes  = 52   // IP and TCP with timestamps, also of a bare ACK
	segmentBytes = 1448 // payload per packet
	// connectBytes is the handshake, without the hellos.
	connectBytes = 60 + 60 + headerBytes
	// closeBytes is two FINs and their ACKs.
	closeBytes = 4 * headerBytes
)

// idleTimeout is the messenger's default.
const idleTimeout = time.Minute

// syncTimeout bounds a comparison.
const syncTimeout = 5 * time.Second

// Traffic is what a host sent and received.
type Traffic struct {
	// Bytes in both directions, with those of TCP and IP.
	Bytes uint64
	// Messages that it sent.
	Messages uint64
	// Connections that it dialled.
	Connections uint64
}

// Traffic gives host i's traffic so far.
func (f *Fleet) Traffic(i int) Traffic {
	return f.traffic[i]
}

// introduceAll gives each host the full table, as after a long run.
func (f *Fleet) introduceAll() {
	all := &peerwire.News{}
	for _, h := range f.hosts {
		all.Updates = append(all.Updates, peerwire.Update{
			Host: h.self.Host, Incarnation: h.self.Incarnation, Started: h.self.Started,
			Address: h.self.Address, DataCenter: h.self.DataCenter,
			State: uint8(gossiper.StateAlive), Version: 1,
		})
	}
	for _, h := range f.hosts {
		h.machine.Step(f.now, gossiper.NewsArrived{From: h.self.Incarnation, News: all})
	}
}

func (f *Fleet) perform(h *host, actions []gossiper.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gossiper.SendProbe:
			f.probe(h, a.To, a.News, a.Timeout, func(reply *peerwire.News) { f.conclude(h, a.Probe, reply) })
		case gossiper.SendProbeFor:
			f.probeFor(h, a)
		case gossiper.SendNews:
			f.send(h, a.To, a.News, func(to *host) {
				f.step(to, gossiper.NewsArrived{From: h.self.Incarnation, News: a.News})
			})
		case gossiper.SendSync:
			f.sync(h, a)
		case gossiper.Changed:
			f.changes(h.index, a)
		}
	}
}

func (f *Fleet) conclude(h *host, id gossiper.ProbeID, reply *peerwire.News) {
	if reply == nil {
		f.step(h, gossiper.ProbeFailed{Probe: id})
		return
	}
	f.step(h, gossiper.ProbeAnswered{Probe: id, News: reply})
}

// probe calls done with the reply, or nil after a failure.
func (f *Fleet) probe(h *host, to identifier.Address, n *peerwire.News, timeout time.Duration, done func(*peerwire.News)) {
	serve := func(target *host, respond func(msgp.Marshaler)) {
		for _, a := range f.step(target, gossiper.NewsArrived{From: h.self.Incarnation, News: n, Reply: true}) {
			if r, ok := a.(gossiper.Reply); ok {
				respond(r.News)
			}
		}
	}
	f.call(h, to, n, timeout, serve, func(reply msgp.Marshaler) {
		answer, _ := reply.(*peerwire.News)
		done(answer)
	})
}

func (f *Fleet) probeFor(h *host, a gossiper.SendProbeFor) {
	serve := func(relay *host, respond func(msgp.Marshaler)) {
		f.probe(relay, a.Ask.Address, &a.Ask.News, a.Timeout/2, func(reply *peerwire.News) {
			if reply == nil || reply.From != a.Ask.Incarnation {
				respond(nil)
				return
			}
			f.step(relay, gossiper.NewsArrived{From: reply.From, News: reply})
			respond(&peerwire.ProbeForReply{News: *reply})
		})
	}
	f.call(h, a.Via, a.Ask, a.Timeout, serve, func(reply msgp.Marshaler) {
		answer, ok := reply.(*peerwire.ProbeForReply)
		if !ok {
			f.conclude(h, a.Probe, nil)
			return
		}
		f.conclude(h, a.Probe, &answer.News)
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

// call carries a request and its reply; done gets nil after a failure.
func (f *Fleet) call(h *host, to identifier.Address, request msgp.Marshaler, timeout time.Duration,
	serve func(*host, func(msgp.Marshaler)), done func(msgp.Marshaler),
) {
	settled := false
	settle := func(reply msgp.Marshaler) {
		if !settled {
			settled = true
			done(reply)
		}
	}
	f.after(timeout, func() { f.deliver(h, func() { settle(nil) }) })
	target := f.byAddress[to]
	if target == nil || target.gone && !target.lost {
		f.after(2*f.config.Latency, func() { f.deliver(h, func() { settle(nil) }) })
		return
	}
	f.transmit(h, target, request, peerwire.FrameCall, func() {
		serve(target, func(reply msgp.Marshaler) {
			if target.gone || f.blocked(target.index, h.index) {
				return
			}
			f.countReply(target.index, h.index, reply)
			f.after(f.config.Latency, func() { f.deliver(h, func() { settle(reply) }) })
		})
	})
}

// send carries a message without a reply.
func (f *Fleet) send(h *host, to identifier.Address, message msgp.Marshaler, arrive func(*host)) {
	target := f.byAddress[to]
	if target == nil {
		return
	}
	f.transmit(h, target, message, peerwire.FrameSend, func() { arrive(target) })
}

// transmit delivers a message one way, unless the link is cut.
func (f *Fleet) transmit(from, to *host, message msgp.Marshaler, t peerwire.FrameType, arrive func()) {
	f.countRequest(from.index, to.index, message, t)
	if f.blocked(from.index, to.index) {
		return
	}
	f.after(f.config.Latency, func() { f.deliver(to, arrive) })
}

// frameSize gives the bytes of a frame on the wire.
func frameSize(message msgp.Marshaler, t peerwire.FrameType) uint64 {
	e := peerwire.Envelope{Type: t, ID: 1000, Kind: peerwire.KindProbe, Left: 500}
	if t != peerwire.FrameCall {
		e.Left = 0
	}
	const unlimited = 1 << 30
	b, err := messenger.AppendFrame(nil, &e, message, unlimited)
	if err != nil {
		panic(err) // the messages of this package are all encodable
	}
	return uint64(len(b))
}

// packetBytes gives the bytes of n bytes in packets.
func packetBytes(n uint64) uint64 {
	return n + (n+segmentBytes-1)/segmentBytes*headerBytes
}

func (f *Fleet) countRequest(from, to int, message msgp.Marshaler, t peerwire.FrameType) {
	bytes := packetBytes(frameSize(message, t)) + headerBytes // with the ACK of the message or its reply
	last, ok := f.used[[2]int{from, to}]
	if !ok || f.now.Sub(last) > idleTimeout {
		hello := &peerwire.Hello{Version: 1, Firm: "tamsui", Host: f.Name(from), Incarnation: 1 << 63, DataCenter: f.DataCenter(from)}
		bytes += connectBytes + closeBytes + 2*packetBytes(frameSize(hello, peerwire.FrameHello))
		f.traffic[from].Connections++
	}
	f.used[[2]int{from, to}] = f.now
	f.count(from, to, bytes)
}

func (f *Fleet) countReply(from, to int, message msgp.Marshaler) {
	f.count(from, to, packetBytes(frameSize(message, peerwire.FrameReply)))
}

func (f *Fleet) count(from, to int, bytes uint64) {
	f.traffic[from].Messages++
	f.traffic[from].Bytes += bytes
	f.traffic[to].Bytes += bytes
}
