package gossiper_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/timer"
)

// process is a gossiper with its own messenger and group.
type process struct {
	*gossiper.Gossiper
	self      gossiper.Member
	group     *grouper.Group
	sentBytes func() uint64
}

// fastOptions has short periods, to keep the test short.
var fastOptions = gossiper.Options{
	Tick:             10 * time.Millisecond,
	ProbePeriod:      50 * time.Millisecond,
	ProbeTimeout:     100 * time.Millisecond,
	SuspicionTimeout: 200 * time.Millisecond,
	SeedPeriod:       100 * time.Millisecond,
}

func startProcess(t testing.TB, name identifier.Host, o gossiper.Options, seeds ...identifier.Address) *process {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{group: grouper.New(context.Background())}
	p.self = gossiper.Member{
		Host:        name,
		Incarnation: identifier.NewIncarnation(),
		DataCenter:  "tw-north-1",
		Address:     identifier.Address(ln.Addr().String()),
	}
	peer := messenger.Peer{Host: name, Incarnation: p.self.Incarnation, DataCenter: p.self.DataCenter}
	m := messenger.New(peer, messenger.Options{}, p.group)
	p.sentBytes = m.SentBytes
	p.Gossiper = gossiper.New(p.self, o, m, timer.New(p.group), p.group)
	m.Serve(ln)
	p.Seed(seeds)
	t.Cleanup(p.stop)
	return p
}

func (p *process) stop() {
	p.group.Stop()
	_ = p.group.Wait()
}

// eventually waits until the condition holds, and fails the test after 20 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func hasLive(p *process, count int) func() bool {
	return func() bool { return len(p.View().Live("tw-north-1")) == count }
}

func TestGossiper(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("distributes joins, marks, payloads, planned stops and failures", func(t *testing.T) {
		is := is.New(t)
		var all []*process
		var seed []identifier.Address
		for i := range 4 {
			p := startProcess(t, identifier.Host(fmt.Sprintf("entry-%d", i)), fastOptions, seed...)
			seed = []identifier.Address{p.self.Address}
			all = append(all, p)
		}
		for _, p := range all {
			eventually(t, "four live", hasLive(p, 4))
		}
		all[0].MarkLeaving("engine-1", 7)
		is.True(all[0].View().Leaving("engine-1"))
		all[1].Publish(gossiper.Payload{Revision: 7, Readiness: gossiper.ReadinessReady, Digest: []byte("load")})
		for _, p := range all {
			eventually(t, "mark", func() bool { return p.View().Leaving("engine-1") })
			eventually(t, "payload", func() bool {
				n, _ := p.View().ByHost("entry-1")
				return n.Revision == 7 && string(n.Digest) == "load"
			})
		}
		all[1].Leave(t.Context())
		eventually(t, "three live", hasLive(all[0], 3))
		all[2].stop()
		eventually(t, "two live", hasLive(all[0], 2))
		eventually(t, "dead", func() bool {
			n, ok := all[0].View().ByIncarnation(all[2].self.Incarnation)
			return ok && n.State == gossiper.StateDead
		})
	})
}

// BenchmarkHosts measures the processor time and the sent bytes per host and
// second. The hosts have the default options, run over loopback, and publish one
// digest per second.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{9, 50} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var all []*process
			for i := range hosts {
				seeds := []identifier.Address{}
				if i > 0 {
					seeds = append(seeds, all[0].self.Address)
				}
				all = append(all, startProcess(b, identifier.Host(fmt.Sprintf("entry-%d", i)), gossiper.Options{}, seeds...))
			}
			for _, p := range all {
				p.Publish(gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady})
			}
			time.Sleep(20 * time.Second) // until the news of the start-up has spread
			for b.Loop() {
				benchmarkHosts(b, all)
			}
		})
	}
}

func benchmarkHosts(b *testing.B, all []*process) {
	const seconds = 10
	startCPU, startBytes := cpuTime(b), totalSentBytes(all)
	for i := range seconds {
		for _, p := range all {
			p.Publish(gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady, Digest: fmt.Appendf(nil, "%40d", i)})
		}
		time.Sleep(time.Second)
	}
	perHost := float64(seconds * len(all))
	b.ReportMetric(float64((cpuTime(b)-startCPU).Microseconds())/perHost, "us-processor/s/host")
	b.ReportMetric(float64(totalSentBytes(all)-startBytes)/perHost, "sent-bytes/s/host")
}

func totalSentBytes(all []*process) (sum uint64) {
	for _, p := range all {
		sum += p.sentBytes()
	}
	return sum
}

// cpuTime returns the user and system time used by this process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
