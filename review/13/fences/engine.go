//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/review/11/rig"
)

const (
	// switchTime is how long an engine takes from the end of its running work until it is back in its new
	// stage (switch_s of the sheet).
	switchTime = 6 * time.Second
	// promptTokensPerMs is how fast an engine reads a prompt, one after another.
	promptTokensPerMs = 20
	// eventTime is the time from one event of a stream to the next; each stands for one token.
	eventTime = 100 * time.Millisecond
)

// order is an order that reached an engine.
type order struct {
	engine, holder, stage string
	fence                 uint64
	at                    time.Time
	status                int
}

// engines are all engines, which can fetch prompts from each other.
type engines struct {
	rig     *rig.Rig
	service string

	mu      sync.Mutex
	all     []*engine
	handles map[string]bool // by address/handle
	orders  []order
	counter int
}

// engine is a stand-in for a model runner. It carries out orders of stages as the pages say: running work is
// completed first.
type engine struct {
	group   *engines
	id      string
	address string
	born    int64
	reading sync.Mutex // one prompt at a time

	// guarded by the group's mutex
	stage     string
	running   int
	ordered   string // the stage of an order under way
	highest   uint64
	sequence  int
	completed chan struct{} // closed when running has become 0 during an order
}

func (g *engines) start(id, stage string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{group: g, id: id, address: ln.Addr().String(), stage: stage, born: time.Now().UnixMilli()}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	g.rig.Group.Run(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(ln) // returns when the group ends
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, e)
	e.register()
	return nil
}

// register writes the engine's entry. The caller holds the mutex.
func (e *engine) register() {
	value, _ := json.Marshal(map[string]any{ // can't fail for these types
		"service": e.group.service, "addr": e.address, "zone": "a", "version": "1", "slots": 64, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "stage": e.stage, "born": e.born,
	})
	revision := e.group.rig.Store.Put("servers/"+e.id, value)
	e.group.rig.Note("%s is registered for %s at revision %d", e.id, e.stage, revision)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", e.id)
	if id := q.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/api/order":
		e.serveOrder(w, body)
	case q.URL.Path == "/api/hold-take":
		writeJSON(w, map[string]any{"hold": e.group.number("hold")})
	case strings.HasPrefix(q.URL.Path, "/api/"):
		w.WriteHeader(http.StatusOK) // a reservation or a result is freed
	case q.Header.Get("X-Stage") == "prefill":
		e.servePrefill(w, q)
	default:
		e.serveDecode(w, q)
	}
}

// number returns a new name.
func (g *engines) number(prefix string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counter++
	return fmt.Sprintf("%s%d", prefix, g.counter)
}

// serveOrder accepts an order, or refuses it by its fence, or while another one is under way.
func (e *engine) serveOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Op, Stage, Holder string
		Fence             uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := e.group
	g.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < e.highest:
		status = http.StatusPreconditionFailed
	case e.ordered != "":
		status = http.StatusConflict
	case o.Stage == e.stage:
		status = http.StatusOK
	}
	e.highest = max(e.highest, o.Fence)
	g.orders = append(g.orders, order{engine: e.id, holder: o.Holder, stage: o.Stage, fence: o.Fence, at: time.Now(), status: status})
	if status == http.StatusAccepted {
		e.begin(o.Stage)
	}
	g.rig.Note("order to %s: stage %s, holder %s, fence %d: %d (%d requests run)", e.id, o.Stage, o.Holder, o.Fence, status, e.running)
	g.mu.Unlock()
	w.WriteHeader(status)
}

// begin carries out an order. The caller holds the mutex.
func (e *engine) begin(stage string) {
	e.sequence++
	e.ordered = stage
	e.completed = make(chan struct{})
	completed := e.completed
	if e.running == 0 {
		close(completed)
	}
	e.group.rig.Group.Run(func(ctx context.Context) {
		select {
		case <-completed:
		case <-ctx.Done():
			return
		}
		if sleeper.Sleep(ctx, switchTime) != nil {
			return
		}
		e.group.mu.Lock()
		defer e.group.mu.Unlock()
		e.stage, e.ordered = stage, ""
		e.register()
	})
}

// enter begins a run in a stage, or reports the status with which it is refused.
func (e *engine) enter(stage string) (status int) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch {
	case e.ordered != "":
		return http.StatusServiceUnavailable
	case e.stage != stage:
		return http.StatusMisdirectedRequest
	default:
		e.running++
		return 0
	}
}

func (e *engine) leave() {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.running--
	if e.running == 0 && e.ordered != "" {
		close(e.completed)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(status)
}

func tokens(q *http.Request) (prompt, output int) {
	in, out, _ := strings.Cut(q.Header.Get("X-Token-Counts"), ",")
	prompt, _ = strconv.Atoi(in) // 0 if malformed
	output, _ = strconv.Atoi(out)
	return prompt, output
}

func (e *engine) servePrefill(w http.ResponseWriter, q *http.Request) {
	if status := e.enter("prefill"); status != 0 {
		refuse(w, status)
		return
	}
	defer e.leave()
	prompt, _ := tokens(q)
	e.reading.Lock()
	err := sleeper.Sleep(q.Context(), time.Duration(prompt)*time.Millisecond/promptTokensPerMs)
	e.reading.Unlock()
	if err != nil {
		return
	}
	handle := e.group.number("handle")
	e.group.mu.Lock()
	e.group.handles[e.address+"/"+handle] = true
	e.group.mu.Unlock()
	writeJSON(w, map[string]any{"kvHandle": handle, "tokens": prompt, "version": 1})
}

func (e *engine) serveDecode(w http.ResponseWriter, q *http.Request) {
	if status := e.enter("decode"); status != 0 {
		refuse(w, status)
		return
	}
	defer e.leave()
	from := q.Header.Get("X-Kv-From")
	e.group.mu.Lock()
	held := from == "" || e.group.handles[from]
	delete(e.group.handles, from)
	e.group.mu.Unlock()
	if !held {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Stamp", e.id+"."+q.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	_, output := tokens(q)
	flusher := http.NewResponseController(w)
	for n := 1; n <= output; n++ {
		if sleeper.Sleep(q.Context(), eventTime) != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
			return
		}
		_ = flusher.Flush() // the next write fails if the host has left
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the host may have left
}
