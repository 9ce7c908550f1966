package charger_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// countedLinks counts the bytes of messages and their replies, without frames.
type countedLinks struct {
	announcer.Links
	bytes *atomic.Int64
}

func (l countedLinks) count(message any) {
	m, ok := message.(msgp.Marshaler)
	if !ok {
		return
	}
	if encoded, err := m.MarshalMsg(nil); err == nil {
		l.bytes.Add(int64(len(encoded)))
	}
}

// Call implements announcer.Links.
func (l countedLinks) Call(ctx context.Context, to identifier.Address, k peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	l.count(request)
	err := l.Links.Call(ctx, to, k, request, reply)
	if err == nil { // else a late reply may still be written
		l.count(reply)
	}
	return err
}

// Send implements announcer.Links.
func (l countedLinks) Send(ctx context.Context, to identifier.Address, k peerwire.Kind, message msgp.Marshaler) error {
	l.count(message)
	return l.Links.Send(ctx, to, k, message)
}

// TestControlBytes measures what quotas cost on links, and guards against messages to all hosts:
// the bytes of a request don't grow with the number of hosts.
func TestControlBytes(t *testing.T) {
	const mostBytes = 1000 // a dozen messages
	for _, hosts := range []int{70, 1400} {
		for _, overload := range []float64{1 / headroom, hotFactor / headroom} {
			t.Run(fmt.Sprintf("%d hosts, %.1f times the quota", hosts, overload), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					q := tokens(float64(hosts) * 363_222 / 70)
					f := newFleet(t, hosts, q, 9)
					defer f.stop()
					time.Sleep(5 * time.Second)
					f.load(overload*q.Rate, f.uneven(), 2*time.Second)
					perRequest := float64(f.bytes.Load()) / float64(f.requests())
					t.Logf("%.0f bytes a request, %.0f a second and host", perRequest, float64(f.bytes.Load())/2/float64(hosts))
					is.New(t).True(perRequest <= mostBytes)
				})
			})
		}
	}
}
