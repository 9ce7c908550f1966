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

// maxCacheEvents bounds the cache events that an engine remembers; readers
// that come later find a gap.
const maxCacheEvents = 4096

// loggedEvent is a cache event with the time from which it is told.
type loggedEvent struct {
	sequence uint64
	block    identifier.BlockHash
	evicted  bool
	visible  time.Time
}

// eventLog tells of cache events late, and of some never.
type eventLog struct {
	lag  time.Duration
	loss float64

	mu     sync.Mutex
	random *rand.Rand
	last   uint64
	events []loggedEvent
	news   chan struct{} // closed at the next event
}

func newEventLog(s EngineSettings, random *rand.Rand) *eventLog {
	return &eventLog{
		lag:    s.CacheEventLag,
		loss:   s.CacheEventLoss,
		random: random,
		news:   make(chan struct{}),
	}
}

func (l *eventLog) add(block identifier.BlockHash, evicted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	if len(l.events) == maxCacheEvents {
		l.events = slices.Delete(l.events, 0, maxCacheEvents/4)
	}
	l.events = append(l.events, loggedEvent{l.last, block, evicted, time.Now().Add(l.lag)})
	close(l.news)
	l.news = make(chan struct{})
}

// after gives the events behind a sequence number that are visible, or else
// when the next one will be, and a channel that is closed by a new event.
func (l *eventLog) after(sequence uint64) (found []*enginewire.CacheEvent, wait time.Duration, news <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, v := range l.events {
		if v.sequence <= sequence {
			continue
		}
		if v.visible.After(now) {
			wait = v.visible.Sub(now)
			break
		}
		found = append(found, &enginewire.CacheEvent{
			Sequence: v.sequence,
			Block:    uint64(v.block),
			Evicted:  v.evicted,
		})
	}
	return found, wait, l.news
}

// CacheEvents gives cache events, and waits for one if there is none.
func (e *Engine) CacheEvents(ctx context.Context, r *connect.Request[enginewire.CacheEventsRequest]) (*connect.Response[enginewire.CacheEventsResponse], error) {
	deadline := time.Now().Add(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	for {
		found, wait, news := e.events.after(r.Msg.GetAfter())
		left := time.Until(deadline)
		if len(found) > 0 || left <= 0 {
			return connect.NewResponse(&enginewire.CacheEventsResponse{Events: found}), nil
		}
		if wait == 0 || wait > left {
			wait = left
		}
		alarm := time.NewTimer(wait)
		select {
		case <-alarm.C:
		case <-news:
		case <-ctx.Done():
			alarm.Stop()
			return nil, ctx.Err()
		}
		alarm.Stop()
	}
}
