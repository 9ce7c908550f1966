package dispatcher

import (
	"fmt"
	"sync"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Chunk is a piece of an answer.
type Chunk struct {
	// Offset is the index of the first token in the whole answer.
	Offset identifier.Tokens
	Tokens identifier.Tokens
	Text   string
}

// answer collects the chunks of all attempts of one request in order and
// buffers them, so that a slow caller never keeps an engine's memory held.
// One goroutine appends, another one takes.
type answer struct {
	mu       sync.Mutex
	pending  Chunk  // not yet taken
	text     []byte // whole text so far, for attempts that go on elsewhere
	tokens   identifier.Tokens
	finished bool
	err      error
	change   chan struct{}
}

// newAnswer gives an answer whose first tokens the caller already holds.
func newAnswer(received string, tokens identifier.Tokens) *answer {
	return &answer{
		text:    []byte(received),
		tokens:  tokens,
		pending: Chunk{Offset: tokens},
		change:  make(chan struct{}, 1),
	}
}

// append adds a chunk. Chunks that were appended before are dropped; a chunk
// that leaves a gap or overlaps in part is an error.
func (a *answer) append(c Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Offset+c.Tokens <= a.tokens {
		return nil
	}
	if c.Offset != a.tokens {
		return fmt.Errorf("chunk at token %d does not follow the %d tokens received", c.Offset, a.tokens)
	}
	a.tokens += c.Tokens
	a.text = append(a.text, c.Text...)
	a.pending.Tokens += c.Tokens
	a.pending.Text += c.Text
	a.notify()
	return nil
}

// finish closes the answer; err is nil for a whole one.
func (a *answer) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	a.err = err
	a.notify()
}

func (a *answer) notify() {
	select {
	case a.change <- struct{}{}:
	default:
	}
}

// take gives what came since the last take. When finished is true and the
// chunk is empty, err is the answer's.
func (a *answer) take() (c Chunk, finished bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c = a.pending
	a.pending = Chunk{Offset: a.tokens}
	return c, a.finished, a.err
}

// progress gives the text and the tokens so far.
func (a *answer) progress() (string, identifier.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text), a.tokens
}
