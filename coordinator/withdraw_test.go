package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// failingLinks returns an error from every call and counts release messages.
type failingLinks struct {
	failure  error
	releases atomic.Int64
}

func (l *failingLinks) Call(context.Context, identifier.Address, peerwire.Kind, msgp.Marshaler, msgp.Unmarshaler) error {
	return l.failure
}

func (l *failingLinks) Send(_ context.Context, _ identifier.Address, k peerwire.Kind, _ msgp.Marshaler) error {
	if k == peerwire.KindRelease {
		l.releases.Add(1)
	}
	return nil
}

// TestWithdraw checks that a slot request is withdrawn after a failure unless the
// host is known not to have accepted it.
func TestWithdraw(t *testing.T) {
	cases := map[string]struct {
		failure  error
		releases int64
	}{
		"the answer was lost":                    {errors.New("connection reset"), 1},
		"the host did not accept the request":    {notOwnerError(Key{}), 0},
		"the host may still process the request": {classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no route"), 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			links := &failingLinks{failure: c.failure}
			g := grouper.New(t.Context())
			host := &Coordinator{deps: Deps{Links: links, Group: g}}
			ask := SlotRequest{SlotRequest: allocator.SlotRequest{Attempt: identifier.Attempt{Incarnation: 1, Sequence: 1}}}
			_, err := host.requestRemote(t.Context(), gossiper.Member{}, Key{}, ask)
			is.True(err != nil)
			is.NoErr(g.Wait())
			is.Equal(links.releases.Load(), c.releases)
		})
	}
}
