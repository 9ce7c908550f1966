package reserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// TestStaleOutcomes guards against outcomes that arrive for another grant than the one that they name
// here: grants ended early, and engines counted as having room that they didn't have.
func TestStaleOutcomes(t *testing.T) {
	f := newFleet(t, 3)
	owner := f.placingHost()
	origin, stranger := (owner+1)%3, (owner+2)%3
	p, err := f.place(context.Background(), origin, time.Second)
	f.is.NoErr(err)
	inUse := func() bool { return f.hosts[owner].placer.AssignedTokens(p.Decode) > 0 }
	f.is.True(inUse())
	t.Run("a grant of an earlier process of the placing host", func(t *testing.T) {
		for id := range uint64(100) {
			f.sendOutcome(origin, owner, id+1)
		}
		is.New(t).True(inUse())
	})
	t.Run("a grant of another host", func(t *testing.T) {
		f.sendOutcome(stranger, owner, p.Grant())
		is.New(t).True(inUse())
	})
	t.Run("its own grant", func(*testing.T) {
		f.complete(origin, p)
		f.eventually("the grant has ended", func() bool { return !inUse() })
	})
}

// sendOutcome makes a host tell another one that a grant has ended, and waits until that is processed.
func (f *fleet) sendOutcome(from, to int, grant uint64) {
	f.t.Helper()
	m := &peerwire.ReservationOutcome{Grant: grant}
	f.is.NoErr(f.hosts[from].messenger.Call(context.Background(), f.hosts[to].address, peerwire.KindReservationOutcome, m, nil))
}
