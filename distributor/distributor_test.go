package distributor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/distributor"
	"github.com/jackdawthread/jackdawthread/emulator/linker"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

const (
	linkDelay  = time.Millisecond
	treeKey    = 7
	dataCenter = identifier.DataCenter("dc-1")
)

// fleet is a set of hosts of one data center.
type fleet struct {
	group *grouper.Group
	hosts []*host

	mu sync.Mutex
	// silent are the hosts that nothing reaches.
	silent map[identifier.Address]bool
}

// silence lets nothing reach a host any more.
func (f *fleet) silence(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[h.member.Address] = true
}

func (f *fleet) isSilent(a identifier.Address) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[a]
}

type host struct {
	member      gossiper.Member
	node        *linker.Node
	view        *gossiper.View
	distributor *distributor.Distributor
}

// View implements distributor.Members.
func (h *host) View() *gossiper.View {
	return h.view
}

// newFleet returns hosts in the order of their tree: the first one is its root.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{group: grouper.New(context.Background()), silent: map[identifier.Address]bool{}}
	n := linker.New(f.group, linkDelay, func(from, to identifier.Address) bool {
		if f.isSilent(to) || f.isSilent(from) {
			time.Sleep(time.Hour) // no answer
		}
		return true
	})
	updates := &peerwire.Gossip{}
	for i := range count {
		updates.Updates = append(updates.Updates, peerwire.Update{
			Host: identifier.Host(fmt.Sprintf("host-%02d", i)), Incarnation: identifier.Incarnation(i + 1), Started: 1,
			Address: identifier.Address(fmt.Sprintf("10.1.0.%d:7000", i)), DataCenter: dataCenter,
			State: uint8(gossiper.StateAlive), Version: 1,
		})
	}
	observer := gossiper.NewMachine(gossiper.Member{Host: "observer", Incarnation: 99, DataCenter: "dc-2", Address: "10.2.0.1:7000", Started: 1},
		gossiper.Options{Seed: 1}, time.Now())
	observer.Step(time.Now(), gossiper.GossipArrived{Gossip: updates})
	view := observer.View()
	for _, m := range view.Owners(dataCenter, treeKey, count) {
		h := &host{member: m, view: view, node: n.Node(m.Address)}
		h.node.Start(messenger.Peer{Host: m.Host, Incarnation: m.Incarnation})
		h.distributor = distributor.New(distributor.Deps{
			Self: m.Incarnation, DataCenter: dataCenter, TreeKey: treeKey, Members: h, Links: h.node, Log: zap.NewNop(),
		})
		h.distributor.Register(h.node)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *fleet) stop(t *testing.T) {
	t.Helper()
	time.Sleep(2 * time.Hour) // until no message is on its way
	f.group.Stop()
	is.New(t).NoErr(f.group.Wait())
}

// inFleet runs a test with a fleet in virtual time.
func inFleet(t *testing.T, name string, count int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, count)
			defer f.stop(t)
			test(t, f)
		})
	})
}

// randomValue returns a value that can't be compressed.
func randomValue(seed uint64, bytes int) []byte {
	random := rand.New(rand.NewPCG(seed, seed))
	value := make([]byte, bytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

func reference(value []byte, from *host) replicator.Reference {
	return replicator.Reference{Digest: identifier.DigestOf(value), Bytes: len(value), From: from.member.Address}
}

// assertFetched checks that a host gets a value within a time.
func assertFetched(t *testing.T, h *host, value, base []byte, from *host, bound time.Duration) {
	t.Helper()
	i := is.New(t)
	i.Helper()
	began := time.Now()
	got, err := h.distributor.Fetch(t.Context(), reference(value, from), base)
	i.NoErr(err)
	i.Equal(got, value)
	i.True(time.Since(began) <= bound) // it is fetched in time
}

func TestFetch(t *testing.T) {
	value := randomValue(1, 100_000)
	changed := append(randomValue(2, 100), value...)
	inFleet(t, "in parts from the root", 3, func(t *testing.T, f *fleet) {
		f.hosts[0].distributor.Keep(value)
		assertFetched(t, f.hosts[1], value, nil, f.hosts[0], 50*time.Millisecond)
		s := f.hosts[0].distributor.Stats()
		is.New(t).True(s.SentParts >= 7)
		is.New(t).Equal(s.Encodings, uint64(1))
	})
	inFleet(t, "only the difference to a value that both have", 2, func(t *testing.T, f *fleet) {
		f.hosts[0].distributor.Keep(value)
		f.hosts[0].distributor.Keep(changed)
		assertFetched(t, f.hosts[1], changed, value, f.hosts[0], 50*time.Millisecond)
		is.New(t).True(f.hosts[1].distributor.Stats().ReceivedBytes < 1000)
	})
	inFleet(t, "whole if the peer doesn't know the value that the host has", 2, func(t *testing.T, f *fleet) {
		f.hosts[0].distributor.Keep(changed)
		assertFetched(t, f.hosts[1], changed, value, f.hosts[0], 50*time.Millisecond)
	})
	inFleet(t, "from a parent that gets the value later", 10, func(t *testing.T, f *fleet) {
		f.group.Run(func(context.Context) {
			time.Sleep(200 * time.Millisecond)
			f.hosts[1].distributor.Keep(value)
		})
		assertFetched(t, f.hosts[5], value, nil, f.hosts[0], 300*time.Millisecond) // its parent is the second host
		is.New(t).True(f.hosts[1].distributor.Stats().SentParts > 0)
	})
	inFleet(t, "from the announcer if the parent is silent", 10, func(t *testing.T, f *fleet) {
		f.hosts[8].distributor.Keep(value)
		f.silence(f.hosts[1])
		assertFetched(t, f.hosts[5], value, nil, f.hosts[8], time.Second)
	})
	inFleet(t, "from the root if parent and announcer don't have it", 10, func(t *testing.T, f *fleet) {
		f.hosts[0].distributor.Keep(value)
		assertFetched(t, f.hosts[5], value, nil, f.hosts[9], time.Second)
	})
	inFleet(t, "an error if no host has it", 4, func(t *testing.T, f *fleet) {
		_, err := f.hosts[2].distributor.Fetch(t.Context(), reference(value, f.hosts[1]), nil)
		is.New(t).True(err != nil)
		is.New(t).Equal(f.hosts[2].distributor.Stats().Failed, uint64(1))
	})
	inFleet(t, "once by each host, along a tree", 24, func(t *testing.T, f *fleet) {
		i := is.New(t)
		f.hosts[0].distributor.Keep(value)
		fetches := grouper.New(t.Context())
		for _, h := range f.hosts[1:] {
			fetches.Go(func(ctx context.Context) error {
				_, err := h.distributor.Fetch(ctx, reference(value, f.hosts[0]), nil)
				return err
			})
		}
		i.NoErr(fetches.Wait())
		parts := f.hosts[0].distributor.Stats().SentParts / 4 // four hosts fetch from the root
		for _, h := range f.hosts {
			i.True(h.distributor.Stats().SentParts <= 4*parts)
			i.True(h == f.hosts[0] || h.distributor.Stats().Encodings == 0) // the root's form is passed on
		}
	})
}

// A fetch that had to begin anew at another host never ended on a narrow link.
func TestFetchGoesOnAtAnotherHost(t *testing.T) {
	value := randomValue(1, 160_000) // ten parts
	inFleet(t, "where it stopped", 6, func(t *testing.T, f *fleet) {
		for _, h := range f.hosts[:2] {
			h.distributor.Keep(value)
		}
		first := f.hosts[1] // the parent of the last host
		f.group.Run(func(context.Context) {
			for first.distributor.Stats().SentParts < 5 {
				time.Sleep(linkDelay)
			}
			f.silence(first)
		})
		assertFetched(t, f.hosts[5], value, nil, f.hosts[0], 1200*time.Millisecond)
		sent := first.distributor.Stats().SentParts + f.hosts[0].distributor.Stats().SentParts
		is.New(t).True(sent <= 12) // one or two parts are lost
	})
}

// fakeReply answers requests for values with replies that don't fit.
func fakeReply(replies ...peerwire.ValueReply) messenger.Handler {
	n := 0
	return func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
		r := replies[n%len(replies)]
		n++
		return &r, nil
	}
}

func TestFetchOfUnfitReplies(t *testing.T) {
	value := randomValue(1, 50_000)
	for name, reply := range map[string][]peerwire.ValueReply{
		"parts of different forms": {
			{Found: true, Encoded: 100, Checksum: 1, Part: make([]byte, 10)},
			{Found: true, Encoded: 100, Checksum: 2, Part: make([]byte, 10)},
		},
		"an empty part":      {{Found: true, Encoded: 100, Checksum: 1}},
		"a part too long":    {{Found: true, Encoded: 5, Checksum: 1, Part: make([]byte, 10)}},
		"a form too large":   {{Found: true, Encoded: 1 << 31, Checksum: 1, Part: make([]byte, 10)}},
		"a form of no value": {{Found: true, Encoded: 10, Checksum: 1, Part: make([]byte, 10)}},
		"an unknown base":    {{Found: true, Encoded: 10, Checksum: 1, Base: 5, Part: make([]byte, 10)}},
	} {
		inFleet(t, name, 3, func(t *testing.T, f *fleet) {
			f.hosts[1].node.Handle(peerwire.KindValue, fakeReply(reply...))
			f.hosts[0].distributor.Keep(value)
			assertFetched(t, f.hosts[2], value, nil, f.hosts[1], time.Second) // from the root
		})
	}
}

func TestMalformedRequests(t *testing.T) {
	inFleet(t, "are refused", 2, func(t *testing.T, f *fleet) {
		err := f.hosts[0].node.Call(t.Context(), f.hosts[1].member.Address, peerwire.KindValue, msgp.Raw{0xc1}, nil)
		is.New(t).True(err != nil)
	})
}
