package experimenter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// prefillEngine simulates an engine that prefills one prompt at a time, urgent
// requests first.
type prefillEngine struct {
	name          identifier.Endpoint
	clock         *clock
	rate          float64
	urgentQueue   []*prefillJob
	patientQueue  []*prefillJob
	running       *prefillJob
	cache         blockCache
	pendingTokens float64 // prompt tokens of queued and running jobs
	unreachable   bool
}

// prefillJob is a prefill queued or running at an engine.
type prefillJob struct {
	attempt  identifier.Attempt
	prompt   identifier.Tokens
	blocks   []identifier.BlockHash
	urgent   bool
	canceled bool
	onDone   func(computed float64)
}

func (e *prefillEngine) submit(j *prefillJob) {
	e.pendingTokens += float64(j.prompt)
	if j.urgent {
		e.urgentQueue = append(e.urgentQueue, j)
	} else {
		e.patientQueue = append(e.patientQueue, j)
	}
	e.startNext()
}

func (e *prefillEngine) startNext() {
	if e.running != nil {
		return
	}
	j := e.dequeue()
	if j == nil {
		return
	}
	e.running = j
	cached := e.cache.cachedPrefix(j.blocks) * blockTokens
	computed := max(1, float64(j.prompt)-float64(cached))
	e.clock.after(time.Duration(computed/e.rate*float64(time.Second)), func() {
		e.running = nil
		e.pendingTokens -= float64(j.prompt)
		e.cache.add(j.blocks)
		j.onDone(computed)
		e.startNext()
	})
}

func (e *prefillEngine) dequeue() *prefillJob {
	for _, queue := range []*[]*prefillJob{&e.urgentQueue, &e.patientQueue} {
		for len(*queue) > 0 {
			j := (*queue)[0]
			*queue = (*queue)[1:]
			if !j.canceled {
				return j
			}
			e.pendingTokens -= float64(j.prompt)
		}
	}
	return nil
}

// decodeEngine simulates an engine with continuous batching: each step emits one
// token for every stream in the batch.
type decodeEngine struct {
	name         identifier.Endpoint
	clock        *clock
	slowdown     float64 // multiplier of the step time
	unreachable  bool
	usedSlots    int
	usedPieces   identifier.Pieces
	reservations map[identifier.Attempt]identifier.Pieces
	streams      []*stream
	stepping     bool
}

// stream is a request being decoded.
type stream struct {
	attempt   identifier.Attempt
	remaining identifier.Tokens
	lastToken time.Duration
	onToken   func(gap time.Duration)
	onDone    func()
}

// reserve allocates a slot and pieces for an attempt. It returns false if the
// engine is full or unreachable.
func (e *decodeEngine) reserve(a identifier.Attempt, pieces identifier.Pieces) bool {
	if e.unreachable || e.usedSlots >= engineSlots || e.usedPieces+pieces > enginePieces {
		return false
	}
	e.usedSlots++
	e.usedPieces += pieces
	e.reservations[a] = pieces
	return true
}

func (e *decodeEngine) free(a identifier.Attempt) {
	pieces, ok := e.reservations[a]
	if !ok {
		return
	}
	delete(e.reservations, a)
	e.usedSlots--
	e.usedPieces -= pieces
	for i, s := range e.streams {
		if s.attempt == a {
			e.streams = append(e.streams[:i:i], e.streams[i+1:]...)
			return
		}
	}
}

func (e *decodeEngine) decode(s *stream) {
	s.lastToken = e.clock.elapsed
	e.streams = append(e.streams, s)
	e.step()
}

func (e *decodeEngine) stepTime() time.Duration {
	nominal := stepBase + time.Duration(len(e.streams))*stepPerSlot
	return time.Duration(float64(nominal) * e.slowdown)
}

func (e *decodeEngine) step() {
	if e.stepping || len(e.streams) == 0 {
		return
	}
	e.stepping = true
	batch := append([]*stream(nil), e.streams...)
	e.clock.after(e.stepTime(), func() {
		e.stepping = false
		for _, s := range batch {
			e.emit(s)
		}
		e.step()
	})
}

func (e *decodeEngine) emit(s *stream) {
	if _, ok := e.reservations[s.attempt]; !ok {
		return
	}
	s.onToken(e.clock.elapsed - s.lastToken)
	s.lastToken = e.clock.elapsed
	s.remaining--
	if s.remaining == 0 {
		e.free(s.attempt)
		s.onDone()
	}
}

// link simulates a network link that carries one transfer at a time.
type link struct {
	clock     *clock
	rate      float64 // pieces per second
	busyUntil time.Duration
}

func (l *link) transfer(pieces identifier.Pieces, done func()) {
	begin := max(l.clock.elapsed, l.busyUntil)
	l.busyUntil = begin + time.Duration(float64(pieces)/l.rate*float64(time.Second))
	l.clock.after(l.busyUntil-l.clock.elapsed, done)
}
