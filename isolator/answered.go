package isolator

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/quarantiner"
)

const (
	// answeredTime is the time in which an endpoint ends after an answer, if it does.
	answeredTime = 100 * time.Millisecond
	// newsTime is how long a call can still turn out to be part of an end of which another
	// call or host tells.
	newsTime = 300 * time.Millisecond
	// maxAnswered bounds the calls that are waited for.
	maxAnswered = 4096
)

// answered is a call that has ended although its endpoint may not have, as far as known.
type answered struct {
	call *Call
	at   time.Time
	// spares is set if the endpoint has spared the request unless it ends now.
	spares bool
}

// outlook is what is known of an answered call's endpoint.
type outlook uint8

const (
	// outlookOpen means that it may have ended.
	outlookOpen outlook = iota
	// outlookAlive means that it hasn't, and outlookEnded that it has.
	outlookAlive
	outlookEnded
	// outlookDoubtful means that only a connection can tell.
	outlookDoubtful
)

// await waits until it is known whether the call's endpoint has ended.
func (i *Isolator) await(c *Call, spares bool) {
	c.trial.endParts()
	if !spares { // the same request may go on elsewhere
		c.trial.end()
	}
	a := answered{call: c, at: time.Now(), spares: spares}
	i.mu.Lock()
	full := len(i.answered) >= maxAnswered
	if !full {
		i.answered = append(i.answered, a)
	}
	i.mu.Unlock()
	if full {
		i.spare(a)
	}
}

// settleAnswered decides about the calls whose endpoints have had the time to end.
func (i *Isolator) settleAnswered(now time.Time) {
	var due []answered
	outlooks := map[*Call]outlook{}
	i.mu.Lock()
	i.answered = slices.DeleteFunc(i.answered, func(a answered) bool {
		o := i.outlook(a, now)
		if o == outlookOpen {
			return false
		}
		outlooks[a.call] = o
		due = append(due, a)
		return true
	})
	i.mu.Unlock()
	for _, a := range due {
		switch outlooks[a.call] {
		case outlookEnded:
			a.call.reportEnd(a.at, "told")
		case outlookDoubtful:
			i.deps.Group.Run(func(ctx context.Context) { i.examineAnswered(ctx, a) })
		default:
			i.spare(a)
		}
	}
}

// outlook returns what is known of an answered call's endpoint. The mutex must be held.
func (i *Isolator) outlook(a answered, now time.Time) outlook {
	at := a.call.at
	age := now.Sub(a.at)
	if age < answeredTime {
		return outlookOpen
	}
	if i.quarantiner.Ended(at.Name, at.StartID, a.at.Add(-newsTime)) {
		return outlookEnded
	}
	switch {
	case i.connected(at):
		return outlookAlive
	case age < newsTime && (i.underWay[at.Name] > 0 || i.deps.Idle == nil): // others will tell
		return outlookOpen
	case i.underWay[at.Name] > 0:
		return outlookAlive
	case i.deps.Idle == nil && len(i.quarantiner.OnTrial(a.call.wholes)) == 0:
		return outlookAlive // a connection for each call would cost too much
	default:
		return outlookDoubtful
	}
}

// spare records that the endpoint of an answered call goes on.
func (i *Isolator) spare(a answered) {
	if a.spares {
		i.mu.Lock()
		i.quarantiner.Begun(quarantiner.PhaseDecode, a.call.wholes, time.Now())
		i.mu.Unlock()
	}
	a.call.trial.end()
}

// examineAnswered finds out whether the endpoint of an answered call has ended.
func (i *Isolator) examineAnswered(ctx context.Context, a answered) {
	if i.refuses(ctx, a.call.at) {
		a.call.reportEnd(a.at, "connection-refused")
		return
	}
	i.spare(a)
}
