package messenger

import (
	"sync"

	"github.com/tinylib/msgp/msgp"
)

// pendingCall is a call that has not been completed. The goroutine that removes
// it from the table completes it.
type pendingCall struct {
	reply msgp.Unmarshaler
	// done receives one value when the call is completed.
	done chan struct{}
	// failure is the error returned by the peer or by decoding its reply.
	failure error
	// connectionLost is set if the connection ended before a reply arrived.
	connectionLost bool
}

// callTable holds the pending calls of one connection by ID.
type callTable struct {
	mu      sync.Mutex
	pending map[uint64]*pendingCall
	lastID  uint64
	closed  bool
}

// add registers a new call and returns it with its ID, or false if the table
// is closed.
func (t *callTable) add(reply msgp.Unmarshaler, pool *sync.Pool) (*pendingCall, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, 0, false
	}
	call := pool.Get().(*pendingCall)
	call.reply, call.failure, call.connectionLost = reply, nil, false
	t.lastID++
	t.pending[t.lastID] = call
	return call, t.lastID, true
}

// remove removes and returns the call, or returns nil if it is not pending.
func (t *callTable) remove(id uint64) *pendingCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := t.pending[id]
	delete(t.pending, id)
	return call
}

func (t *callTable) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending) == 0
}

// closeIfEmpty closes the table to new calls if none is pending, and reports
// whether it did.
func (t *callTable) closeIfEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) > 0 {
		return false
	}
	t.closed = true
	return true
}

// close completes all pending calls as lost and rejects new ones.
func (t *callTable) close() {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.closed = true
	t.mu.Unlock()
	for _, call := range pending {
		call.connectionLost = true
		call.done <- struct{}{}
	}
}
