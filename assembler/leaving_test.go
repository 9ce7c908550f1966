package assembler_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

// leavingBound is how soon an endpoint that leaves gets no new work, and one
// that was taken back gets some.
const leavingBound = 5 * time.Second

// TestLeavingAndBack declares all engines of a service as leaving, and takes
// them back in the next revision.
func TestLeavingAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := startMemory(t, 2)
		defer s.Close()
		i.NoErr(askQuote(t, s))

		leaving := bytes.ReplaceAll(s.Fleet.Source, []byte("service = 'dealer-desk'\n"), []byte("service = 'dealer-desk'\nleaving = true\n"))
		i.NoErr(s.Publish(leaving))
		time.Sleep(leavingBound)
		f := classifier.Of(askQuote(t, s))
		i.True(f != nil)
		i.Equal(f.Verdict, classifier.VerdictNotRun)
		i.Equal(f.Reason, classifier.ReasonNoEndpoint)
		i.True(f.RetryAfter > 0)

		i.NoErr(s.Publish(s.Fleet.Source))
		time.Sleep(leavingBound)
		i.NoErr(askQuote(t, s))
	})
}

func askQuote(t *testing.T, s *assembler.System) error {
	i := is.New(t)
	h := s.HTTPClient()
	defer h.CloseIdleConnections()
	c, err := client.New(client.Options{
		Addresses: []string{"http://" + string(s.Callers()[0])}, HTTPClient: h, Customer: "taoyuan-dealers", Seed: 1,
	})
	i.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = c.Generate(ctx, client.Request{Service: "dealer-desk", Prompt: "copper?", MaxTokens: 8}, func(client.Chunk) error { return nil })
	return err
}

// leavingEndpoint takes a third of the quotes until it leaves.
const leavingEndpoint identifier.Endpoint = "desk-1"

// TestNoWorkForLeaving has an engine leave, by each source of such news, while
// quotes come to all hosts, and checks when it admitted work last.
func TestNoWorkForLeaving(t *testing.T) {
	sources := map[string]func(t *testing.T, s *assembler.System){
		"an operator at a host of another data center": func(t *testing.T, s *assembler.System) {
			is.New(t).NoErr(s.Host("tw-north-3-a").DrainEndpoint(leavingEndpoint))
		},
		"the platform's host list": func(_ *testing.T, s *assembler.System) {
			entry := emulator.EndpointHost(s.Fleet.Endpoints[leavingEndpoint], s.Site.Addresses()[leavingEndpoint])
			entry.State = platformwire.HostState_HOST_STATE_LEAVING
			s.Site.Platform.SetHost(entry)
		},
		"an operator while the platform is down": func(t *testing.T, s *assembler.System) {
			s.Site.Platform.SetDown(true)
			is.New(t).NoErr(s.Host("tw-north-2-b").DrainEndpoint(leavingEndpoint))
		},
	}
	for name, leave := range sources {
		t.Run("told by "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { leavesUnderLoad(t, leave) })
		})
	}
}

func leavesUnderLoad(t *testing.T, leave func(*testing.T, *assembler.System)) {
	const (
		before = 8 * time.Second
		span   = 25 * time.Second
	)
	i := is.New(t)
	s := startMemory(t, 2)
	defer s.Close()
	var left time.Time
	g := grouper.New(t.Context())
	g.Run(func(context.Context) {
		time.Sleep(before)
		left = time.Now()
		leave(t, s)
	})
	quote(t, s, 12, span)
	i.NoErr(g.Wait())
	var offered []checker.Admission
	for _, a := range s.Site.Engine(leavingEndpoint).Admissions() {
		offered = append(offered, checker.Admission{Endpoint: leavingEndpoint, At: a.At})
	}
	i.True(len(offered) > 0 && offered[0].At.Before(left)) // it had work before
	violations := checker.CheckLeaving(offered, []checker.Leave{{Endpoint: leavingEndpoint, At: left}}, leavingBound)
	t.Logf("%d admissions, the last %s after it left", len(offered), offered[len(offered)-1].At.Sub(left))
	i.Equal(len(violations), 0)
}
