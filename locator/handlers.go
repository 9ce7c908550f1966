package locator

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

func (l *Locator) handleLocate(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.LocateRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed locate message: %w", err)
	}
	received := time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	claim := l.updateDirectory(identifier.Request(m.Request), from.Incarnation, received, m.Ended)
	return &peerwire.LocateReply{Previous: uint64(claim.Previous), Replaced: claim.Replaced}, nil
}

func (l *Locator) handleDrop(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Drop
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed drop message: %w", err)
	}
	l.mu.Lock()
	h := l.requests[identifier.Request(m.Request)]
	l.mu.Unlock()
	if h != nil {
		h.cancel(ErrTakenOver)
	}
	return &peerwire.Empty{}, nil
}

// onViewChange deletes the entries of dead homes and claims this host's own
// requests again if their directory host has changed.
func (l *Locator) onViewChange(v *gossiper.View) {
	l.mu.Lock()
	for _, m := range v.Members() {
		if m.State == gossiper.StateDead {
			l.directory.RemoveHome(m.Incarnation)
		}
	}
	moved := make([]*HeldRequest, 0, len(l.requests))
	for _, h := range l.requests {
		if owner, ok := v.FleetOwner(directoryKey(h.request)); ok && owner.Incarnation != h.directoryHost {
			h.directoryHost = owner.Incarnation
			moved = append(moved, h)
		}
	}
	l.mu.Unlock()
	for _, h := range moved {
		l.deps.Group.Run(func(ctx context.Context) { l.claim(ctx, h) })
	}
}
