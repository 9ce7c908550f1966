package emulator

// memory tracks the use of an engine's KV memory and slots.
type memory struct {
	pieces, piecesUsed int
	slots, slotsUsed   int
}

// reserve allocates pieces, and one slot if requested. If either is exhausted,
// it allocates nothing and returns the reason.
func (m *memory) reserve(pieces int, slot bool) (reason Refusal) {
	if slot && m.slotsUsed >= m.slots {
		return RefusalSlotsFull
	}
	if m.piecesUsed+pieces > m.pieces {
		return RefusalMemoryFull
	}
	m.piecesUsed += pieces
	if slot {
		m.slotsUsed++
	}
	return ""
}

func (m *memory) release(pieces int, slot bool) {
	m.piecesUsed -= pieces
	if slot {
		m.slotsUsed--
	}
}

// piecesFor returns the number of pieces that the KV cache of tokens occupies.
func (s *EngineSettings) piecesFor(tokens uint32) int {
	return (int(tokens) + s.TokensPerPiece - 1) / s.TokensPerPiece
}

// maxExpiredHandles bounds the number of expired handles that an engine
// remembers.
const maxExpiredHandles = 1024

// expiredHandles is a ring buffer of the handles that expired last.
type expiredHandles struct {
	ring    [maxExpiredHandles]string
	next    int
	handles map[string]struct{}
}

func (x *expiredHandles) add(handle string) {
	if handle == "" {
		return
	}
	if x.handles == nil {
		x.handles = make(map[string]struct{})
	}
	delete(x.handles, x.ring[x.next])
	x.ring[x.next] = handle
	x.handles[handle] = struct{}{}
	x.next = (x.next + 1) % maxExpiredHandles
}

func (x *expiredHandles) contains(handle string) bool {
	_, ok := x.handles[handle]
	return ok
}
