package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// headerRefused marks an endpoint's response that states that it has not run the request, and
// headerEndpoint all others.
const (
	headerRefused  = "X-Refused"
	headerEndpoint = "X-Endpoint"
)

// promises are the statuses that state "not run".
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// trial is a request whose endpoints behave at random.
type trial struct {
	mu     sync.Mutex // guards random and budget
	random *rand.Rand
	budget fixedBudget
	// runs is the number of runs that the endpoints have begun.
	runs  atomic.Int64
	route *registrar.Route
	// cancelAfter is when the host ends the request, as at the end of a planned stop; 0 for never.
	cancelAfter time.Duration
	// moves is set if the request is a stream that is probably moved.
	moves bool
}

func newTrial(seed uint64) *trial {
	o := &trial{random: rand.New(rand.NewPCG(seed, 1))}
	kinds := []registrar.Kind{registrar.KindUnrepeatable, registrar.KindIdempotent, registrar.KindStream, registrar.KindStream}
	o.budget.left = o.draw(4)
	o.route = &registrar.Route{
		Name: "r", Host: "test.example", Prefix: "/", Kind: kinds[o.draw(len(kinds))], Resumable: o.draw(2) == 0,
		Attempts: 1 + o.draw(4), Objective: hedgeObjective, Splits: []registrar.Split{{Service: "desk"}},
		Timeout: []time.Duration{120 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond}[o.draw(3)],
	}
	if o.draw(4) == 0 {
		o.moves = true
		o.route.Kind, o.route.Resumable, o.route.Timeout = registrar.KindStream, true, 2500*time.Millisecond
		o.budget.left++
	}
	if o.draw(3) == 0 {
		o.cancelAfter = time.Duration(o.draw(300)) * time.Millisecond
	}
	return o
}

// draw returns a random number in [0, n).
func (o *trial) draw(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.IntN(n)
}

func (o *trial) RecordFirstAttempt(identifier.Service) {}

func (o *trial) Take(s identifier.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.Take(s)
}

func (o *trial) Return(s identifier.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.Return(s)
}

// randomEndpoints calls HTTP servers, and fails some calls before or after they are sent.
type randomEndpoints struct {
	httpEngines
	trial *trial
}

func (r randomEndpoints) Forward(ctx context.Context, e *registrar.Endpoint, c *Call) (*exchanger.Response, error) {
	return r.Decode(ctx, e, c, DecodeOptions{})
}

func (r randomEndpoints) Decode(ctx context.Context, e *registrar.Endpoint, c *Call, o DecodeOptions) (*exchanger.Response, error) {
	if r.trial.draw(8) == 0 {
		return nil, classifier.NotRun(classifier.ReasonEndpointExcluded, 0, "excluded")
	}
	return r.httpEngines.Decode(ctx, e, c, o)
}

func (r randomEndpoints) Prefill(context.Context, *registrar.Endpoint, *Call) (PrefillResult, error) {
	time.Sleep([]time.Duration{0, 0, 100 * time.Millisecond}[r.trial.draw(3)])
	reasons := []classifier.Reason{"", "", classifier.ReasonEndpointRefused, classifier.ReasonEndpointFailed, classifier.ReasonHostUnreachable, classifier.ReasonQuarantined}
	if reason := reasons[r.trial.draw(len(reasons))]; reason != "" {
		return PrefillResult{}, classifier.NotRun(reason, 0, "prefill failed")
	}
	return PrefillResult{Handle: "h"}, nil
}

func (randomEndpoints) Refused(r *exchanger.Response) bool { return r.Header.Get(headerRefused) != "" }

// ServeHTTP is an endpoint that refuses the request, or runs it and ends in a random way.
func (o *trial) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Hedges may be sent meanwhile, and moves seem to be accepted.
	time.Sleep([]time.Duration{0, 0, 60 * time.Millisecond, moveOverlap + 50*time.Millisecond}[o.draw(4)])
	if o.draw(2) == 0 {
		w.Header().Set(headerRefused, "1")
		w.WriteHeader(promises[o.draw(len(promises))])
		return
	}
	o.runs.Add(1)
	w.Header().Set(headerEndpoint, "1")
	outcomes := 9
	if o.moves {
		outcomes = 4
	}
	switch o.draw(outcomes) {
	case 0, 1: // silent until its deadline, or until it is moved
		o.stall(r, 3*time.Second)
	case 2: // silent, and lost while it is about to be moved
		o.stall(r, time.Duration(firstEventFraction*float64(minEventTimeout))+50*time.Millisecond)
		panic(http.ErrAbortHandler)
	case 3:
		w.WriteHeader(append([]int{http.StatusNotFound, http.StatusInternalServerError}, promises...)[o.draw(2+len(promises))])
	case 4:
		panic(http.ErrAbortHandler)
	case 5:
		sendsRaw("HTTP/1.1 200 OK\r\nContent-Type: text/ev", endsWithReset)(w, r)
	case 6:
		header, encoded := frame(exchanger.FramingChunks, wholeStream)
		sendsRaw(header+encoded[:o.draw(len(encoded))], endsWithClose)(w, r)
	case 7: // more than this host has memory for
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, strings.Repeat("x", 200<<10)) // the host may have disconnected
	default:
		resumes(w, r)
	}
}

// stall waits for a time, or until the host disconnects.
func (o *trial) stall(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

// start starts a host in front of the trial's endpoints, and returns its address and a function
// that waits for all of their goroutines.
func (o *trial) start(t *testing.T) (url string, wait func()) {
	t.Helper()
	var all []*registrar.Endpoint
	var servers []*httptest.Server
	for n := range 1 + o.draw(3) {
		s := httptest.NewServer(o)
		servers = append(servers, s)
		e := &registrar.Endpoint{Name: identifier.Endpoint(fmt.Sprint("e", n)), Service: "desk", Address: identifier.Address(s.Listener.Addr().String())}
		if o.draw(6) == 0 {
			e.Address = "127.0.0.1:1" // refuses connections
		}
		all = append(all, e)
	}
	decoding := firstFree(slices.Clone(all))
	if o.draw(2) == 0 {
		all = append(all, &registrar.Endpoint{Name: "p", Service: "desk", Stage: registrar.StagePrefill})
	}
	service := &registrar.Service{Name: "desk"}
	if o.draw(4) > 0 && o.route.Kind == registrar.KindStream {
		service.Engine = &registrar.EngineConfig{}
	} else {
		all = all[:len(decoding)]
	}
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, []*registrar.Route{o.route}, []*registrar.Service{service}, registrar.Limits{}))
	registry.SetEndpoints(all)
	group := grouper.New(context.Background())
	x := exchanger.New(exchanger.Options{})
	x.ShareMemory(budgeter.New(budgeter.Options{Limit: 100 << 10}))
	endpoints := randomEndpoints{httpEngines{x}, o}
	f := New(Deps{
		Registry: registry, Endpoints: endpoints, Engines: endpoints, Reservations: decoding, Dialect: plainDialect{},
		Budget: o, Placer: placer.New(placer.Options{}, 1), Observer: ignoredObservations{},
		AwaitConfirmation: func(context.Context) {}, Group: group, Log: zap.NewNop(),
	}, Options{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		if o.cancelAfter > 0 {
			defer time.AfterFunc(o.cancelAfter, func() { cancel(errors.New("the host stops")) }).Stop()
		}
		f.ServeHTTP(w, r.WithContext(ctx))
	}))
	return host.URL, func() {
		host.Close()
		group.Stop()
		_ = group.Wait() // its functions return no error
		for _, s := range servers {
			s.Close()
		}
	}
}

// run sends the request, and returns the response's status, 0 without one, and whether it is
// this host's own.
func (o *trial) run(t *testing.T) (status int, own bool) {
	t.Helper()
	i := is.New(t)
	url, wait := o.start(t)
	defer wait()
	transport := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/1", nil)
	i.NoErr(err)
	r.Host = "test.example"
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // the response may have been broken off
	return response.StatusCode, response.Header.Get(headerEndpoint) == ""
}

// trialsPerTest is the number of random trials of TestPromisesOfStatuses.
const trialsPerTest = 160

// TestPromisesOfStatuses guards against requests that were answered with a status that states "not
// run" and have run, or run later: attempts, hedges, moved streams, deadlines, the end of a
// planned stop, short memory and endpoints that fail in many ways, at random.
func TestPromisesOfStatuses(t *testing.T) {
	for seed := range uint64(trialsPerTest) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			o := newTrial(seed)
			status, own := o.run(t)
			runs := o.runs.Load()
			t.Logf("kind %v, status %d, own %v, %d runs", o.route.Kind, status, own, runs)
			if slices.Contains(promises, status) && (own || !o.route.Repeatable()) {
				i.Equal(runs, int64(0))
			}
			if !o.route.Repeatable() {
				i.True(runs <= 1)
			}
		})
	}
}
