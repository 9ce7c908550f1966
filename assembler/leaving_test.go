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

// leavingTimeout bounds the time until a leaving endpoint gets no new work, and
// until an endpoint that returns gets work again.
const leavingTimeout = 5 * time.Second

// TestLeavingAndReturning declares all engines of a service as leaving and reverts
// that in the next revision.
func TestLeavingAndReturning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := startOnMemoryNetwork(t, 2)
		defer s.Close()
		i.NoErr(requestQuote(t, s))

		leaving := bytes.ReplaceAll(s.Fleet.Source, []byte("service = 'dealer-desk'\n"), []byte("service = 'dealer-desk'\nleaving = true\n"))
		i.NoErr(s.Publish(leaving))
		time.Sleep(leavingTimeout)
		f := classifier.Of(requestQuote(t, s))
		i.True(f != nil)
		i.Equal(f.Verdict, classifier.VerdictNotRun)
		i.Equal(f.Reason, classifier.ReasonNoEndpoint)
		i.True(f.RetryAfter > 0)

		i.NoErr(s.Publish(s.Fleet.Source))
		time.Sleep(leavingTimeout)
		i.NoErr(requestQuote(t, s))
	})
}

func requestQuote(t *testing.T, s *assembler.System) error {
	i := is.New(t)
	h := s.HTTPClient()
	defer h.CloseIdleConnections()
	c, err := client.New(client.Options{
		Addresses: []string{"http://" + string(s.CallerAddresses()[0])}, HTTPClient: h, Customer: "taoyuan-dealers", Seed: 1,
	})
	i.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = c.Generate(ctx, client.Request{Service: "dealer-desk", Prompt: "copper?", MaxTokens: 8}, func(client.Chunk) error { return nil })
	return err
}

// leavingEndpoint serves a third of the quotes until it leaves.
const leavingEndpoint identifier.Endpoint = "desk-1"

// TestLeavingEndpointGetsNoWork makes an engine leave while all hosts receive
// quotes, once through each source that can announce it, and checks the time of
// the engine's last admission.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
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
		t.Run("announced by "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLeavingUnderLoad(t, leave) })
		})
	}
}

func testLeavingUnderLoad(t *testing.T, leave func(*testing.T, *assembler.System)) {
	const (
		leaveDelay = 8 * time.Second
		span       = 25 * time.Second
	)
	i := is.New(t)
	s := startOnMemoryNetwork(t, 2)
	defer s.Close()
	var leftAt time.Time
	g := grouper.New(t.Context())
	g.Run(func(context.Context) {
		time.Sleep(leaveDelay)
		leftAt = time.Now()
		leave(t, s)
	})
	sendQuotes(t, s, 12, span)
	i.NoErr(g.Wait())
	var admissions []checker.Admission
	for _, a := range s.Site.Engine(leavingEndpoint).Admissions() {
		admissions = append(admissions, checker.Admission{Endpoint: leavingEndpoint, At: a.At})
	}
	i.True(len(admissions) > 0 && admissions[0].At.Before(leftAt)) // it got work before it left
	violations := checker.CheckLeaving(admissions, []checker.Leave{{Endpoint: leavingEndpoint, At: leftAt}}, leavingTimeout)
	t.Logf("%d admissions, the last %s after it left", len(admissions), admissions[len(admissions)-1].At.Sub(leftAt))
	i.Equal(len(violations), 0)
}
