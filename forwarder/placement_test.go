package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// refusedPlacements refuses all requests and keeps them.
type refusedPlacements struct {
	firstFree
	requests *[]reserver.PlacementRequest
}

func (r refusedPlacements) Place(_ context.Context, w reserver.PlacementRequest) (reserver.Plan, error) {
	*r.requests = append(*r.requests, w)
	return reserver.Plan{}, classifier.NotRun(classifier.ReasonQueueFull, 0, "no room")
}

func TestQueueEntry(t *testing.T) {
	var requests []reserver.PlacementRequest
	f := newEngineForwarder(t, zap.NewNop(), func(http.ResponseWriter, *http.Request) {})
	f.deps.Reservations = refusedPlacements{requests: &requests}
	send := func(body string) reserver.PlacementRequest {
		r := httptest.NewRequest(http.MethodPost, "http://test.example/", strings.NewReader(body))
		f.ServeHTTP(httptest.NewRecorder(), r)
		is.New(t).True(len(requests) > 0)
		return requests[len(requests)-1]
	}
	first, again, other := send("a"), send("a"), send("b")
	t.Run("repeats of a request by its caller have one fingerprint", func(t *testing.T) {
		i := is.New(t)
		i.True(first.Fingerprint != 0)
		i.Equal(first.Fingerprint, again.Fingerprint)
		i.True(first.Fingerprint != other.Fingerprint)
	})
	t.Run("a new request has spent nothing", func(t *testing.T) {
		is.New(t).True(first.Spent == 0)
	})
}
