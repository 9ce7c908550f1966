//go:build review3

// Command stopping lets clients with kept connections send one stream after another to an entry host, stops
// the host with SIGTERM, and lets the engines fall silent for a moment while it stops. It looks for
// streams that were sent later than 3 s after the signal, reached an engine and were cut.
//
// # Usage
//
//	stopping RECORD
//
// TROUBLE=0 leaves the signal out, not the silence.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/platform/standin"
	"github.com/jackdawthread/jackdawthread/review/11/rig"
)

const (
	// clients is how many clients each host has.
	clients = 40
	// events and pace make a stream of 3.5 s.
	events = 35
	pace   = 100 * time.Millisecond
	// warm is the time before the signal, in which each host answers over 100 streams.
	warm = 25 * time.Second
	// silenceAt is when, after the signal, the two engines fall silent for silence: "A sound server may
	// fall silent for a second or so and go on; that is no trouble in the rules."
	silenceAt = 5 * time.Second
	silence   = 1200 * time.Millisecond
	// grace is graceS, and excused the time after the signal up to which a stream that still runs in
	// the last sixth of it isn't counted.
	grace   = 8 * time.Second
	excused = 3 * time.Second
	// timeoutMs is the route's timeout, and the clients' deadline.
	timeoutMs = 14_000
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
	b, err := start(r)
	if err != nil {
		return r.Failed(err)
	}
	for k := range clients {
		for _, h := range b.hosts {
			r.Group.Run(func(ctx context.Context) { b.client(ctx, h, k) })
		}
	}
	time.Sleep(warm)
	b.stop()
	time.Sleep(silenceAt)
	for _, e := range b.engines[1:] {
		r.Note("engine %s is silent for %v", e.Options().ID, silence)
		e.Silence(silence)
	}
	time.Sleep(grace - silenceAt + time.Second)
	return b.verdict()
}

// bench is the deployment with its clients.
type bench struct {
	rig     *rig.Rig
	hosts   []*rig.Host
	engines []*standin.Runner

	mu       sync.Mutex
	signal   time.Time
	answered map[*rig.Host]int
	cut      []request
	sent     int
}

// request is a stream that a client has sent.
type request struct {
	id     string
	at     *rig.Host
	sent   time.Time
	ended  time.Time
	status int
	events int
	err    error
	last   bool
}

func start(r *rig.Rig) (*bench, error) {
	b := &bench{rig: r, answered: map[*rig.Host]int{}}
	for _, o := range []standin.RunnerOptions{
		{ID: "prefill-1", Service: "notes", Zone: "a", Stage: "prefill", Slots: 64, Memory: 58_379, Work: 50 * time.Millisecond},
		{ID: "decode-1", Service: "notes", Zone: "a", Stage: "decode", Slots: 64, Memory: 58_379, Work: pace, Events: events},
		{ID: "decode-2", Service: "notes", Zone: "a", Stage: "decode", Slots: 64, Memory: 58_379, Work: pace, Events: events},
	} {
		e, err := standin.StartRunner(r.Group, r.Store, o)
		if err != nil {
			return nil, err
		}
		b.engines = append(b.engines, e)
	}
	standin.ShareHandles(r.Group.Context(), b.engines...)
	r.Store.PutConfig(config())
	for _, name := range []string{"front-a-1", "front-a-2"} {
		h, err := r.StartHost(name, "a")
		if err != nil {
			return nil, err
		}
		b.hosts = append(b.hosts, h)
	}
	for _, h := range b.hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second) // the hosts find each other
	return b, nil
}

// config is the stand-in's configuration with the timeout of the sheet.
func config() []byte {
	var c map[string]any
	_ = json.Unmarshal(standin.Config(1, 58_379), &c) // it was encoded just now
	for _, route := range c["routes"].([]any) {
		route.(map[string]any)["timeoutMs"] = timeoutMs
	}
	value, _ := json.Marshal(c)
	return value
}

// stop sends SIGTERM to the first host.
func (b *bench) stop() {
	b.mu.Lock()
	b.signal = time.Now()
	b.rig.Note("%d streams answered by %s so far", b.answered[b.hosts[0]], b.hosts[0].Name)
	b.mu.Unlock()
	if rig.Troubled() {
		b.rig.Note("SIGTERM to %s", b.hosts[0].Name)
		b.hosts[0].Signal(syscall.SIGTERM)
	}
}

// client sends one stream after another, each on the connection of the one before if it is kept. A client
// whose host no longer takes connections goes to the other one.
func (b *bench) client(ctx context.Context, h *rig.Host, k int) {
	cycle := events * pace
	if sleeper.Sleep(ctx, time.Duration(k)*cycle/clients) != nil {
		return
	}
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", h.Callers, time.Second)
		if err != nil {
			h = b.hosts[1]
			_ = sleeper.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		reader := bufio.NewReader(c)
		for kept := true; kept && ctx.Err() == nil; n++ {
			q := request{id: fmt.Sprintf("%s-%d-%d", h.Name, k, n), at: h, sent: time.Now()}
			q.send(c, reader)
			q.ended = time.Now()
			kept = q.err == nil && !q.last
			if ctx.Err() == nil {
				b.note(q)
			}
		}
		stop()
		_ = c.Close()
		if b.stopping(h) {
			h = b.hosts[1]
		}
		_ = sleeper.Sleep(ctx, rand.N(20*time.Millisecond))
	}
}

// stopping reports whether new connections go to another host: the platform sends none to a host that hasn't been
// ready for two questions.
func (b *bench) stopping(h *rig.Host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rig.Troubled() && h == b.hosts[0] && !b.signal.IsZero()
}

func (q *request) send(c net.Conn, reader *bufio.Reader) {
	body := strings.Repeat("p", 600)
	_, q.err = fmt.Fprintf(c, "POST /notes/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 1000,80\r\nX-Prompt-Prefix: 5c1e07a2:200,%08x:800\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		standin.ConfigHost, q.id, rand.Uint32(), timeoutMs, len(body), body)
	if q.err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		q.err = err
		return
	}
	q.status, q.last = response.StatusCode, response.Close
	text, err := io.ReadAll(response.Body)
	q.events = strings.Count(string(text), "\n\n")
	q.err = err
}

func (b *bench) note(q request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	if q.err == nil && q.status == http.StatusOK && q.events == events {
		b.answered[q.at]++
	}
	if q.err != nil {
		b.cut = append(b.cut, q)
	}
	after := time.Duration(0)
	if !b.signal.IsZero() {
		after = q.sent.Sub(b.signal)
	}
	b.rig.Note("%s: sent %v after the signal, took %v, status %d, %d events, last=%t, err=%v",
		q.id, after.Round(time.Millisecond), q.ended.Sub(q.sent).Round(time.Millisecond), q.status, q.events, q.last, q.err)
}

// ran reports whether an engine has run a request.
func (b *bench) ran(id string) bool {
	for _, e := range b.engines {
		for _, n := range e.Runs() {
			if string(n.ID) == id {
				return true
			}
		}
	}
	return false
}

func (b *bench) verdict() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost, early := 0, 0
	for _, q := range b.cut {
		after := q.sent.Sub(b.signal)
		if !b.ran(q.id) {
			b.rig.Note("%s ended with %v, and no engine has run it", q.id, q.err)
			continue
		}
		if after <= excused {
			early++
			continue
		}
		lost++
		b.rig.Note("lost: %s, sent %v after the signal to %s, cut after %d events at %v after it", q.id, after, q.at.Name, q.events, q.ended.Sub(b.signal))
	}
	b.rig.Note("%d streams; cut: %d sent later than %v after the signal, %d sent before that", b.sent, lost, excused, early)
	return b.rig.Verdict(lost > 0, "%d streams that were sent later than %v after SIGTERM and had reached an engine were cut", lost, excused)
}
