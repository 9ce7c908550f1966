package gossiper

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// syncTimeout limits a sync exchange, and the sending of news.
const syncTimeout = 5 * time.Second

// perform executes actions. Those that use the network run in goroutines of the
// group.
func (g *Gossiper) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendProbe:
			g.group.Run(func(ctx context.Context) { g.sendProbe(ctx, a) })
		case SendProbeFor:
			g.group.Run(func(ctx context.Context) { g.sendProbeFor(ctx, a) })
		case SendGossip:
			g.group.Run(func(ctx context.Context) { g.sendGossip(ctx, a) })
		case SendSync:
			g.group.Run(func(ctx context.Context) { g.sendSync(ctx, a) })
		case MemberChanged:
			g.logChange(a)
		}
	}
}

func (g *Gossiper) sendProbe(ctx context.Context, a SendProbe) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var reply peerwire.Gossip
	g.stats.probes.Add(1)
	err := g.messenger.Call(ctx, a.To, peerwire.KindProbe, a.Gossip, &reply)
	g.reportProbeResult(a.Probe, &reply, err)
}

func (g *Gossiper) sendProbeFor(ctx context.Context, a SendProbeFor) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var reply peerwire.IndirectProbeReply
	g.stats.relayed.Add(1)
	err := g.messenger.Call(ctx, a.Via, peerwire.KindIndirectProbe, a.Request, &reply)
	g.reportProbeResult(a.Probe, &reply.Gossip, err)
}

// reportProbeResult passes the outcome of a probe to the machine. A full queue
// is no evidence against the probed host.
func (g *Gossiper) reportProbeResult(id ProbeID, reply *peerwire.Gossip, err error) {
	if err == nil {
		g.perform(g.step(ProbeAnswered{Probe: id, Gossip: reply}, false))
		return
	}
	if e, ok := errors.AsType[*classifier.Error](err); ok && e.Reason == classifier.ReasonQueueFull {
		g.perform(g.step(ProbeUndecided{Probe: id}, false))
		return
	}
	g.stats.failed.Add(1)
	g.perform(g.step(ProbeFailed{Probe: id}, false))
}

func (g *Gossiper) sendGossip(ctx context.Context, a SendGossip) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := g.messenger.Send(ctx, a.To, peerwire.KindGossip, a.Gossip); err != nil {
		g.options.Logger.Debug("gossip-send-failed", zap.String("to", string(a.To)), zap.Error(err))
	}
}

func (g *Gossiper) sendSync(ctx context.Context, a SendSync) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply peerwire.SyncReply
	g.stats.syncs.Add(1)
	if err := g.messenger.Call(ctx, a.To, peerwire.KindSync, a.Request, &reply); err != nil {
		g.options.Logger.Debug("sync-failed", zap.String("to", string(a.To)), zap.Error(err))
		return
	}
	g.perform(g.step(SyncAnswered{From: a.To, Reply: &reply}, true))
}

func (g *Gossiper) handleProbe(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var n peerwire.Gossip
	if _, err := n.UnmarshalMsg(payload); err != nil {
		return nil, malformedError("probe", err)
	}
	for _, a := range g.handlePeerEvent(GossipArrived{From: from.Incarnation, Gossip: &n, Reply: true}) {
		if r, ok := a.(Reply); ok {
			return r.Gossip, nil
		}
	}
	return nil, errors.New("state machine returned no reply to a probe")
}

func (g *Gossiper) handleGossip(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var n peerwire.Gossip
	if _, err := n.UnmarshalMsg(payload); err != nil {
		return nil, malformedError("news", err)
	}
	g.handlePeerEvent(GossipArrived{From: from.Incarnation, Gossip: &n})
	return nil, nil
}

func (g *Gossiper) handleSync(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var r peerwire.SyncRequest
	if _, err := r.UnmarshalMsg(payload); err != nil {
		return nil, malformedError("sync", err)
	}
	for _, a := range g.handlePeerEvent(SyncArrived{From: from.Incarnation, Request: &r}) {
		if r, ok := a.(ReplySync); ok {
			return r.Reply, nil
		}
	}
	return nil, errors.New("state machine returned no reply to a sync request")
}

// handleProbeFor probes another host on behalf of the peer.
func (g *Gossiper) handleProbeFor(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var request peerwire.IndirectProbe
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, malformedError("probe-for", err)
	}
	var reply peerwire.Gossip
	ctx, cancel := context.WithTimeout(ctx, g.options.ProbeTimeout)
	defer cancel()
	if err := g.messenger.Call(ctx, request.Address, peerwire.KindProbe, &request.Gossip, &reply); err != nil {
		return nil, err
	}
	if reply.From != request.Incarnation {
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0,
			"address %s belongs to incarnation %s, not %s", request.Address, reply.From, request.Incarnation)
	}
	reply.Unknown = false
	g.handlePeerEvent(GossipArrived{From: reply.From, Gossip: &reply})
	return &peerwire.IndirectProbeReply{Gossip: reply}, nil
}

// handlePeerEvent passes a peer's message to the machine and performs the
// actions. Replies among them are left to the caller.
func (g *Gossiper) handlePeerEvent(e Event) []Action {
	actions := g.step(e, false)
	g.perform(actions)
	return actions
}

func malformedError(message string, err error) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed %s: %w", message, err)
}

func (g *Gossiper) logChange(c MemberChanged) {
	g.stats.countChange(c)
	g.options.Logger.Info("member-changed", zap.String("member", string(c.Host)),
		zap.Stringer("incarnation", c.Incarnation), zap.Stringer("from", c.From), zap.Stringer("to", c.To))
}
