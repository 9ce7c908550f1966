package forwarder

import (
	"errors"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// priorityLevels is the number of routes' priorities that are told apart among requests of
// equal customers.
const priorityLevels = 10

var errUnknownKey = errors.New("the key belongs to no customer")

// resolve finds the request's route and customer by the declarations. The key is checked
// with each request, also with those on a connection whose earlier ones were allowed.
func (e *exchange) resolve(d *registrar.Declarations, key authenticator.Key) error {
	path, _, _ := strings.Cut(requestTarget(e.request), "?")
	route, ok := d.Match(e.request.Host, path)
	if !ok {
		return &statusError{status: http.StatusNotFound, cause: errNoRoute}
	}
	e.route = route
	e.observation.Route = route
	e.observation.Version = d.Version
	return e.authenticate(d, key)
}

// recheckKey checks the key again if the declarations changed while the body arrived. The route
// stays that of the declarations before, by which the request was accepted.
func (e *exchange) recheckKey(before *registrar.Declarations, key authenticator.Key) error {
	now := e.forwarder.deps.Registry.Snapshot().Declarations
	if now == before || before.Customers == nil || now.Customers == nil {
		return nil
	}
	return e.authenticate(now, key)
}

// authenticate finds the customer that the caller is.
func (e *exchange) authenticate(d *registrar.Declarations, key authenticator.Key) error {
	e.customer, e.observation.Customer = nil, ""
	if d.Customers == nil {
		return nil
	}
	customer, ok := d.Customers.Authenticate(key)
	if !ok && !e.route.Public {
		e.forwarder.deps.Log.Info("key-refused",
			zap.String("request", string(e.observation.ID)),
			zap.String("route", e.route.Name),
			zap.Uint64("version", uint64(d.Version)),
			zap.Bool("with-key", key != ""))
		return &statusError{status: http.StatusUnauthorized, cause: errUnknownKey}
	}
	if ok {
		e.customer = customer
		e.observation.Customer = customer.Name
	}
	return nil
}

// priority returns the request's rank among all requests. Where customers are declared, their
// priorities go before those of the routes, which rank the requests of equal customers.
func (e *exchange) priority(d *registrar.Declarations) int {
	if d.Customers == nil {
		return e.route.Priority
	}
	first := e.route.Priority
	if e.customer != nil && e.customer.HasPriority {
		first = e.customer.Priority
	}
	return first*priorityLevels + min(max(0, e.route.Priority), priorityLevels-1)
}
