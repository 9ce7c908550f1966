package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/timer"
)

// pipeNetwork connects hosts through net.Pipe. Unlike sockets, a blocked pipe
// lets the virtual time of testing/synctest advance.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[identifier.Address]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (a pipeAddress) Network() string { return "pipe" }
func (a pipeAddress) String() string  { return string(a) }

func (p *pipeNetwork) listen(address identifier.Address) net.Listener {
	l := &pipeListener{address: string(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l
}

func (p *pipeNetwork) dial(ctx context.Context, to identifier.Address) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[to]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// start starts a host with the default options.
func (p *pipeNetwork) start(i int, seeds ...identifier.Address) *process {
	address := identifier.Address(fmt.Sprintf("10.0.0.%d:7400", i))
	h := &process{group: grouper.New(context.Background())}
	h.self = gossiper.Member{
		Host:        identifier.Host(fmt.Sprintf("entry-%d", i)),
		Incarnation: identifier.NewIncarnation(),
		DataCenter:  "tw-north-1",
		Address:     address,
	}
	peer := messenger.Peer{Host: h.self.Host, Incarnation: h.self.Incarnation, DataCenter: h.self.DataCenter}
	m := messenger.New(peer, messenger.Options{Dial: p.dial}, h.group)
	h.Gossiper = gossiper.New(h.self, gossiper.Options{}, m, timer.New(h.group), h.group)
	m.Serve(p.listen(address))
	h.Seed(seeds)
	return h
}

// Bounds of the time that news may take to reach all hosts.
const (
	joinBound   = 5 * time.Second
	markBound   = 2 * time.Second
	detectBound = 8 * time.Second
)

// TestVirtualTime checks the bounds for joining, spreading a mark and detecting a
// failure, and that a restarted host learns the state of the others.
func TestVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeNetwork{listeners: map[identifier.Address]*pipeListener{}}
		var all []*process
		for i := range 5 {
			all = append(all, p.start(i, "10.0.0.0:7400"))
		}
		time.Sleep(joinBound)
		for _, h := range all {
			is.Equal(len(h.View().Live("tw-north-1")), 5)
		}

		all[3].MarkLeaving("engine-1", 4)
		time.Sleep(markBound)
		for _, h := range all {
			is.True(h.View().Leaving("engine-1"))
		}

		var calls atomic.Int64
		all[0].Subscribe(func(v *gossiper.View) { calls.Add(int64(len(v.Members()))) })
		all[4].stop()
		time.Sleep(detectBound)
		for _, h := range all[:4] {
			is.Equal(len(h.View().Live("tw-north-1")), 4)
			is.Equal(h.Stats().Died, uint64(1))
		}
		synctest.Wait()
		is.True(calls.Load() > 0)

		restarted := p.start(4, "10.0.0.1:7400")
		time.Sleep(joinBound)
		is.Equal(len(restarted.View().Live("tw-north-1")), 5)
		is.True(restarted.View().Leaving("engine-1"))
		n, ok := all[0].View().ByIncarnation(all[4].self.Incarnation)
		is.True(ok)
		is.Equal(n.State, gossiper.StateDead)
		for _, h := range append(all[:4], restarted) {
			h.stop()
		}
	})
}

// TestStaleSeeds checks that hosts join in time although nobody listens at most
// of their seed addresses, as after a restart of all other hosts on new ports.
func TestStaleSeeds(t *testing.T) {
	const stale = 12
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeNetwork{listeners: map[identifier.Address]*pipeListener{}}
		first := p.start(0)
		defer first.stop()
		seeds := []identifier.Address{first.self.Address}
		for i := range stale {
			seeds = append(seeds, identifier.Address(fmt.Sprintf("10.0.1.%d:7400", i)))
		}
		var joiners []*process
		for i := range 8 {
			h := p.start(i+1, seeds...)
			defer h.stop()
			joiners = append(joiners, h)
		}
		time.Sleep(joinBound)
		for _, h := range joiners {
			is.Equal(len(h.View().Live("tw-north-1")), len(joiners)+1)
		}
	})
}
