package experimenter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// prefillEngine prefills prompts one after another, urgent ones first.
type prefillEngine struct {
	name    identifier.Endpoint
	clock   *clock
	rate    float64
	urgent  []*job
	patient []*job
	running *job
	cache   blockCache
	tokens  float64 // waiting or running
	failing bool
}

// job is a prefill at an engine.
type job struct {
	attempt  identifier.Attempt
	prompt   identifier.Tokens
	blocks   []identifier.BlockHash
	urgent   bool
	canceled bool
	done     func(computed float64)
}

func (e *prefillEngine) submit(j *job) {
	e.tokens += float64(j.prompt)
	if j.urgent {
		e.urgent = append(e.urgent, j)
	} else {
		e.patient = append(e.patient, j)
	}
	e.next()
}

func (e *prefillEngine) next() {
	if e.running != nil {
		return
	}
	j := e.pop()
	if j == nil {
		return
	}
	e.running = j
	cached := e.cache.prefix(j.blocks) * blockTokens
	computed := max(1, float64(j.prompt)-float64(cached))
	e.clock.after(time.Duration(computed/e.rate*float64(time.Second)), func() {
		e.running = nil
		e.tokens -= float64(j.prompt)
		e.cache.add(j.blocks)
		j.done(computed)
		e.next()
	})
}

func (e *prefillEngine) pop() *job {
	for _, queue := range []*[]*job{&e.urgent, &e.patient} {
		for len(*queue) > 0 {
			j := (*queue)[0]
			*queue = (*queue)[1:]
			if !j.canceled {
				return j
			}
			e.tokens -= float64(j.prompt)
		}
	}
	return nil
}

// decodeEngine decodes all it holds in steps of one token each.
type decodeEngine struct {
	name     identifier.Endpoint
	clock    *clock
	slowness float64 // factor on the step time
	failing  bool
	slots    int
	pieces   identifier.Pieces
	held     map[identifier.Attempt]identifier.Pieces
	streams  []*stream
	stepping bool
}

// stream is a request that is being decoded.
type stream struct {
	attempt identifier.Attempt
	left    identifier.Tokens
	last    time.Duration
	token   func(gap time.Duration)
	done    func()
}

// reserve takes a slot and pieces; false: the engine is full.
func (e *decodeEngine) reserve(a identifier.Attempt, pieces identifier.Pieces) bool {
	if e.failing || e.slots >= engineSlots || e.pieces+pieces > enginePieces {
		return false
	}
	e.slots++
	e.pieces += pieces
	e.held[a] = pieces
	return true
}

func (e *decodeEngine) free(a identifier.Attempt) {
	pieces, ok := e.held[a]
	if !ok {
		return
	}
	delete(e.held, a)
	e.slots--
	e.pieces -= pieces
	for i, s := range e.streams {
		if s.attempt == a {
			e.streams = append(e.streams[:i:i], e.streams[i+1:]...)
			return
		}
	}
}

func (e *decodeEngine) decode(s *stream) {
	s.last = e.clock.elapsed
	e.streams = append(e.streams, s)
	e.step()
}

func (e *decodeEngine) stepTime() time.Duration {
	healthy := stepBase + time.Duration(len(e.streams))*stepPerSlot
	return time.Duration(float64(healthy) * e.slowness)
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
	if _, ok := e.held[s.attempt]; !ok {
		return
	}
	s.token(e.clock.elapsed - s.last)
	s.last = e.clock.elapsed
	s.left--
	if s.left == 0 {
		e.free(s.attempt)
		s.done()
	}
}

// link passes transfers one after another.
type link struct {
	clock *clock
	rate  float64 // pieces a second
	idle  time.Duration
}

func (l *link) transfer(pieces identifier.Pieces, done func()) {
	begin := max(l.clock.elapsed, l.idle)
	l.idle = begin + time.Duration(float64(pieces)/l.rate*float64(time.Second))
	l.clock.after(l.idle-l.clock.elapsed, done)
}
