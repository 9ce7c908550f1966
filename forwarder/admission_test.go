package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/registrar"
)

func TestPriority(t *testing.T) {
	index, err := authenticator.NewIndex(nil)
	is.New(t).NoErr(err)
	withCustomers := &registrar.Declarations{Customers: index}
	ranked := func(p int) *authenticator.Customer { return &authenticator.Customer{HasPriority: true, Priority: p} }
	rank := func(d *registrar.Declarations, c *authenticator.Customer, route int) int {
		e := &exchange{route: &registrar.Route{Priority: route}, customer: c}
		return e.priority(d)
	}
	t.Run("is the route's without customers", func(t *testing.T) {
		is.New(t).Equal(rank(&registrar.Declarations{}, nil, 2), 2)
	})
	t.Run("is the customer's first, whatever the routes' are", func(t *testing.T) {
		is.New(t).True(rank(withCustomers, ranked(0), 500) < rank(withCustomers, ranked(1), -3))
	})
	t.Run("is the route's among customers of equal priorities", func(t *testing.T) {
		is.New(t).True(rank(withCustomers, ranked(1), 0) < rank(withCustomers, ranked(1), 1))
	})
	t.Run("is the route's for customers without one", func(t *testing.T) {
		is.New(t).True(rank(withCustomers, &authenticator.Customer{}, 0) < rank(withCustomers, ranked(1), 0))
		is.New(t).Equal(rank(withCustomers, nil, 1), rank(withCustomers, ranked(1), 1))
	})
}
