package messenger

import (
	"sync"

	"github.com/tinylib/msgp/msgp"
)

// call waits for its reply. Whoever takes it out of the table completes it.
type call struct {
	reply msgp.Unmarshaler
	// done gets one value when the call was completed.
	done chan struct{}
	// failure is what the peer answered, or the reply's decoding error.
	failure error
	// lost means that the connection ended first.
	lost bool
}

// callTable holds the calls that wait on one connection.
type callTable struct {
	mu      sync.Mutex
	waiting map[uint64]*call
	last    uint64
	closed  bool
}

// add gives a new call and its id; false: the table is closed.
func (t *callTable) add(reply msgp.Unmarshaler, pool *sync.Pool) (*call, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, 0, false
	}
	w := pool.Get().(*call)
	w.reply, w.failure, w.lost = reply, nil, false
	t.last++
	t.waiting[t.last] = w
	return w, t.last, true
}

// remove takes the call out; nil: it isn't there.
func (t *callTable) remove(id uint64) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waiting[id]
	delete(t.waiting, id)
	return w
}

func (t *callTable) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) == 0
}

// closeIfEmpty keeps new calls out when none waits.
func (t *callTable) closeIfEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		return false
	}
	t.closed = true
	return true
}

// close completes all calls as lost and keeps new ones out.
func (t *callTable) close() {
	t.mu.Lock()
	lost := t.waiting
	t.waiting = nil
	t.closed = true
	t.mu.Unlock()
	for _, w := range lost {
		w.lost = true
		w.done <- struct{}{}
	}
}
