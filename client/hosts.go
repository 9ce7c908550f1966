package client

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// hostCooldown is how long an unreachable host is skipped.
const hostCooldown = 2 * time.Second

// host is an entry host that the client knows by its address.
type host struct {
	callerwireconnect.CallerServiceClient
	cooldownUntil atomic.Int64 // Unix time in nanoseconds
}

func (h *host) inCooldown(now time.Time) bool {
	return now.UnixNano() < h.cooldownUntil.Load()
}

// recordFailure classifies err and starts the cooldown if the host could not be
// reached. If a stream or call is reported as canceled while ctx is still
// active, the host or the network broke it.
func (h *host) recordFailure(ctx context.Context, err error) *classifier.Error {
	f := converter.FromConnect(err)
	if f.Reason == classifier.ReasonHostUnreachable {
		h.cooldownUntil.Store(time.Now().Add(hostCooldown).UnixNano())
	}
	if f.Reason != classifier.ReasonCanceled || ctx.Err() != nil {
		return f
	}
	broken := *f
	broken.Reason = reasonBrokenStream
	return &broken
}

// host returns the host at index modulo the number of hosts, or the next one
// that isn't in cooldown. If all are, it ignores the cooldowns.
func (c *Client) host(index int) *host {
	now := time.Now()
	for i := range c.hosts {
		h := c.hosts[(index+i)%len(c.hosts)]
		if !h.inCooldown(now) {
			return h
		}
	}
	return c.hosts[index%len(c.hosts)]
}
