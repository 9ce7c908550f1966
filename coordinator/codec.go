package coordinator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

func encodeKey(k Key) peerwire.PoolKey {
	return peerwire.PoolKey{Service: string(k.Service), DataCenter: string(k.DataCenter)}
}

func decodeKey(k peerwire.PoolKey) Key {
	return Key{Service: identifier.Service(k.Service), DataCenter: identifier.DataCenter(k.DataCenter)}
}

func encodeAttempt(a identifier.Attempt) peerwire.Attempt {
	return peerwire.Attempt{Incarnation: uint64(a.Incarnation), Sequence: a.Sequence}
}

func decodeAttempt(a peerwire.Attempt) identifier.Attempt {
	return identifier.Attempt{Incarnation: identifier.Incarnation(a.Incarnation), Sequence: a.Sequence}
}

func encodeRequest(k Key, a allocator.SlotRequest) peerwire.AllocationRequest {
	m := peerwire.AllocationRequest{
		Pool:         encodeKey(k),
		Attempt:      encodeAttempt(a.Attempt),
		Urgency:      uint8(a.Urgency),
		Firm:         string(a.Firm),
		PromptTokens: uint32(a.PromptTokens),
		MaxTokens:    uint32(a.MaxTokens),
		TimeLeftMs:   milliseconds(a.TimeLeft),
		Resumes:      a.Resumes,
	}
	for _, b := range a.Blocks {
		m.Blocks = append(m.Blocks, uint64(b))
	}
	for _, e := range a.Exclude {
		m.Exclude = append(m.Exclude, string(e))
	}
	return m
}

func decodeRequest(m *peerwire.AllocationRequest) allocator.SlotRequest {
	a := allocator.SlotRequest{
		Attempt:      decodeAttempt(m.Attempt),
		Urgency:      compiler.Urgency(m.Urgency),
		Firm:         identifier.Firm(m.Firm),
		PromptTokens: identifier.Tokens(m.PromptTokens),
		MaxTokens:    identifier.Tokens(m.MaxTokens),
		TimeLeft:     time.Duration(m.TimeLeftMs) * time.Millisecond,
		Resumes:      m.Resumes,
	}
	for _, b := range m.Blocks {
		a.Blocks = append(a.Blocks, identifier.BlockHash(b))
	}
	for _, e := range m.Exclude {
		a.Exclude = append(a.Exclude, identifier.Endpoint(e))
	}
	return a
}

func encodeAnswer(g allocator.Granted) *peerwire.AllocationReply {
	return &peerwire.AllocationReply{
		Prefill: string(g.Prefill),
		Decode:  string(g.Decode),
		WaitMs:  milliseconds(g.PrefillDelay),
		LeaseMs: milliseconds(g.Lease),
		Pieces:  uint32(g.Pieces),
	}
}

func decodeReply(a identifier.Attempt, m *peerwire.AllocationReply) allocator.Granted {
	return allocator.Granted{
		Attempt:      a,
		Prefill:      identifier.Endpoint(m.Prefill),
		Decode:       identifier.Endpoint(m.Decode),
		PrefillDelay: time.Duration(m.WaitMs) * time.Millisecond,
		Lease:        time.Duration(m.LeaseMs) * time.Millisecond,
		Pieces:       identifier.Pieces(m.Pieces),
	}
}

func decodeOutcome(m *peerwire.Release) allocator.Outcome {
	return allocator.Outcome{
		Ending:   allocator.Ending(m.Ending),
		Endpoint: identifier.Endpoint(m.Endpoint),
		Refused:  m.Refused,
	}
}

func encodeGrants(k Key, list []allocator.HeldGrant) peerwire.Grants {
	m := peerwire.Grants{Pool: encodeKey(k)}
	for _, h := range list {
		m.Held = append(m.Held, peerwire.HeldGrant{
			Attempt:      encodeAttempt(h.Attempt),
			Prefill:      string(h.Prefill),
			Decode:       string(h.Decode),
			Pieces:       uint32(h.Pieces),
			Urgency:      uint8(h.Urgency),
			Firm:         string(h.Firm),
			Phase:        uint8(h.Phase),
			PromptTokens: uint32(h.PromptTokens),
			MaxTokens:    uint32(h.MaxTokens),
		})
	}
	return m
}

func decodeGrants(m *peerwire.Grants) []allocator.HeldGrant {
	list := make([]allocator.HeldGrant, 0, len(m.Held))
	for _, h := range m.Held {
		list = append(list, allocator.HeldGrant{
			Attempt:      decodeAttempt(h.Attempt),
			Prefill:      identifier.Endpoint(h.Prefill),
			Decode:       identifier.Endpoint(h.Decode),
			Pieces:       identifier.Pieces(h.Pieces),
			Urgency:      compiler.Urgency(h.Urgency),
			Firm:         identifier.Firm(h.Firm),
			Phase:        allocator.Phase(h.Phase),
			PromptTokens: identifier.Tokens(h.PromptTokens),
			MaxTokens:    identifier.Tokens(h.MaxTokens),
		})
	}
	return list
}

// milliseconds rounds d up, so that a wait is never shortened.
func milliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func decodePhase(n uint8) allocator.Phase {
	return allocator.Phase(n)
}
