package emulator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// maxCacheEvents bounds the cache events that an engine retains. Readers that
// request older events see a gap in the sequence.
const maxCacheEvents = 4096

// loggedEvent is a cache event with the time from which readers can see it.
type loggedEvent struct {
	sequence  uint64
	block     identifier.BlockHash
	evicted   bool
	visibleAt time.Time
}

// eventLog delivers cache events after a delay and drops a share of them.
type eventLog struct {
	lag  time.Duration
	loss float64

	mu           sync.Mutex
	random       *rand.Rand
	lastSequence uint64
	events       []loggedEvent
	appended     chan struct{} // closed when the next event is appended
}

func newEventLog(s EngineSettings, random *rand.Rand) *eventLog {
	return &eventLog{
		lag:      s.CacheEventLag,
		loss:     s.CacheEventLoss,
		random:   random,
		appended: make(chan struct{}),
	}
}

func (l *eventLog) add(block identifier.BlockHash, evicted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	if len(l.events) == maxCacheEvents {
		l.events = slices.Delete(l.events, 0, maxCacheEvents/4)
	}
	l.events = append(l.events, loggedEvent{l.lastSequence, block, evicted, time.Now().Add(l.lag)})
	close(l.appended)
	l.appended = make(chan struct{})
}

// eventsAfter returns the visible events after a sequence number. If the next
// event is not visible yet, wait is the time until it is. The returned channel
// is closed when an event is appended.
func (l *eventLog) eventsAfter(sequence uint64) (found []*enginewire.CacheEvent, wait time.Duration, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, v := range l.events {
		if v.sequence <= sequence {
			continue
		}
		if v.visibleAt.After(now) {
			wait = v.visibleAt.Sub(now)
			break
		}
		found = append(found, &enginewire.CacheEvent{
			Sequence: v.sequence,
			Block:    uint64(v.block),
			Evicted:  v.evicted,
		})
	}
	return found, wait, l.appended
}

// CacheEvents returns the cache events after a sequence number. If there are
// none, it waits for the next event, at most for the requested time.
func (e *Engine) CacheEvents(ctx context.Context, r *connect.Request[enginewire.CacheEventsRequest]) (*connect.Response[enginewire.CacheEventsResponse], error) {
	deadline := time.Now().Add(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	for {
		found, wait, appended := e.events.eventsAfter(r.Msg.GetAfter())
		remaining := time.Until(deadline)
		if len(found) > 0 || remaining <= 0 {
			return connect.NewResponse(&enginewire.CacheEventsResponse{Events: found}), nil
		}
		if wait == 0 || wait > remaining {
			wait = remaining
		}
		waitTimer := time.NewTimer(wait)
		select {
		case <-waitTimer.C:
		case <-appended:
		case <-ctx.Done():
			waitTimer.Stop()
			return nil, ctx.Err()
		}
		waitTimer.Stop()
	}
}
