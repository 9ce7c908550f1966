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

// TestLivingAttemptsSurvive loses one host and stops another one, which still
// has answers to finish, while long answers stream at the rest: pools move, but no attempt that is led by a
// living home is canceled, so that each answer takes one attempt.
func TestLivingAttemptsSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := startMemory(t, 2)
		defer s.Close()
		g := grouper.New(t.Context())
		h := s.HTTPClient()
		defer h.CloseIdleConnections()
		lost, stopped := s.Hosts()[0], s.Hosts()[5]
		for n, name := range s.Hosts() {
			if name == lost {
				continue
			}
			c, err := client.New(client.Options{
				Addresses: []string{"http://" + string(s.Callers()[n])}, HTTPClient: h, Customer: "taoyuan-dealers", Seed: 1,
			})
			i.NoErr(err)
			for k := range 6 {
				g.Go(func(ctx context.Context) error { return writeNote(ctx, c, fmt.Sprintf("report %d of %s", k, name)) })
			}
		}
		time.Sleep(2 * time.Second)
		s.Host(lost).Kill()
		i.NoErr(stopPlanned(t.Context(), s, stopped))
		i.NoErr(g.Wait())
	})
}

func stopPlanned(ctx context.Context, s *assembler.System, name identifier.Host) error {
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
