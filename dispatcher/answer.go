package dispatcher

import (
	"fmt"
	"sync"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Chunk is a run of consecutive tokens of a response.
type Chunk struct {
	// Offset is the index of the chunk's first token in the whole response.
	Offset identifier.Tokens
	Tokens identifier.Tokens
	Text   string
}

// responseBuffer collects the chunks of all attempts of one request in order.
// It buffers what the caller has not read yet, so that a slow caller never causes
// an engine to hold memory longer. One goroutine appends and another one takes.
type responseBuffer struct {
	mu       sync.Mutex
	pending  Chunk  // appended but not yet taken
	text     []byte // whole text so far, from which another attempt can resume
	tokens   identifier.Tokens
	finished bool
	err      error
	changed  chan struct{}
}

// newResponseBuffer returns a buffer for a response whose first tokens the caller
// has already received.
func newResponseBuffer(received string, tokens identifier.Tokens) *responseBuffer {
	return &responseBuffer{
		text:    []byte(received),
		tokens:  tokens,
		pending: Chunk{Offset: tokens},
		changed: make(chan struct{}, 1),
	}
}

// append adds a chunk. It ignores chunks that were appended before and returns an
// error for a chunk that leaves a gap or overlaps partially.
func (b *responseBuffer) append(c Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Offset+c.Tokens <= b.tokens {
		return nil
	}
	if c.Offset != b.tokens {
		return fmt.Errorf("chunk starts at token %d, but %d tokens were received before it", c.Offset, b.tokens)
	}
	b.tokens += c.Tokens
	b.text = append(b.text, c.Text...)
	b.pending.Tokens += c.Tokens
	b.pending.Text += c.Text
	b.notify()
	return nil
}

// finish marks the response as finished; err is nil if it is complete.
func (b *responseBuffer) finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	b.err = err
	b.notify()
}

func (b *responseBuffer) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// take returns the tokens appended since the last call as one chunk. If finished
// is true and the chunk is empty, err is the result of the response.
func (b *responseBuffer) take() (c Chunk, finished bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c = b.pending
	b.pending = Chunk{Offset: b.tokens}
	return c, b.finished, b.err
}

// progress returns the text and the number of tokens received so far.
func (b *responseBuffer) progress() (string, identifier.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text), b.tokens
}
