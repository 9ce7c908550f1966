package forwarder

import (
	"sync"
	"time"
)

// progress records the requests in progress. It is safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	started map[*exchange]routeStart
}

// routeStart is a request's route and when it arrived.
type routeStart struct {
	route string
	at    time.Time
}

// begin records a request whose route is known.
func (p *progress) begin(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.started == nil {
		p.started = map[*exchange]routeStart{}
	}
	p.started[e] = routeStart{route: e.route.Name, at: e.observation.Started}
}

// end removes a request, if it was recorded.
func (p *progress) end(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.started, e)
}

// longest returns how long the oldest request of a route has been in progress; 0 if there is
// none.
func (p *progress) longest(route string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for _, s := range p.started {
		if s.route == route {
			longest = max(longest, now.Sub(s.at))
		}
	}
	return longest
}
