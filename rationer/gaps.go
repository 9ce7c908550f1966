package rationer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// gaps remembers until when granting hosts have no permits for endpoints.
type gaps struct {
	ends map[gapKey]time.Time
}

type gapKey struct {
	endpoint identifier.Endpoint
	startID  int64
	granter  identifier.Incarnation
}

func newGaps() gaps {
	return gaps{ends: map[gapKey]time.Time{}}
}

func gapKeyOf(e *registrar.Endpoint, m gossiper.Member) gapKey {
	return gapKey{endpoint: e.Name, startID: e.StartID, granter: m.Incarnation}
}

// next returns when a granting host may have the next permit; zero if that is unknown.
func (g gaps) next(e *registrar.Endpoint, m gossiper.Member) time.Time {
	return g.ends[gapKeyOf(e, m)]
}

func (g gaps) record(e *registrar.Endpoint, m gossiper.Member, until time.Time) {
	g.ends[gapKeyOf(e, m)] = until
}

// expire removes gaps that have ended.
func (g gaps) expire(now time.Time) {
	for k, until := range g.ends {
		if !now.Before(until) {
			delete(g.ends, k)
		}
	}
}
