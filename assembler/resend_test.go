package assembler_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/logger"
)

// startOnMemoryNetwork starts a system on an in-process network. Call it inside a
// synctest bubble.
func startOnMemoryNetwork(t *testing.T, hosts int) *assembler.System {
	t.Helper()
	i := is.New(t)
	source, err := os.ReadFile("../examples/tamsui.toml")
	i.NoErr(err)
	log, err := logger.New("error", os.Stderr)
	i.NoErr(err)
	s, err := assembler.Start(t.Context(), assembler.Options{Source: source, HostsPerDataCenter: hosts, MemoryNetwork: true, Log: log})
	i.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	i.NoErr(s.WaitReady(ctx))
	return s
}

// callResult is the text and error of one call of a request.
type callResult struct {
	text string
	err  error
}

// TestResendTakesOver resends a request while its first call streams. The first call
// must end as taken over, and the second one must get the whole answer.
func TestResendTakesOver(t *testing.T) {
	for name, hosts := range map[string][2]int{"at another host": {0, 1}, "at another data center": {0, 2}, "at the same host": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testResend(t, hosts) })
		})
	}
}

func testResend(t *testing.T, hosts [2]int) {
	i := is.New(t)
	s := startOnMemoryNetwork(t, 2)
	defer s.Close()
	h := s.HTTPClient()
	defer h.CloseIdleConnections()
	calls := make([]callResult, len(hosts))
	g := grouper.New(t.Context())
	for n, host := range hosts {
		c, err := client.New(client.Options{
			Addresses: []string{"http://" + string(s.CallerAddresses()[host])}, HTTPClient: h, Customer: "bulletin-night", Seed: 1,
		})
		i.NoErr(err)
		g.Run(func(ctx context.Context) {
			time.Sleep(time.Duration(n) * 2 * time.Second) // the first call is streaming by then
			_, calls[n].err = c.Generate(ctx, client.Request{ID: "note-1", Service: "note-writer", Prompt: "mill report", MaxTokens: 400},
				func(chunk client.Chunk) error { calls[n].text += chunk.Text; return nil })
		})
	}
	i.NoErr(g.Wait())
	f, _ := errors.AsType[*classifier.Error](calls[0].err)
	i.True(f != nil) // the first call ends without a whole answer
	i.Equal(f.Reason, classifier.ReasonTakenOver)
	i.Equal(f.Verdict, classifier.VerdictMayHaveRun)
	i.True(len(calls[0].text) > 0) // it was streaming
	i.NoErr(calls[1].err)
	i.Equal(calls[1].text, emulator.Answer("bulletin-13b", "mill report", 400))
	time.Sleep(5 * time.Second)
	assertNoPiecesHeld(t, s)
}

func assertNoPiecesHeld(t *testing.T, s *assembler.System) {
	t.Helper()
	for _, e := range s.Site.Engines() {
		if n := e.Stats().PiecesHeld; n > 0 {
			t.Errorf("engine %q holds %d pieces", e.Name(), n)
		}
	}
}
