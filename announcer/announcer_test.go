package announcer_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// network is a fleet of five hosts, of which the first announces.
type network struct {
	mu sync.Mutex
	// relayFails makes calls to the relay fail.
	relayFails bool
	called     []identifier.Address
	sent       []identifier.Address
}

func (*network) View() *gossiper.View {
	n := &peerwire.Gossip{}
	for i := range identifier.Incarnation(4) {
		n.Updates = append(n.Updates, peerwire.Update{
			Host: identifier.Host(rune('b' + i)), Incarnation: i + 2, Started: 1, Address: identifier.Address(rune('b' + i)),
			DataCenter: "dc", State: uint8(gossiper.StateAlive), Version: 1,
		})
	}
	m := gossiper.NewMachine(gossiper.Member{Host: "a", Incarnation: 1, DataCenter: "dc", Address: "a", Started: 1}, gossiper.Options{Seed: 1}, time.Now())
	m.Step(time.Now(), gossiper.GossipArrived{Gossip: n})
	return m.View()
}

func (n *network) Call(_ context.Context, to identifier.Address, _ peerwire.Kind, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.called = append(n.called, to)
	if n.relayFails {
		return errors.New("unreachable")
	}
	return nil
}

func (n *network) Send(_ context.Context, to identifier.Address, _ peerwire.Kind, _ msgp.Marshaler) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, to)
	return nil
}

func newAnnouncer(t *testing.T, n *network) (*announcer.Announcer, *grouper.Group) {
	t.Helper()
	return newAnnouncerThatRejoins(t, n, 0)
}

func newAnnouncerThatRejoins(t *testing.T, n *network, d time.Duration) (*announcer.Announcer, *grouper.Group) {
	t.Helper()
	g := grouper.New(t.Context())
	t.Cleanup(g.Stop)
	return announcer.New(announcer.Deps{Self: 1, Members: n, Links: n, Group: g, Kind: peerwire.KindLimitNews, RelayKey: 3, RejoinFor: d}), g
}

func TestTell(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := &network{relayFails: fails}
			a, g := newAnnouncer(t, n)
			a.Tell(&peerwire.LimitNews{}, &peerwire.LimitNews{Forward: true})
			is.NoErr(g.Wait())
			reached := len(n.sent)
			if len(n.called) > 0 && !fails {
				reached += 4 // the relay passes it on
			}
			is.Equal(reached, 4)
		})
	}
}

func TestPassOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{}
		a, g := newAnnouncer(t, n)
		a.PassOn(&peerwire.LimitNews{}, 2)
		is.NoErr(g.Wait())
		is.Equal(n.sent, []identifier.Address{"c", "d", "e"}) // not to the host that it came from
	})
}

// TestJoin guards against hosts that start together and ask each other without end.
func TestJoin(t *testing.T) {
	cases := []struct {
		name        string
		err         error
		rejoinFor   time.Duration
		least, most int64
	}{
		{"until a host has answered", nil, 0, 1, 1},
		{"again for a time if the others may not know of this host", nil, 400 * time.Millisecond, 2, 2},
		{"again at once if a host can't be reached", errors.New("unreachable"), 0, 18, 20},
		{"less often if the others have started just now", announcer.ErrNotJoined, 0, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, g := newAnnouncerThatRejoins(t, &network{}, c.rejoinFor)
				var asked atomic.Int64
				for range time.Second / announcer.JoinPeriod {
					a.Join(func(context.Context, gossiper.Member) error {
						asked.Add(1)
						return c.err
					})
					time.Sleep(announcer.JoinPeriod)
				}
				g.Stop()
				is := is.New(t)
				is.NoErr(g.Wait())
				is.True(asked.Load() >= c.least && asked.Load() <= c.most)
			})
		})
	}
}
