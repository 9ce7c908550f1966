package charger

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/lender"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// FuzzMessages decodes what another host may send. What is accepted has bounded names and
// amounts.
func FuzzMessages(f *testing.F) {
	request, _ := (&peerwire.QuotaRequest{Asks: []peerwire.QuotaAsk{{Customer: "harbour-yard", Least: 1, Most: 2, Size: 1}}}).MarshalMsg(nil)
	unused, _ := (&peerwire.QuotaReturn{Sequence: 1, Unused: []peerwire.QuotaUnused{{Customer: "harbour-yard", Amount: 1}}}).MarshalMsg(nil)
	reply, _ := (&peerwire.QuotaReply{Loans: []peerwire.QuotaLoan{{Ready: true, Amount: 1, Level: 2}}}).MarshalMsg(nil)
	for _, seed := range [][]byte{request, unused, reply} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		is := is.New(t)
		if asks, err := decodeRequest(payload); err == nil {
			for _, a := range asks {
				is.True(isName(string(a.Customer)) && isAmount(a.Least) && isAmount(a.Most) && isAmount(a.Size))
			}
		}
		if m, err := decodeReturn(payload); err == nil {
			for _, u := range m.Unused {
				is.True(isName(u.Customer) && isAmount(u.Amount))
			}
		}
		var m peerwire.QuotaReply
		if _, err := m.UnmarshalMsg(payload); err != nil {
			return
		}
		if l, _, err := decodeLoan(&m, lender.Ask{Most: 2}); err == nil {
			is.True(l.Amount >= 0 && l.Amount <= 2 && isAmount(l.Level))
		}
	})
}

func TestDecode(t *testing.T) {
	refused := []peerwire.QuotaAsk{
		{Customer: ""},
		{Customer: string(make([]byte, maxNameBytes+1))},
		{Customer: "a", Least: math.NaN()},
		{Customer: "a", Most: math.Inf(1)},
		{Customer: "a", Size: -1},
	}
	for _, a := range refused {
		is := is.New(t)
		payload, err := (&peerwire.QuotaRequest{Asks: []peerwire.QuotaAsk{a}}).MarshalMsg(nil)
		is.NoErr(err)
		_, err = decodeRequest(payload)
		is.True(err != nil)
	}
}

// TestReturnsCountOnce guards against units that are returned twice by a repeated message.
func TestReturnsCountOnce(t *testing.T) {
	is := is.New(t)
	u := newUnused()
	u.add(lender.Return{Granter: "a", Customer: "x", Amount: 1})
	u.add(lender.Return{Granter: "a", Customer: "x", Amount: 2})
	u.add(lender.Return{Granter: "a", Customer: "y"})
	first := u.take()["a"]
	is.Equal(first.Unused, []peerwire.QuotaUnused{{Customer: "x", Amount: 3}})
	is.Equal(len(u.take()), 0)
	u.add(lender.Return{Granter: "a", Customer: "x", Amount: 1})
	second := u.take()["a"]
	is.True(u.accepted.Accept(1, first.Sequence))
	is.True(!u.accepted.Accept(1, first.Sequence))
	is.True(u.accepted.Accept(2, first.Sequence))
	is.True(u.accepted.Accept(1, second.Sequence))
}
