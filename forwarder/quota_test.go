package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// fixedQuotas is a quota of a number of units.
type fixedQuotas struct{ left float64 }

func (q *fixedQuotas) Charge(_ context.Context, _ *authenticator.Customer, cost float64) (time.Duration, bool) {
	if cost > q.left {
		return 1500 * time.Millisecond, false
	}
	q.left -= cost
	return 0, true
}

func (q *fixedQuotas) Refund(_ *authenticator.Customer, cost float64) { q.left += cost }

// slowQuotas refuse when the context ends.
type slowQuotas struct {
	fixedQuotas
	hadDeadline bool
}

func (q *slowQuotas) Charge(ctx context.Context, _ *authenticator.Customer, _ float64) (time.Duration, bool) {
	if _, q.hadDeadline = ctx.Deadline(); q.hadDeadline {
		<-ctx.Done()
	}
	return 0, false
}

func TestQuota(t *testing.T) {
	customer := &authenticator.Customer{Name: "harbour-yard", Quota: authenticator.Quota{Unit: authenticator.UnitTokens, Rate: 100, Burst: 100}}
	newExchange := func(q Quotas, c *authenticator.Customer) (*exchange, *httptest.ResponseRecorder) {
		w := httptest.NewRecorder()
		e := &exchange{forwarder: &Forwarder{deps: Deps{Quotas: q, Dialect: plainDialect{}}}, writer: w, observation: &Observation{}}
		e.call.Customer = c
		e.request = httptest.NewRequest(http.MethodGet, "/", nil)
		e.call.Prompt, e.call.MaxOutput = 50, 10
		return e, w
	}
	t.Run("a request over the limit gets 429 and the time at which it conforms", func(t *testing.T) {
		is := is.New(t)
		e, w := newExchange(&fixedQuotas{left: 59}, customer)
		err := e.chargeQuota(t.Context())
		is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		e.fail(err)
		is.Equal(w.Code, http.StatusTooManyRequests)
		is.Equal(w.Header().Get("Retry-After"), "1.500")
	})
	t.Run("a request that did not run is refunded once", func(t *testing.T) {
		is := is.New(t)
		q := &fixedQuotas{left: 60}
		e, w := newExchange(q, customer)
		is.NoErr(e.chargeQuota(t.Context()))
		is.Equal(q.left, 0.0)
		e.fail(classifier.NotRun(classifier.ReasonNoEndpoint, 0, "none"))
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(q.left, 60.0)
		e.refundQuota()
		is.Equal(q.left, 60.0)
	})
	t.Run("a request that may have run isn't refunded", func(t *testing.T) {
		is := is.New(t)
		q := &fixedQuotas{left: 60}
		e, _ := newExchange(q, customer)
		is.NoErr(e.chargeQuota(t.Context()))
		e.fail(classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "broken off"))
		is.Equal(q.left, 0.0)
	})
	t.Run("an earlier attempt that may have run isn't refunded", func(t *testing.T) {
		is := is.New(t)
		q := &fixedQuotas{left: 60}
		e, _ := newExchange(q, customer)
		is.NoErr(e.chargeQuota(t.Context()))
		e.mayHaveRun = true
		e.fail(classifier.NotRun(classifier.ReasonNoEndpoint, 0, "none"))
		is.Equal(q.left, 0.0)
	})
	t.Run("the charge ends with the request's deadline", func(t *testing.T) {
		is := is.New(t)
		q := &slowQuotas{}
		e, w := newExchange(q, customer)
		e.call.Deadline = time.Now().Add(time.Millisecond)
		e.serve()
		is.True(q.hadDeadline)
		is.True(w.Code != http.StatusTooManyRequests)
	})
	t.Run("nothing is charged without quotas, a customer or a limit", func(t *testing.T) {
		is := is.New(t)
		q := &fixedQuotas{}
		for _, e := range []*exchange{
			first(newExchange(nil, customer)), first(newExchange(q, nil)), first(newExchange(q, &authenticator.Customer{Name: "free"})),
		} {
			is.NoErr(e.chargeQuota(t.Context()))
		}
	})
}

func first(e *exchange, _ *httptest.ResponseRecorder) *exchange { return e }
