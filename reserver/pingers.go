package reserver

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// pingPeriod is the interval between pings to the placing host while a request for
	// placement is outstanding, and slotPingPeriod while requests for slots are: a plain
	// call takes no longer than a few of these.
	pingPeriod     = 100 * time.Millisecond
	slotPingPeriod = 30 * time.Millisecond
	// pingTimeout is the timeout of each ping.
	pingTimeout = 80 * time.Millisecond
)

// errPingFailed is returned if the placing host doesn't answer a ping.
var errPingFailed = classifier.NotRun(classifier.ReasonHostUnreachable, 0, "placing host did not answer a ping")

// pingers ping the placing hosts from which replies are outstanding. The requests to a host
// share one pinger.
type pingers struct {
	reserver *Reserver
	period   time.Duration

	mu  sync.Mutex
	all map[identifier.Incarnation]*pinger
}

// pinger pings a placing host.
type pinger struct {
	host gossiper.Member
	// requests is the number of outstanding requests; guarded by pingers.mu.
	requests int
	// unneeded is closed when there are none, unreachable when a ping failed.
	unneeded, unreachable chan struct{}
}

func newPingers(r *Reserver, period time.Duration) *pingers {
	return &pingers{reserver: r, period: period, all: map[identifier.Incarnation]*pinger{}}
}

// start pings a host until stop is called. The channel is closed if the host doesn't answer.
func (s *pingers) start(host gossiper.Member) (unreachable <-chan struct{}, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.all[host.Incarnation]
	if p == nil {
		p = &pinger{host: host, unneeded: make(chan struct{}), unreachable: make(chan struct{})}
		s.all[host.Incarnation] = p
		s.reserver.deps.Group.Run(func(ctx context.Context) { s.run(ctx, p) })
	}
	p.requests++
	return p.unreachable, func() { s.stop(p) }
}

func (s *pingers) stop(p *pinger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.requests--; p.requests == 0 {
		close(p.unneeded)
		s.remove(p)
	}
}

// remove makes later requests start another pinger. s.mu must be held.
func (s *pingers) remove(p *pinger) {
	if s.all[p.host.Incarnation] == p {
		delete(s.all, p.host.Incarnation)
	}
}

func (s *pingers) run(ctx context.Context, p *pinger) {
	ticker := time.NewTicker(s.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.unneeded:
			return
		case <-ticker.C:
		}
		if !s.reserver.ping(ctx, p.host) && ctx.Err() == nil {
			s.mu.Lock()
			s.remove(p)
			s.mu.Unlock()
			close(p.unreachable)
			return
		}
	}
}

func (r *Reserver) ping(ctx context.Context, host gossiper.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return r.deps.Links.Call(ctx, host.Address, peerwire.KindReservationPing, &peerwire.ReservationPing{}, &peerwire.ReservationPong{}) == nil
}
