package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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
	"github.com/jackdawthread/jackdawthread/reserver"
)

// httpEngines calls engines that are plain HTTP servers.
type httpEngines struct{ *exchanger.Exchanger }

func (h httpEngines) Forward(ctx context.Context, e *registrar.Endpoint, c *Call) (*exchanger.Response, error) {
	return h.Decode(ctx, e, c, DecodeOptions{})
}

func (h httpEngines) Decode(ctx context.Context, e *registrar.Endpoint, c *Call, o DecodeOptions) (*exchanger.Response, error) {
	header := http.Header{}
	if o.LastEvent != "" {
		header.Set("Last-Event-Id", o.LastEvent)
	}
	return h.Send(ctx, e.Address, &exchanger.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: header})
}

func (httpEngines) Prefill(context.Context, *registrar.Endpoint, *Call) (PrefillResult, error) {
	return PrefillResult{}, nil
}
func (httpEngines) Discard(context.Context, *registrar.Endpoint, PrefillResult) error { return nil }
func (httpEngines) Refused(*exchanger.Response) bool                                  { return false }

func (httpEngines) Load(*exchanger.Response) (placer.Load, bool) { return placer.Load{}, false }

// firstFree places requests at the first engine that they don't exclude.
type firstFree []*registrar.Endpoint

func (f firstFree) Place(_ context.Context, w reserver.PlacementRequest) (reserver.Plan, error) {
	for _, e := range f {
		if !slices.Contains(w.Exclude, e.Name) {
			return reserver.Plan{Decode: e}, nil
		}
	}
	return reserver.Plan{}, classifier.NotRun(classifier.ReasonQueueFull, 0, "no engine is left")
}
func (firstFree) RecordPrefillOutcome(reserver.Plan, placer.Outcome) {}
func (firstFree) RecordOutcome(reserver.Plan, placer.Outcome)        {}
func (firstFree) Release(reserver.Plan)                              {}
func (firstFree) Cancel(reserver.Plan)                               {}

// unlimitedBudget is a retry budget that allows every call.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordFirstAttempt(identifier.Service) {}
func (unlimitedBudget) Take(identifier.Service) bool          { return true }
func (unlimitedBudget) Return(identifier.Service)             {}

// newEngineForwarder returns a Forwarder whose requests run at the first engine, with
// the other engines as replacements.
func newEngineForwarder(t *testing.T, log *zap.Logger, engines ...http.HandlerFunc) *Forwarder {
	t.Helper()
	var all []*registrar.Endpoint
	for n, h := range engines {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		address := identifier.Address(strings.TrimPrefix(s.URL, "http://"))
		all = append(all, &registrar.Endpoint{Name: identifier.Endpoint(string(rune('a' + n))), Service: "notes", Address: address})
	}
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, []*registrar.Route{{
		Name: "notes", Host: "test.example", Prefix: "/", Kind: registrar.KindStream, Resumable: true,
		Attempts: 2, Splits: []registrar.Split{{Service: "notes"}},
	}}, []*registrar.Service{{Name: "notes", Engine: &registrar.EngineConfig{}}}, registrar.Limits{}))
	registry.SetEndpoints(all)
	group := grouper.New(context.Background())
	client := httpEngines{exchanger.New(exchanger.Options{})}
	f := New(Deps{
		Registry: registry, Endpoints: client, Engines: client, Reservations: firstFree(all), Dialect: plainDialect{},
		Budget: unlimitedBudget{}, Placer: placer.New(placer.Options{}, 1), Observer: ignoredObservations{},
		AwaitConfirmation: func(context.Context) {}, Group: group, Log: log,
	}, Options{})
	t.Cleanup(func() {
		group.Stop()
		_ = group.Wait() // its functions return no error
	})
	return f
}

// startEngines starts a host in front of the engines, and returns its address.
func startEngines(t *testing.T, log *zap.Logger, engines ...http.HandlerFunc) string {
	t.Helper()
	host := httptest.NewServer(newEngineForwarder(t, log, engines...))
	t.Cleanup(host.Close)
	return host.URL
}

// get returns the body of the host's response.
func get(ctx context.Context, t *testing.T, url string) io.ReadCloser {
	t.Helper()
	i := is.New(t)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/1", nil)
	i.NoErr(err)
	r.Host = "test.example"
	response, err := http.DefaultClient.Do(r)
	i.NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response.Body
}

// sends returns an engine that sends the parts of a stream with a pause between them.
func sends(pause time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n, p := range parts {
			if n > 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(w, p) // the host may have disconnected
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func fails(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

const (
	firstEvent = "id: 1\ndata: first\n\n"
	lastEvent  = "id: 2\ndata: last\n\n"
	// silence is longer than the time after which a replacement is prepared.
	silence = minStallTimeout + 300*time.Millisecond
)
