package linker

import (
	"sync"
	"time"
)

// frameBytes is what a message takes on a link in addition to its payload.
const frameBytes = 64

// pipe is one direction of a link. Its zero value has no bound.
type pipe struct {
	mu sync.Mutex
	// rate is in bytes a second; 0 means no bound.
	rate   float64
	freeAt time.Time
	// bytes is how many have passed, or will.
	bytes int
}

func (p *pipe) setRate(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = bytesPerSecond
}

// pass waits until a message has passed, after all that came before it.
func (p *pipe) pass(payload int) {
	time.Sleep(time.Until(p.enqueue(payload+frameBytes, time.Now())))
}

// enqueue returns when a message that comes now has passed.
func (p *pipe) enqueue(bytes int, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += bytes
	if p.rate == 0 {
		return now
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return p.freeAt
}
