package keeper_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/keeper"
)

const template = `firm = "tamsui"
[[data-center]]
name = "tw-north-1"
region = "tw-north"
[[service]]
name = "price-lock"
kind = "plain"
timeout = "%ds"
[[endpoint]]
name = "lock-1"
service = "price-lock"
data-center = "tw-north-1"
address = "127.0.0.1:7171"
`

// file returns declarations whose timeout is n seconds.
func file(n int) []byte {
	return fmt.Appendf(nil, template, n)
}

func badFile(n int) []byte {
	return append(file(n), "oops = 1\n"...)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fromService(r identifier.Revision, source []byte) keeper.Offered {
	return keeper.Offered{Revision: r, File: source, Source: keeper.SourceService}
}

// startedKeeper returns a keeper with revision r in force, after its queries of
// peers and engines found nothing newer.
func startedKeeper(r identifier.Revision) *keeper.Keeper {
	k := keeper.New(keeper.DefaultOptions(), start)
	k.Handle(keeper.PeersQueried{}, start)
	k.Handle(fromService(r, file(int(r))), start)
	k.Handle(keeper.FencesQueried{Candidate: r}, start)
	return k
}

func assertInForce(t *testing.T, k *keeper.Keeper, r identifier.Revision) {
	t.Helper()
	is := is.New(t)
	if r == 0 {
		is.True(k.Current() == nil)
		return
	}
	is.True(k.Current() != nil)
	is.Equal(k.Current().Revision, r)
	is.Equal(k.Status().Revision, r)
}

func TestRunningHost(t *testing.T) {
	t.Run("newer file is accepted, older is ignored", func(t *testing.T) {
		k := startedKeeper(5)
		assertInForce(t, k, 5)
		k.Handle(fromService(7, file(7)), start)
		assertInForce(t, k, 7)
		k.Handle(fromService(6, file(6)), start)
		assertInForce(t, k, 7)
	})
	t.Run("invalid file leaves the current one in force", func(t *testing.T) {
		is := is.New(t)
		k := startedKeeper(5)
		old := k.Current()
		actions := k.Handle(fromService(6, badFile(6)), start)
		is.Equal(len(actions), 1)
		is.True(k.Current() == old)
		refusal := k.Status().Refusal
		is.Equal(refusal.Revision, identifier.Revision(6))
		is.True(strings.Contains(refusal.Err.Error(), "declarations:14: endpoint.oops: unknown key"))
		is.Equal(len(k.Handle(fromService(6, badFile(6)), start)), 0)
		k.Handle(fromService(7, file(7)), start)
		is.True(k.Status().Refusal == nil)
	})
	t.Run("different file under the same revision is refused", func(t *testing.T) {
		is := is.New(t)
		k := startedKeeper(5)
		k.Handle(fromService(5, file(50)), start)
		is.Equal(k.Current().Source, file(5))
		is.True(strings.Contains(k.Status().Refusal.Err.Error(), "was already accepted with digest"))
	})
	t.Run("another firm's file is refused", func(t *testing.T) {
		options := keeper.DefaultOptions()
		options.Firm = "snyrtinams"
		k := keeper.New(options, start)
		k.Handle(fromService(5, file(5)), start)
		is.New(t).Equal(k.Status().Refusal.Err.Error(), `declarations: firm: expected "snyrtinams", got "tamsui"`)
	})
	t.Run("newer revision known elsewhere is reported", func(t *testing.T) {
		k := startedKeeper(5)
		k.Handle(keeper.RevisionSeen{Revision: 6}, start)
		is.New(t).Equal(k.Status().Phase, keeper.PhaseBehind)
	})
}

func TestStartingHost(t *testing.T) {
	options := keeper.DefaultOptions()
	t.Run("waits for peers", func(t *testing.T) {
		k := keeper.New(options, start)
		k.Handle(fromService(5, file(5)), start)
		k.Handle(keeper.FencesQueried{Candidate: 5}, start)
		assertInForce(t, k, 0)
		k.Handle(keeper.Offered{Revision: 7, File: file(7), Source: keeper.SourcePeer}, start)
		k.Handle(keeper.PeersQueried{}, start)
		k.Handle(keeper.FencesQueried{Candidate: 7}, start)
		assertInForce(t, k, 7)
	})
	t.Run("waits no longer than its timeouts", func(t *testing.T) {
		k := keeper.New(options, start)
		k.Handle(fromService(5, file(5)), start)
		k.Handle(keeper.Ticked{}, start.Add(options.PeersTimeout-1))
		assertInForce(t, k, 0)
		k.Handle(keeper.Ticked{}, start.Add(options.PeersTimeout))
		assertInForce(t, k, 5)
	})
	t.Run("holds back a file older than a fencing number", func(t *testing.T) {
		is := is.New(t)
		k := keeper.New(options, start)
		k.Handle(keeper.PeersQueried{}, start)
		k.Handle(fromService(5, file(5)), start)
		k.Handle(keeper.RevisionSeen{Revision: 7}, start)
		k.Handle(keeper.FencesQueried{Candidate: 5}, start)
		k.Handle(keeper.Ticked{}, start.Add(time.Hour))
		assertInForce(t, k, 0)
		is.Equal(k.Status().Phase, keeper.PhaseHeld)
		k.Handle(fromService(7, file(7)), start.Add(time.Hour))
		k.Handle(keeper.FencesQueried{Candidate: 7}, start.Add(time.Hour))
		assertInForce(t, k, 7)
	})
	t.Run("accepts an older file if AllowOlder is set", func(t *testing.T) {
		options := options
		options.AllowOlder = true
		k := keeper.New(options, start)
		k.Handle(keeper.PeersQueried{}, start)
		k.Handle(fromService(5, file(5)), start)
		k.Handle(keeper.RevisionSeen{Revision: 7}, start)
		k.Handle(keeper.FencesQueried{Candidate: 5}, start)
		assertInForce(t, k, 5)
	})
}

func TestSubscribers(t *testing.T) {
	is := is.New(t)
	k := startedKeeper(5)
	var seen []identifier.Revision
	k.Subscribe(func(_, next *compiler.Fleet) { seen = append(seen, next.Revision) })
	k.Handle(fromService(7, file(7)), start)
	k.Handle(fromService(6, file(6)), start)
	is.Equal(seen, []identifier.Revision{5, 7})
}

// TestSubscriberHandles checks that a subscriber can call Handle without a
// deadlock, and that the notifications it causes are delivered in order.
func TestSubscriberHandles(t *testing.T) {
	is := is.New(t)
	k := startedKeeper(5)
	var seen []identifier.Revision
	done := make(chan struct{})
	group := grouper.New(t.Context())
	group.Run(func(context.Context) {
		defer close(done)
		k.Subscribe(func(_, next *compiler.Fleet) {
			if next.Revision < 8 {
				k.Handle(keeper.RevisionSeen{Revision: 9}, start)
				k.Handle(fromService(next.Revision+1, file(8)), start)
			}
			seen = append(seen, next.Revision)
		})
	})
	select {
	case <-done:
		is.Equal(seen, []identifier.Revision{5, 6, 7, 8})
		is.Equal(k.Status().Phase, keeper.PhaseBehind)
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock: Subscribe did not return")
	}
}

func TestConcurrentOffers(t *testing.T) {
	is := is.New(t)
	k := startedKeeper(1)
	var last *compiler.Fleet
	k.Subscribe(func(previous, next *compiler.Fleet) {
		if previous != last || last != nil && next.Revision <= last.Revision {
			t.Errorf("notified of revision %d out of order", next.Revision)
		}
		last = next
	})
	group := grouper.New(t.Context())
	for n := range 4 {
		group.Run(func(context.Context) {
			for r := 2 + n; r <= 40; r += 3 {
				k.Handle(fromService(identifier.Revision(r), file(r)), start)
			}
		})
	}
	is.NoErr(group.Wait())
	assertInForce(t, k, 40)
	is.Equal(last.Revision, identifier.Revision(40))
}
