package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// hedgeObjective is the objective of the test's route; hedges are sent after a
// fraction of it.
const hedgeObjective = 50 * time.Millisecond

// unreachableEndpoints implements Endpoints: all calls fail, without being sent,
// after hedges were due.
type unreachableEndpoints struct{}

func (unreachableEndpoints) Forward(context.Context, *registrar.Endpoint, *Call) (*exchanger.Response, error) {
	time.Sleep(2 * hedgeObjective)
	return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "endpoint is unreachable")
}

func (unreachableEndpoints) Refused(*exchanger.Response) bool { return false }

func (unreachableEndpoints) Load(*exchanger.Response) (placer.Load, bool) {
	return placer.Load{}, false
}

// plainDialect implements Dialect for requests without parameters.
type plainDialect struct{}

func (plainDialect) ParseRequest(http.Header) (RequestParameters, error) {
	return RequestParameters{ID: "q"}, nil
}
func (plainDialect) Strip(http.Header)                        {}
func (plainDialect) StripCustomer(http.Header)                {}
func (plainDialect) Signed(http.Header) bool                  { return true }
func (plainDialect) Identify(http.Header, identifier.Request) {}

// ignoredObservations implements Observer.
type ignoredObservations struct{}

func (ignoredObservations) Observe(*Observation) {}

// TestHedgeWithoutEndpoint checks that a hedge that found no endpoint doesn't turn
// the refusal of a request that has not run into a failure that promises nothing, and
// costs no token of the retry budget.
func TestHedgeWithoutEndpoint(t *testing.T) {
	i := is.New(t)
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, []*registrar.Route{{
		Name: "quotes", Host: "test.example", Prefix: "/", Kind: registrar.KindIdempotent,
		Attempts: 2, Objective: hedgeObjective, Splits: []registrar.Split{{Service: "desk"}},
	}}, []*registrar.Service{{Name: "desk"}}, registrar.Limits{}))
	registry.SetEndpoints([]*registrar.Endpoint{{Name: "only", Service: "desk"}})
	group := grouper.New(context.Background())
	budget := &fixedBudget{left: 10}
	f := New(Deps{
		Registry: registry, Endpoints: unreachableEndpoints{}, Dialect: plainDialect{}, Budget: budget,
		Placer: placer.New(placer.Options{}, 1), Observer: ignoredObservations{}, AwaitConfirmation: func(context.Context) {},
		Group: group, Log: zap.NewNop(),
	}, Options{})
	r := httptest.NewRequest(http.MethodGet, "/1", nil)
	r.Host = "test.example"
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	i.Equal(budget.returned, 1) // the hedge was due, and its token was returned
	i.Equal(budget.left, 10)
	i.Equal(w.Code, http.StatusServiceUnavailable)
	group.Stop()
	i.NoErr(group.Wait())
}
