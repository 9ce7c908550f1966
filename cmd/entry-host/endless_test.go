package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// endlessMemory and endlessDescriptors are the limits of a machine whose endpoints send
	// without end.
	endlessMemory      = 112_000_000
	endlessDescriptors = 8000
	// endlessCalls is the number of simultaneous requests to them.
	endlessCalls = 1500
	// endlessTimeoutMs is the requests' deadline in ms.
	endlessTimeoutMs = 2000
	// An endpoint sends about endlessPiece bytes every endlessPause on each connection, 1.6 MB
	// until the deadline.
	endlessPiece = 8 << 10
	endlessPause = 10 * time.Millisecond
	// endlessEndpoints is how many they are: more than the limits for one would stop.
	endlessEndpoints = 5
)

// A form of answers without end: how they begin, and what is repeated after that.
var endlessForms = []struct{ name, path, beginning, piece string }{
	{"a_body_in_chunks", "/locks/1", "HTTP/1.1 200 OK\r\n" + standin.SignatureHeader + ": x\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"a_head", "/locks/1", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	{"informational_responses", "/locks/1", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	{"lines_of_an_event", "/notes/1", endlessStream, "data: abcd\n"},
	{"comments", "/notes/1", endlessStream, ": abcd\n\n"},
	{"events", "/notes/1", endlessStream, "data: abcd\n\n"},
}

// endlessStream begins an event stream.
const endlessStream = "HTTP/1.1 200 OK\r\n" + standin.SignatureHeader + ": x\r\nContent-Type: text/event-stream\r\n\r\n"

// TestEndlessEndpoints guards against a host that runs out of memory, and takes the requests of
// others with it, because endpoints send bytes without end to many calls at once.
func TestEndlessEndpoints(t *testing.T) {
	if testing.Short() {
		t.Skip("each form takes some seconds")
	}
	binary := buildHost(t)
	for _, form := range endlessForms {
		t.Run(form.name, func(t *testing.T) {
			h := startHostOn(t, binary, machine{memory: endlessMemory, descriptors: endlessDescriptors}, endlessPlatform(form.beginning, form.piece))
			h.assertServes()
			idle, _ := h.usage()
			h.callAtOnce(form.path)
			h.assertServes()
			t.Logf("%d bytes before", idle)
			h.assertWithinMachine()
		})
	}
}

// endlessPlatform returns the start of a platform whose quotes are served as usual, and whose
// other endpoints send without end.
func endlessPlatform(beginning, piece string) func(*testing.T, *grouper.Group) identifier.Address {
	return func(t *testing.T, g *grouper.Group) identifier.Address {
		i := is.New(t)
		store := standin.NewStore()
		address, err := store.Listen(g)
		i.NoErr(err)
		c := standin.ConfigWith(standin.ConfigOptions{Version: 1, Memory: 1000, QuotesService: "quotes"})
		store.PutConfig(bytes.ReplaceAll(c, []byte(`"service":"notes"`), []byte(`"service":"desk"`)))
		_, err = standin.StartRunner(g, store, standin.RunnerOptions{ID: "q-0", Service: "quotes", Zone: "a", Slots: 100})
		i.NoErr(err)
		for n := range endlessEndpoints {
			entry, err := json.Marshal(map[string]any{
				"service": "desk", "addr": startEndless(t, g, beginning, piece), "zone": "a", "version": "v1",
				"slots": endlessCalls, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
			})
			i.NoErr(err)
			store.Put(fmt.Sprintf("servers/e-%d", n), entry)
		}
		return address
	}
}

// startEndless starts an endpoint that answers each call without end. It returns its address.
func startEndless(t *testing.T, g *grouper.Group, beginning, piece string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	filler := strings.Repeat(piece, endlessPiece/len(piece))
	g.Run(func(context.Context) {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return // the test has ended
			}
			g.Run(func(ctx context.Context) {
				defer func() { _ = raw.Close() }()
				if _, err := raw.Read(make([]byte, endlessPiece)); err != nil {
					return // a probe
				}
				_, err := io.WriteString(raw, beginning)
				for err == nil && ctx.Err() == nil {
					_, err = io.WriteString(raw, filler)
					time.Sleep(endlessPause)
				}
			})
		}
	})
	return ln.Addr().String()
}

// callAtOnce sends many requests at once, whose answers it reads, and waits for their ends.
func (h *host) callAtOnce(path string) {
	h.t.Helper()
	transport := &http.Transport{MaxConnsPerHost: endlessCalls}
	defer transport.CloseIdleConnections()
	statuses := make(chan int, endlessCalls)
	g := grouper.New(context.Background())
	for n := range endlessCalls {
		g.Run(func(context.Context) {
			r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader("x"))
			h.is.NoErr(err)
			r.Host = standin.ConfigHost
			r.Header.Set("X-Request-Id", fmt.Sprintf("endless-%d", n))
			r.Header.Set("X-Deadline-Ms", fmt.Sprint(endlessTimeoutMs))
			answer, err := transport.RoundTrip(r)
			if err != nil {
				statuses <- 0
				return
			}
			defer func() { _ = answer.Body.Close() }()
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				statuses <- -answer.StatusCode
				return
			}
			statuses <- answer.StatusCode
		})
	}
	g.Stop()
	_ = g.Wait() // its functions return no error
	counts := map[int]int{}
	for range endlessCalls {
		counts[<-statuses]++
	}
	h.t.Logf("statuses, negative ones of broken-off answers: %v", counts)
	h.is.Equal(counts[http.StatusOK], 0)
}
