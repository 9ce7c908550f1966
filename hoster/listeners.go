package hoster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/distributor"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

const (
	// requestHeadTimeout bounds the time to read the headers of a request for
	// readiness or metrics.
	requestHeadTimeout = 10 * time.Second
	// defaultHeaderBytes bounds the size of a request's headers; the limits of
	// declarations are lower.
	defaultHeaderBytes = 64 << 10
	// operatorsHeadBytes bounds the size of the headers of a request for readiness or
	// metrics.
	operatorsHeadBytes = 4 << 10
)

// listeners are the host's open listeners; metrics may be nil.
type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

// listen opens all listeners or none.
func (h *Host) listen(ctx context.Context) (*listeners, error) {
	l := &listeners{}
	var opened []net.Listener
	for _, open := range []struct {
		address identifier.Address
		target  *net.Listener
	}{
		{h.settings.Listeners.Peers, &l.peers},
		{h.settings.Listeners.Readiness, &l.readiness},
		{h.settings.Listeners.Callers, &l.callers},
		{h.settings.Listeners.Metrics, &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		ln, err := socket.Listen(ctx, string(open.address))
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return nil, eris.Wrapf(err, "host %q could not listen", h.settings.Host)
		}
		*open.target = ln
		opened = append(opened, ln)
	}
	return l, nil
}

func addressOf(ln net.Listener) identifier.Address {
	if ln == nil {
		return ""
	}
	return identifier.Address(ln.Addr().String())
}

// serve starts the listener for peers first, so that peers can be queried while
// this host has no data yet.
func (h *Host) serve(l *listeners) {
	h.startReplicator()
	h.messenger.Serve(l.peers)
	h.timer.Every(budgetTick, h.budgets.tick)
	h.timer.Every(sweepPeriod, h.sweep)
	h.timer.Every(avoidedProbePeriod, h.probeAvoided)
	h.watchSuspension()
	h.serveCallers(l.callers)
	h.serveOperators(l.readiness, http.HandlerFunc(h.serveReadiness))
	if l.metrics != nil {
		h.serveOperators(l.metrics, h.metrics)
	}
}

// startReplicator replicates the store, and answers peers that ask for its changes.
func (h *Host) startReplicator() {
	h.distributor = distributor.New(distributor.Deps{
		Self:       h.incarnation,
		DataCenter: h.settings.DataCenter,
		TreeKey:    readersKey,
		Members:    h.gossiper,
		Links:      h.messenger,
		Log:        h.log,
	})
	h.distributor.Register(h.messenger)
	p := &peers{
		links: h.messenger, members: h.gossiper, values: h.distributor,
		self: h.incarnation, dataCenter: h.settings.DataCenter,
	}
	p.answer = func(ctx context.Context, after identifier.Position, wait time.Duration) replicator.ChangeSet {
		return h.replicator.Load().WaitForChanges(ctx, after, wait)
	}
	h.messenger.Handle(peerwire.KindChanges, p.handleChanges)
	o := replicator.DefaultOptions()
	o.MaxLogBytes = h.settings.Limits.MaxStoreLog()
	r := replicator.Start(replicator.Deps{
		Store:      h.deps.Platform,
		Peers:      p,
		ReadsStore: p.ReadsStore,
		OnChange:   h.applyItems,
		Permanent: func(known, restored replicator.Item) bool {
			return isFinal(h.deps.Platform.Read, known, restored)
		},
		Values: h.distributor,
		Timer:  h.timer,
		Group:  h.group,
		Log:    h.log,
	}, o)
	h.replicator.Store(r)
}

// serveCallers serves callers on ln, with the account of memory for requests.
func (h *Host) serveCallers(ln net.Listener) {
	h.acceptor = acceptor.New(ln, h.observeClosing)
	h.acceptor.Bound(acceptor.Bounds{
		Memory:      h.memory,
		Connections: h.settings.Limits.maxConnections(),
		HeadBytes:   defaultHeaderBytes,
	})
	h.sweepConnections(time.Now())
	h.timer.Every(sweepConnectionsPeriod, h.sweepConnections)
	h.callers = &http.Server{
		Handler:        h.acceptor.Handler(h.forwarder),
		MaxHeaderBytes: defaultHeaderBytes,
		ConnContext:    h.acceptor.Context,
		ConnState:      h.acceptor.ObserveState,
		ErrorLog:       zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	h.serveListener(h.acceptor, h.callers)
}

// serveOperators serves readiness or metrics on ln, with bounds of its own.
func (h *Host) serveOperators(ln net.Listener, handler http.Handler) {
	a := acceptor.New(ln, h.observeClosing)
	a.Bound(acceptor.Bounds{Connections: h.settings.Limits.maxOperators(), HeadBytes: operatorsHeadBytes})
	sweep := func(now time.Time) {
		a.Sweep(now, acceptor.Limits{Idle: defaultIdleTimeout, Header: requestHeadTimeout})
	}
	sweep(time.Now())
	h.timer.Every(sweepConnectionsPeriod, sweep)
	h.serveListener(a, &http.Server{Handler: a.Handler(handler), ConnContext: a.Context, ConnState: a.ObserveState})
}

// serveListener runs an HTTP server on ln until the group ends.
func (h *Host) serveListener(ln net.Listener, s *http.Server) {
	h.group.Run(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.log.Error("listener-failed", zap.String("address", ln.Addr().String()), zap.Error(err))
		}
	})
}

// serveReadiness tells the load balancer whether to send new connections.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
