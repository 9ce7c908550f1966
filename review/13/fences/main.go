//go:build review3

// Command fences kills the host that gives orders to model engines right after it has ordered one to another stage, and
// compares the fence numbers of that order and of the next holder's.
//
// # Usage
//
//	fences RECORD
//
// TROUBLE=0 kills no host.
package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/platform/standin"
	"github.com/jackdawthread/jackdawthread/review/11/rig"
)

const (
	// orderLimit is how long the first order is waited for, and nextLimit the next holder's.
	orderLimit = 50 * time.Second
	nextLimit  = 35 * time.Second
	// killDelay is the time from the order to the kill.
	killDelay = 300 * time.Millisecond
	timeoutMs = 14_000
)

// names are those of three machines of the grown deployment. The first two give their orders fence numbers
// with the same remainder.
var names = []string{"front-hofud-b-6", "front-hofud-b-11", "front-hofud-a-1"}

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
	g := &engines{rig: r, service: serviceName(), handles: map[string]bool{}}
	r.Note("service %s", g.service)
	if err := startEngines(g); err != nil {
		return r.Failed(err)
	}
	r.Store.PutConfig(config(g.service))
	var hosts []*rig.Host
	for _, name := range names {
		h, err := r.StartHost(name, "a")
		if err != nil {
			return r.Failed(err)
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return r.Failed(err)
		}
	}
	load(r, hosts[1:])
	first, ok := g.await(orderLimit, func(order) bool { return true })
	if !ok {
		return r.Failed(fmt.Errorf("no order within %v", orderLimit))
	}
	time.Sleep(killDelay)
	if rig.Troubled() {
		for _, h := range hosts {
			if h.Name == first.holder {
				r.Note("SIGKILL to %s", h.Name)
				h.Signal(syscall.SIGKILL)
			}
		}
	}
	next, ok := g.await(nextLimit, func(o order) bool { return o.holder != first.holder })
	if !ok {
		return r.Verdict(false, "no order of another holder within %v", nextLimit)
	}
	time.Sleep(time.Second)
	return g.verdict(next)
}

// startEngines starts one engine that reads prompts and three that decode.
func startEngines(g *engines) error {
	for _, e := range [][2]string{{"runner-1", "prefill"}, {"runner-2", "decode"}, {"runner-3", "decode"}, {"runner-4", "decode"}} {
		if err := g.start(e[0], e[1]); err != nil {
			return err
		}
	}
	return nil
}

// await waits for an order that matches.
func (g *engines) await(limit time.Duration, matches func(order) bool) (order, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		i := slices.IndexFunc(g.orders, matches)
		var o order
		if i >= 0 {
			o = g.orders[i]
		}
		g.mu.Unlock()
		if i >= 0 {
			return o, true
		}
	}
	return order{}, false
}

// verdict looks for two holders with one fence number at one engine.
func (g *engines) verdict(next order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.orders {
		for _, b := range g.orders {
			if a.engine == b.engine && a.fence == b.fence && a.holder < b.holder {
				return g.rig.Verdict(true, "%s got fence %d from %s and from %s", a.engine, a.fence, a.holder, b.holder)
			}
		}
	}
	return g.rig.Verdict(false, "the next holder %s gave fence %d to %s", next.holder, next.fence, next.engine)
}

// serviceName returns a name of a service for which the first host gives orders, and the second one after it.
// Names of services are new each day.
func serviceName() string {
	for n := 0; ; n++ {
		name := fmt.Sprintf("svc%03d", n)
		key := xxhash.Sum64String("room\x00" + name)
		if score(names[0], key) > score(names[1], key) && score(names[1], key) > score(names[2], key) {
			return name
		}
	}
}

// score is how hosts rank for a key, see gossiper.View.FleetOwner.
func score(host string, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(host))
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

func config(service string) []byte {
	value, _ := json.Marshal(map[string]any{ // can't fail for these types
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-1", "host": standin.ConfigHost, "prefix": "/notes/", "kind": "streaming", "timeoutMs": timeoutMs, "goalMs": 900,
			"priority": 1, "service": service, "attempts": 1, "sticky": true, "resumable": false, "gapAimMs": 300,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/healthz", "maxConns": 370,
			"engine": map[string]any{"slots": 64, "kvTokens": 58_379, "handleTtlS": 4, "holdMs": 2000},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	})
	return value
}

// load sends short answers to long prompts, and long answers to short prompts, to the hosts that aren't killed.
func load(r *rig.Rig, hosts []*rig.Host) {
	sendEvery(r, hosts, "short", 320*time.Millisecond, func() (prompt, output int) { return 2000 + rand.IntN(6000), 4 })
	sendEvery(r, hosts, "long", 400*time.Millisecond, func() (prompt, output int) { return 200 + rand.IntN(100), 130 })
}

func sendEvery(r *rig.Rig, hosts []*rig.Host, kind string, every time.Duration, size func() (prompt, output int)) {
	r.Group.Run(func(ctx context.Context) {
		for n := 0; sleeper.Sleep(ctx, every) == nil; n++ {
			h := hosts[n%len(hosts)]
			prompt, output := size()
			r.Group.Run(func(ctx context.Context) { send(ctx, r, h, fmt.Sprintf("%s-%d", kind, n), prompt, output) })
		}
	})
}

func send(ctx context.Context, r *rig.Rig, h *rig.Host, id string, prompt, output int) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Callers+"/notes/1", strings.NewReader("p"))
	if err != nil {
		return
	}
	q.Host = standin.ConfigHost
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Model", "m")
	q.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", prompt, output))
	q.Header.Set("X-Length-Hint", fmt.Sprint(output))
	q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%08x:%d", rand.Uint32(), prompt))
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(timeoutMs))
	began := time.Now()
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if ctx.Err() == nil {
		r.Note("%s (%d,%d): status %d, %d events in %v, err=%v", id, prompt, output, response.StatusCode, strings.Count(string(text), "\n\n"), time.Since(began).Round(time.Millisecond), err)
	}
}
