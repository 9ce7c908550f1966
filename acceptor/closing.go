package acceptor

import (
	"fmt"
	"time"
)

// Reason says why a host closed a caller's connection.
type Reason string

// Reasons for which a host closes connections by itself. A connection whose last
// answer says `Connection: close` has none of them.
const (
	// ReasonIdle means that no request came within the idle limit.
	ReasonIdle Reason = "idle"
	// ReasonHeader means that a request's header didn't arrive within its limit.
	ReasonHeader Reason = "header-timeout"
	// ReasonHeadTooLarge means that a request's header exceeded its limit.
	ReasonHeadTooLarge Reason = "head-too-large"
	// ReasonMemory means that the memory for requests was short while a request's header
	// arrived.
	ReasonMemory Reason = "memory"
	// ReasonCrowded means that the connection had no whole request when there was no
	// room for another one, and ReasonRefused that there was none for this one.
	ReasonCrowded Reason = "crowded"
	ReasonRefused Reason = "refused"
	// ReasonStop means that no request came in a planned stop.
	ReasonStop Reason = "stop"
	// ReasonStopLimit means that the time of a planned stop was over.
	ReasonStopLimit Reason = "stop-limit"
	// ReasonKill means that the host ended without waiting for requests.
	ReasonKill Reason = "kill"
)

// Closing describes a connection that the host closed. It is also the cause of the
// contexts of requests that were in progress on the connection.
type Closing struct {
	Reason Reason
	// Remote is the caller's address.
	Remote string
	// Age is the time since the connection was accepted.
	Age time.Duration
	// Idle is the time since the last answer, since the connection was accepted, or, while
	// a request's header arrives, since its first byte.
	Idle time.Duration
	// Limit is the limit that Idle exceeded. It has no meaning with ReasonStopLimit and
	// ReasonKill.
	Limit time.Duration
}

// Error returns the reason.
func (c *Closing) Error() string {
	return fmt.Sprintf("this host closed the caller's connection: %s", c.Reason)
}
