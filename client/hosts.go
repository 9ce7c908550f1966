package client

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// avoidPeriod is how long a host that could not be reached is passed over.
const avoidPeriod = 2 * time.Second

// host is one address of the client.
type host struct {
	callerwireconnect.CallerServiceClient
	avoidUntil atomic.Int64 // nanoseconds since 1970
}

func (h *host) avoided(now time.Time) bool {
	return now.UnixNano() < h.avoidUntil.Load()
}

// failed classifies err and notes that the host is gone, where it shows that.
// A stream or call that ended as canceled while ctx goes on was cut off by the
// host or on the way.
func (h *host) failed(ctx context.Context, err error) *classifier.Error {
	f := converter.FromConnect(err)
	if f.Reason == classifier.ReasonHostUnreachable {
		h.avoidUntil.Store(time.Now().Add(avoidPeriod).UnixNano())
	}
	if f.Reason != classifier.ReasonCanceled || ctx.Err() != nil {
		return f
	}
	cut := *f
	cut.Reason = reasonBrokenStream
	return &cut
}

// host gives the host at an index that counts on beyond the last one, or the
// next one that isn't avoided.
func (c *Client) host(index int) *host {
	now := time.Now()
	for i := range c.hosts {
		h := c.hosts[(index+i)%len(c.hosts)]
		if !h.avoided(now) {
			return h
		}
	}
	return c.hosts[index%len(c.hosts)]
}
