package emulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

func get(t *testing.T, p *Platform) (*platformwire.GetResponse, error) {
	t.Helper()
	r, err := p.Get(t.Context(), connect.NewRequest(&platformwire.GetRequest{Key: KeyDeclarations}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func watch(t *testing.T, p *Platform, after uint64, wait time.Duration) (*platformwire.WatchResponse, error) {
	t.Helper()
	r, err := p.Watch(t.Context(), connect.NewRequest(&platformwire.WatchRequest{
		Key: KeyDeclarations, AfterRevision: after, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func TestPlatformValues(t *testing.T) {
	t.Run("revisions increase and a stale service returns an older one", func(t *testing.T) {
		is := is.New(t)
		p := NewPlatform(PlatformSettings{})
		_, err := get(t, p)
		is.Equal(connect.CodeOf(err), connect.CodeNotFound)
		for _, text := range []string{"one", "two", "three"} {
			_, err = p.SetDeclarations([]byte(text))
			is.NoErr(err)
		}
		r, err := get(t, p)
		is.NoErr(err)
		is.Equal(string(r.GetValue()), "three")
		is.Equal(r.GetRevision(), uint64(3))
		p.SetMaxRevision(2)
		r, err = get(t, p)
		is.NoErr(err)
		is.Equal(string(r.GetValue()), "two")
		p.SetMaxRevision(0)
		r, err = get(t, p)
		is.NoErr(err)
		is.Equal(string(r.GetValue()), "three")
	})
	t.Run("a value has at most 1 MiB", func(t *testing.T) {
		is := is.New(t)
		p := NewPlatform(PlatformSettings{})
		_, err := p.SetDeclarations(make([]byte, MaxValueBytes))
		is.NoErr(err)
		_, err = p.SetDeclarations(make([]byte, MaxValueBytes+1))
		is.True(err != nil)
		r, err := get(t, p)
		is.NoErr(err)
		is.Equal(r.GetRevision(), uint64(1))
	})
	t.Run("reads above the rate are refused and counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := NewPlatform(PlatformSettings{ReadsPerSecond: 100})
			_, err := p.SetDeclarations([]byte("x"))
			is.NoErr(err)
			answered := 0
			for range 400 { // two seconds at twice the rate
				if _, err := get(t, p); err == nil {
					answered++
				} else {
					is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
				}
				time.Sleep(5 * time.Millisecond)
			}
			is.True(answered >= 200 && answered <= 211) // the rate plus one burst
			is.Equal(p.Calls(), PlatformCalls{Gets: 400, Refused: uint64(400 - answered)})
		})
	})
}

func TestPlatformWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPlatform(PlatformSettings{})
		start := time.Now()
		r, err := watch(t, p, 0, time.Minute)
		is.NoErr(err)
		is.True(!r.GetChanged())
		is.Equal(time.Since(start), time.Minute)
		time.AfterFunc(time.Second, func() { _, _ = p.SetDeclarations([]byte("x")) })
		r, err = watch(t, p, 0, time.Minute)
		is.NoErr(err)
		is.Equal(r.GetRevision(), uint64(1))
		is.Equal(time.Since(start), 61*time.Second)
		time.AfterFunc(time.Second, func() { p.SetDown(true) })
		_, err = watch(t, p, 1, time.Minute)
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
		is.Equal(time.Since(start), 62*time.Second)
		is.Equal(p.Calls().Watches, uint64(3)) // a long-polling watch counts as one call
		synctest.Wait()
	})
}

func TestHostListDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPlatform(PlatformSettings{HostLag: time.Minute})
		list := func() []*platformwire.Host {
			r, err := p.ListHosts(t.Context(), nil)
			is.NoErr(err)
			return r.Msg.GetHosts()
		}
		p.SetHost(&platformwire.Host{Name: "h1", State: platformwire.HostState_HOST_STATE_LIVE})
		is.Equal(len(list()), 0)
		time.Sleep(time.Minute)
		is.Equal(len(list()), 1)
		p.SetHost(&platformwire.Host{Name: "h1", State: platformwire.HostState_HOST_STATE_LEAVING})
		p.SetHost(&platformwire.Host{Name: "h2"})
		is.Equal(list()[0].GetState(), platformwire.HostState_HOST_STATE_LIVE)
		time.Sleep(time.Minute)
		is.Equal(list()[0].GetState(), platformwire.HostState_HOST_STATE_LEAVING)
		p.RemoveHost("h1")
		time.Sleep(time.Minute)
		is.Equal(len(list()), 1)
		is.Equal(list()[0].GetName(), "h2")
	})
}

func TestWeightFetchRate(t *testing.T) {
	is := is.New(t)
	g := grouper.New(t.Context())
	p := NewPlatform(PlatformSettings{WeightBytes: 256 << 10, WeightRate: 1 << 20})
	address, err := Serve(g.Context(), g, ephemeralAddress, p.Handler())
	is.NoErr(err)
	client := NewHTTPClient()
	start := time.Now()
	is.NoErr(NewWeightSource(client, address).Fetch(t.Context(), "notes", "1"))
	is.True(time.Since(start) >= 180*time.Millisecond) // three blocks of 64 KiB after the first
	is.Equal(p.Calls().WeightFetches, uint64(1))
	client.CloseIdleConnections()
	g.Stop()
	is.NoErr(g.Wait())
}

func TestPlain(t *testing.T) {
	invoke := func(p *Plain) (*enginewire.InvokeResponse, error) {
		return p.InvokeDirect(t.Context(), &enginewire.InvokeRequest{Service: "lock", Key: "k", Payload: []byte("30 t")})
	}
	t.Run("records what it runs", func(t *testing.T) {
		is := is.New(t)
		p := NewPlain(PlainSettings{})
		r, err := invoke(p)
		is.NoErr(err)
		is.Equal(r.GetPayload(), Confirmation("lock", []byte("30 t")))
		is.Equal(len(p.RecordedExecutions()), 1)
		is.Equal(p.RecordedExecutions()[0].Key, "k")
	})
	for _, c := range []struct {
		name     string
		faults   PlainFaults
		leaving  bool
		refusal  Refusal
		executed int
	}{
		{"a refusal", PlainFaults{Refuse: 1}, false, RefusalSlotsFull, 0},
		{"leaving", PlainFaults{}, true, RefusalLeaving, 0},
		{"a reset before", PlainFaults{ResetBefore: 1}, false, "", 0},
		{"a reset after", PlainFaults{ResetAfter: 1}, false, "", 1},
	} {
		t.Run(c.name+" is distinguished by the execution record", func(t *testing.T) {
			is := is.New(t)
			p := NewPlain(PlainSettings{Leaving: c.leaving})
			p.SetFaults(c.faults)
			_, err := invoke(p)
			is.True(err != nil)
			is.Equal(RefusalOf(err), c.refusal)
			is.Equal(len(p.RecordedExecutions()), c.executed)
		})
	}
	t.Run("a reset cuts the connection without a detail", func(t *testing.T) {
		is := is.New(t)
		g := grouper.New(t.Context())
		p := NewPlain(PlainSettings{})
		p.SetFaults(PlainFaults{ResetAfter: 1})
		address, err := Serve(g.Context(), g, ephemeralAddress, p.Handler())
		is.NoErr(err)
		client := NewHTTPClient()
		_, err = enginewireconnect.NewPlainServiceClient(client, "http://"+string(address)).Invoke(t.Context(), connect.NewRequest(&enginewire.InvokeRequest{}))
		is.True(err != nil)
		is.Equal(RefusalOf(err), Refusal(""))
		client.CloseIdleConnections()
		g.Stop()
		is.NoErr(g.Wait())
	})
	t.Run("calls above the bound are refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := NewPlain(PlainSettings{Concurrency: 1, Latency: time.Second})
			g := grouper.New(t.Context())
			g.Go(func(context.Context) error {
				_, err := p.InvokeDirect(t.Context(), &enginewire.InvokeRequest{})
				return err
			})
			synctest.Wait()
			_, err := p.InvokeDirect(t.Context(), &enginewire.InvokeRequest{})
			is.Equal(RefusalOf(err), RefusalSlotsFull)
			is.NoErr(g.Wait())
			_, err = p.InvokeDirect(t.Context(), &enginewire.InvokeRequest{})
			is.NoErr(err)
		})
	})
}
