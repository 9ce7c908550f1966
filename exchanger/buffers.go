package exchanger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// defaultMaxBuffered is the memory for the buffered bodies of all calls, in bytes.
	defaultMaxBuffered = 32 << 20
	// freeBufferBytes of each body don't count, so that small responses are received
	// while large ones take all the memory, and freePartBytes of each body that is read in
	// parts.
	freeBufferBytes = 64 << 10
	freePartBytes   = initialBufferBytes
	// initialBufferBytes is the first size of a buffer, which doubles as it fills.
	initialBufferBytes = 4 << 10
	// endpointShare is the part of the memory that the bodies of one endpoint may take.
	endpointShare = 0.5
)

// ErrBuffersFull indicates that the memory for buffered bodies is taken by other calls.
var ErrBuffersFull = errors.New("memory for buffered responses is full")

// buffers is an account of the memory for buffered bodies. It is safe for concurrent
// use.
type buffers struct {
	limit int64
	// shared is the host's account, which counts the same memory.
	shared *budgeter.Budgeter

	mu         sync.Mutex
	taken      int64
	byEndpoint map[identifier.Address]int64
}

func newBuffers(limit int64) *buffers {
	return &buffers{limit: limit, shared: budgeter.New(budgeter.Options{}), byEndpoint: map[identifier.Address]int64{}}
}

// take takes n bytes for a body from an endpoint, also for h in the host's account. Its
// errors are ErrTooLarge, if the endpoint has taken its share, and ErrBuffersFull.
func (b *buffers) take(a identifier.Address, h *budgeter.Holder, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share := int64(endpointShare * float64(b.limit)); b.byEndpoint[a]+n > share {
		return fmt.Errorf("responses of the endpoint would take over %d bytes at a time: %w", share, ErrTooLarge)
	}
	if b.taken+n > b.limit {
		return ErrBuffersFull
	}
	if h.Take(n, time.Now()) != nil {
		return ErrBuffersFull
	}
	b.taken += n
	b.byEndpoint[a] += n
	return nil
}

// release returns n bytes.
func (b *buffers) release(a identifier.Address, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
	b.byEndpoint[a] -= n
	if b.byEndpoint[a] == 0 {
		delete(b.byEndpoint, a)
	}
}

// buffer is the memory of one body.
type buffer struct {
	account *buffers
	holder  *budgeter.Holder // in the host's account; nil if nothing is taken
	address identifier.Address
	free    int64 // bytes that don't count
	bytes   []byte
	taken   int64
}

// grow makes room for more bytes, of at most limit in all.
func (b *buffer) grow(limit int64) error {
	size := min(limit, max(initialBufferBytes, 2*int64(cap(b.bytes))))
	if more := size - b.free - b.taken; more > 0 {
		if b.holder == nil {
			b.holder = b.account.shared.Open(budgeter.KindAnswer, time.Now(), nil)
		}
		if err := b.account.take(b.address, b.holder, more); err != nil {
			return err
		}
		b.taken += more
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

// release returns the buffer's memory to the account.
func (b *buffer) release() {
	if b.taken > 0 {
		b.account.release(b.address, b.taken)
		b.taken = 0
		b.holder.Close()
	}
}

// KeepBody lets the memory of the body that ReadAll has returned count as used until
// ctx ends, instead of until Close. It returns who has the memory in the host's account; nil
// for a small body.
func (r *Response) KeepBody(ctx context.Context) *budgeter.Holder {
	kept := r.buffer
	r.buffer = nil
	if kept == nil {
		return nil
	}
	context.AfterFunc(ctx, kept.release)
	return kept.holder
}
