package assembler_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
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
