package gossiper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// fleetNews returns news of alive hosts in three data centers.
func fleetNews(hosts int) *peerwire.Gossip {
	n := &peerwire.Gossip{}
	for i := range hosts {
		u := aliveUpdate(identifier.Host(fmt.Sprintf("entry-%04d", i)), identifier.Incarnation(i+10))
		u.DataCenter = identifier.DataCenter(fmt.Sprintf("tw-north-%d", i%3+1))
		n.Updates = append(n.Updates, u)
	}
	return n
}

// requireOwner checks that the host owns the key in tw-north-1.
func requireOwner(t *testing.T, v *gossiper.View, key uint64, host identifier.Host) {
	t.Helper()
	n, ok := v.Owner("tw-north-1", key)
	is := is.New(t)
	is.Helper()
	is.True(ok)
	is.Equal(n.Host, host)
}

func TestOwner(t *testing.T) {
	all := fleetNews(30)
	v := viewAfter(*all)
	t.Run("is the first of the owners", func(t *testing.T) {
		for key := range uint64(100) {
			requireOwner(t, v, key, v.Owners("tw-north-1", key, 3)[0].Host)
		}
	})
	t.Run("changes only for the keys of a leaving host", func(t *testing.T) {
		lost := all.Updates[3]
		lost.State = uint8(gossiper.StateLeaving)
		after := viewAfter(peerwire.Gossip{Updates: append(fleetNews(30).Updates, lost)})
		moved := 0
		for key := range uint64(1000) {
			owners := v.Owners("tw-north-1", key, 2)
			if owners[0].Host == lost.Host {
				owners = owners[1:]
				moved++
			}
			requireOwner(t, after, key, owners[0].Host)
		}
		is.New(t).True(moved > 0)
	})
	t.Run("spreads keys evenly", func(t *testing.T) {
		counts := map[identifier.Host]int{}
		const keys = 11000
		for key := range uint64(keys) {
			n, _ := v.Owner("tw-north-1", key)
			counts[n.Host]++
		}
		is.New(t).Equal(len(counts), 11) // ten and the viewing host
		for host, n := range counts {
			if n < 800 || n > 1200 {
				t.Errorf("host %q owns %d of %d keys", host, n, keys)
			}
		}
	})
	t.Run("doesn't exist in an unknown data center", func(t *testing.T) {
		_, ok := v.Owner("is-hofud-1", 1)
		is.New(t).True(!ok)
	})
}

func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{9, 300, 1400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v := viewAfter(*fleetNews(hosts))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v.Owner("tw-north-1", uint64(i))
			}
		})
	}
}

func BenchmarkView(b *testing.B) {
	for _, hosts := range []int{9, 300, 1400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := newMachine(time.Unix(0, 0))
			m.Step(time.Unix(0, 0), gossiper.GossipArrived{Gossip: fleetNews(hosts)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				u := aliveUpdate("entry-0000", 10)
				u.Refutation = uint32(i + 1)
				m.Step(time.Unix(0, 0), gossiper.GossipArrived{Gossip: &peerwire.Gossip{Updates: []peerwire.Update{u}}})
				m.View()
			}
		})
	}
}
