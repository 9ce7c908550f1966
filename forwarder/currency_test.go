package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// customerKey is a key of the second declarations in these tests, and customerRoute a route of both.
const (
	customerKey   = authenticator.Key("k-2")
	customerRoute = "/old/"
)

// declarationsOf returns declarations with routes, for customers with a key.
func declarationsOf(t *testing.T, version identifier.Revision, key authenticator.Key, prefixes ...string) *registrar.Declarations {
	t.Helper()
	var routes []*registrar.Route
	for _, p := range prefixes {
		routes = append(routes, &registrar.Route{Name: p, Host: "example.com", Prefix: p, Splits: []registrar.Split{{Service: "desk"}}})
	}
	d := registrar.NewDeclarations(version, routes, nil, registrar.Limits{})
	index, err := authenticator.NewIndex([]authenticator.Holder{{Customer: authenticator.Customer{Name: "c"}, Keys: []authenticator.Key{key}}})
	is.New(t).NoErr(err)
	d.Customers = index
	return d
}

// outcome is how a request ended whose route and key were looked up.
type outcome struct {
	status     int // 0 if it may be forwarded
	retryAfter string
	took       time.Duration
}

// lookUp resolves a request on a host with declarations of a currency. Later ones arrive after a time; 0
// for never.
func lookUp(t *testing.T, target string, key authenticator.Key, c Currency, arrival time.Duration) (o outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		registry := registrar.New()
		registry.SetDeclarations(declarationsOf(t, 1, "k-1", customerRoute))
		later := declarationsOf(t, 2, customerKey, customerRoute, "/new/")
		current := c
		if arrival > 0 {
			time.AfterFunc(arrival, func() {
				registry.SetDeclarations(later)
				current = CurrencyConfirmed
			})
		}
		w := httptest.NewRecorder()
		e := &exchange{
			forwarder:   &Forwarder{deps: Deps{Registry: registry, Currency: func() Currency { return current }, Log: zap.NewNop()}},
			writer:      w,
			request:     httptest.NewRequest(http.MethodGet, target, nil),
			observation: &Observation{},
		}
		began := time.Now()
		_, err := e.resolveCurrent(registry.Snapshot().Declarations, RequestParameters{Key: key, Timeout: 4 * time.Second})
		o.took = time.Since(began)
		if err != nil {
			e.fail(err)
			o.status, o.retryAfter = w.Code, w.Header().Get("Retry-After")
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return o
}

// A host that had heard of a later configuration, or had not reached the store for seconds, answered 404 on
// a route that the later one declares, and 401 on a key of it.
func TestOutdatedDeclarations(t *testing.T) {
	for _, c := range []struct {
		name, target string
		key          authenticator.Key
		status       int
	}{
		{"a route", "http://example.com/new/1", "k-1", http.StatusNotFound},
		{"a key", "http://example.com/old/1", customerKey, http.StatusUnauthorized},
	} {
		t.Run(c.name+" that isn't declared is refused for good", func(t *testing.T) {
			is.New(t).Equal(lookUp(t, c.target, c.key, CurrencyConfirmed, 0), outcome{status: c.status})
		})
		t.Run(c.name+" of declarations that are arriving is awaited", func(t *testing.T) {
			i := is.New(t)
			key := c.key
			if key == "k-1" {
				key = customerKey // the later declarations have no other
			}
			o := lookUp(t, c.target, key, CurrencyArriving, 200*time.Millisecond)
			i.Equal(o.status, 0)
			i.True(o.took >= 200*time.Millisecond && o.took < 250*time.Millisecond)
		})
		t.Run(c.name+" is refused as not run if they don't arrive", func(t *testing.T) {
			i := is.New(t)
			o := lookUp(t, c.target, c.key, CurrencyArriving, 0)
			i.Equal(o.status, http.StatusServiceUnavailable)
			i.True(o.retryAfter != "")
			i.True(o.took <= maxDeclarationsWait+declarationsPollPeriod)
		})
		t.Run(c.name+" is refused as not run at once while the store is out of reach", func(t *testing.T) {
			i := is.New(t)
			o := lookUp(t, c.target, c.key, CurrencyUnconfirmed, 0)
			i.Equal(o.status, http.StatusServiceUnavailable)
			i.True(o.retryAfter != "")
			i.Equal(o.took, time.Duration(0))
		})
	}
	t.Run("a route that is declared is served on an outdated host", func(t *testing.T) {
		is.New(t).Equal(lookUp(t, "http://example.com/old/1", "k-1", CurrencyUnconfirmed, 0), outcome{})
	})
}
