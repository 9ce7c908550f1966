//go:build review3

// Command heads opens connections to an entry host, sends a whole request on each, and after its
// answer an empty line and the beginning of a head of many short lines. It watches the host's memory and
// an ordinary client beside it.
//
// # Usage
//
//	heads RECORD
//
// TROUBLE=0 leaves the heads out.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/platform/standin"
	"github.com/jackdawthread/jackdawthread/review/11/rig"
)

const (
	// clients is how many connections the hostile clients open.
	clients = 1000
	// headBytes is the size of the part of a head that each sends.
	headBytes = 60_000
	// watched is how long the host is watched after the heads were sent. A head is refused
	// headerTimeoutMs (3 s) after its first byte.
	watched = 6 * time.Second
	// ordinaryPeriod is the time between two requests of the ordinary client.
	ordinaryPeriod = 50 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1]))
}

func run(record string) int {
	r, err := rig.New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.Close()
	if _, err := standin.StartRunner(r.Group, r.Store, standin.RunnerOptions{ID: "desk-1", Service: "desk", Zone: "a", Slots: 64}); err != nil {
		return r.Failed(err)
	}
	r.Store.PutConfig(standin.Config(1, 58_379))
	h, err := r.StartHost("front-a-1", "a")
	if err != nil {
		return r.Failed(err)
	}
	if err := h.AwaitReady(10 * time.Second); err != nil {
		return r.Failed(err)
	}
	var served, failed atomic.Int64
	r.Group.Run(func(ctx context.Context) { ordinary(ctx, r, h, &served, &failed) })
	time.Sleep(time.Second)
	r.Note("resident memory before: %d bytes", h.Resident())
	open, err := connect(h)
	if err != nil {
		return r.Failed(err)
	}
	r.Note("%d connections have carried a whole request each; resident memory: %d bytes", len(open), h.Resident())
	if rig.Troubled() {
		sendHeads(r, open)
	}
	peak := watch(r, h)
	r.Note("ordinary client: %d requests served, %d not", served.Load(), failed.Load())
	return r.Verdict(peak > rig.MemoryBytes || !h.Running(), "the process had %d bytes at its peak, the machine has %d; running: %t", peak, rig.MemoryBytes, h.Running())
}

// connect opens the connections and sends a whole request on each.
func connect(h *rig.Host) ([]net.Conn, error) {
	open := make([]net.Conn, 0, clients)
	for n := range clients {
		c, err := net.Dial("tcp", h.Callers)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(c, "POST /quotes/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: whole-%d\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", n, standin.ConfigHost, n)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil, err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("whole request got %d", response.StatusCode)
		}
		open = append(open, c)
	}
	return open, nil
}

// sendHeads sends an empty line and the beginning of a head on each connection, which stays open.
func sendHeads(r *rig.Rig, open []net.Conn) {
	var b strings.Builder
	if os.Getenv("EMPTY_LINE") != "0" {
		b.WriteString("\r\n")
	}
	b.WriteString("GET /quotes/1 HTTP/1.1\r\nHost: " + standin.ConfigHost + "\r\n")
	for n := 0; b.Len() < headBytes; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n+0x100)
	}
	for _, c := range open {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write([]byte(b.String())) // the host may close the connection
	}
	r.Note("%d connections have sent %d bytes of a head of short lines", len(open), b.Len())
}

// watch returns the highest resident memory of the host.
func watch(r *rig.Rig, h *rig.Host) int64 {
	peak := int64(0)
	for end := time.Now().Add(watched); time.Now().Before(end) && h.Running(); time.Sleep(20 * time.Millisecond) {
		if now := h.Resident(); now > peak+10_000_000 {
			peak = now
			r.Note("resident memory: %d bytes", now)
		} else {
			peak = max(peak, now)
		}
	}
	return peak
}

// ordinary sends sound requests until ctx ends.
func ordinary(ctx context.Context, r *rig.Rig, h *rig.Host, served, failed *atomic.Int64) {
	client := http.Client{Timeout: 1500 * time.Millisecond}
	for n := 0; ctx.Err() == nil; n++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Callers+"/quotes/ordinary", nil)
		if err != nil {
			return
		}
		request.Host = standin.ConfigHost
		request.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", n))
		request.Header.Set("X-Deadline-Ms", "1500")
		response, err := client.Do(request)
		switch {
		case err != nil:
			failed.Add(1)
			r.Note("ordinary-%d: %v", n, err)
		case response.StatusCode != http.StatusOK:
			failed.Add(1)
			r.Note("ordinary-%d: status %d", n, response.StatusCode)
			_ = response.Body.Close()
		default:
			served.Add(1)
			_ = response.Body.Close()
		}
		time.Sleep(ordinaryPeriod)
	}
}
