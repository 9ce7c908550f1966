package assembler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestAttemptsSurviveLossOfOtherHosts kills one host and stops another one that is
// still streaming, while long answers stream at the others. Pools then move to
// other hosts, but attempts that are led by a live host must not be canceled, so
// each answer takes one attempt.
func TestAttemptsSurviveLossOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := startOnMemoryNetwork(t, 2)
		defer s.Close()
		g := grouper.New(t.Context())
		h := s.HTTPClient()
		defer h.CloseIdleConnections()
		killed, stopped := s.Hosts()[0], s.Hosts()[5]
		for n, name := range s.Hosts() {
			if name == killed {
				continue
			}
			c, err := client.New(client.Options{
				Addresses: []string{"http://" + string(s.CallerAddresses()[n])}, HTTPClient: h, Customer: "taoyuan-dealers", Seed: 1,
			})
			i.NoErr(err)
			for k := range 6 {
				g.Go(func(ctx context.Context) error { return writeNote(ctx, c, fmt.Sprintf("report %d of %s", k, name)) })
			}
		}
		time.Sleep(2 * time.Second)
		s.Host(killed).Kill()
		i.NoErr(stopHost(t.Context(), s, stopped))
		i.NoErr(g.Wait())
	})
}

func stopHost(ctx context.Context, s *assembler.System, name identifier.Host) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return s.Host(name).Stop(ctx)
}

func writeNote(ctx context.Context, c *client.Client, prompt string) error {
	completion, err := c.Generate(ctx, client.Request{Service: "note-writer", Prompt: prompt, MaxTokens: 1000},
		func(client.Chunk) error { return nil })
	if err != nil {
		return err
	}
	if completion.Attempts != 1 {
		return fmt.Errorf("note %q took %d attempts", prompt, completion.Attempts)
	}
	return nil
}
