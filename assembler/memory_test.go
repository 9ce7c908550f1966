package assembler_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/logger"
)

func TestMemoryNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		source, err := os.ReadFile("../examples/tamsui.toml")
		i.NoErr(err)
		log, err := logger.New("info", os.Stderr)
		i.NoErr(err)
		s, err := assembler.Start(t.Context(), assembler.Options{Source: source, HostsPerDataCenter: 2, MemoryNetwork: true, Log: log})
		i.NoErr(err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		i.NoErr(s.WaitReady(ctx))
		var urls []string
		for _, a := range s.CallerAddresses() {
			urls = append(urls, "http://"+string(a))
		}
		h := s.HTTPClient()
		defer h.CloseIdleConnections()
		c, err := client.New(client.Options{Addresses: urls, HTTPClient: h, Customer: "taoyuan-dealers", Retry: client.DefaultRetry, Seed: 1})
		i.NoErr(err)
		_, err = c.Generate(ctx, client.Request{Service: "dealer-desk", Prompt: "copper?", MaxTokens: 30}, func(client.Chunk) error { return nil })
		i.NoErr(err)
		time.Sleep(time.Minute)
	})
}
