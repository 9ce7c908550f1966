package emulator

// memory is an engine's KV memory and its slots.
type memory struct {
	pieces, piecesUsed int
	slots, slotsUsed   int
}

// reserve takes pieces, and a slot if asked; it takes nothing if it gives a
// reason.
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

// piecesFor gives the pieces that the KV cache of tokens takes.
func (s *EngineSettings) piecesFor(tokens uint32) int {
	return (int(tokens) + s.TokensPerPiece - 1) / s.TokensPerPiece
}

// maxExpiredHandles bounds how many expired handles an engine remembers.
const maxExpiredHandles = 1024

// expiredHandles remembers the handles that expired last.
type expiredHandles struct {
	ring  [maxExpiredHandles]string
	next  int
	index map[string]struct{}
}

func (x *expiredHandles) add(handle string) {
	if handle == "" {
		return
	}
	if x.index == nil {
		x.index = make(map[string]struct{})
	}
	delete(x.index, x.ring[x.next])
	x.ring[x.next] = handle
	x.index[handle] = struct{}{}
	x.next = (x.next + 1) % maxExpiredHandles
}

func (x *expiredHandles) has(handle string) bool {
	_, ok := x.index[handle]
	return ok
}
