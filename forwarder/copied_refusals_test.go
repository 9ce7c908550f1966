package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	modelIDHeader = "X-Id"
	modelNotRun   = "X-Refused"
)

// copyStep is what a copyingEndpoint does with the next call.
type copyStep struct {
	serial  int
	refuses bool
	status  int // of a refusal
	// named is set if the answer of a call that runs names it.
	named bool
	// late is the number of copies of the connection's last refusal before the answer, and
	// early the number after it, earlyDelay later.
	late, early int
	earlyDelay  time.Duration
}

// answer returns the body of a call that ran.
func (s *copyStep) answer() string {
	return fmt.Sprintf("answer %d", s.serial)
}

// copyingEndpoint models an endpoint that writes copies of its refusals.
type copyingEndpoint struct {
	listener net.Listener
	group    *grouper.Group
	// unnamed is set if copies don't name the refused request.
	unnamed bool

	mu       sync.Mutex
	step     copyStep
	ran      bool     // the last call
	repeated []string // IDs that a connection carried twice
}

func startCopyingEndpoint(t *rapid.T, unnamed bool) *copyingEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &copyingEndpoint{listener: ln, group: grouper.New(context.Background()), unnamed: unnamed}
	e.group.Run(func(context.Context) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.group.Run(func(ctx context.Context) {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				e.serve(c)
			})
		}
	})
	return e
}

func (e *copyingEndpoint) stop() {
	_ = e.listener.Close()
	e.group.Stop()
	_ = e.group.Wait() // its goroutines return no error
}

// serve handles the calls of a connection until that ends.
func (e *copyingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, carried, refusal := bufio.NewReader(c), map[string]bool{}, ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := q.Header.Get(modelIDHeader)
		s := e.begin(id, carried[id])
		carried[id] = id != ""
		_, _ = io.WriteString(c, strings.Repeat(refusal, s.late)) // the caller may have disconnected
		if s.refuses {
			refusal = e.write(c, id, s)
		} else {
			writeModelAnswer(c, id, s)
		}
		time.Sleep(s.earlyDelay)
		_, _ = io.WriteString(c, strings.Repeat(refusal, s.early))
	}
}

// begin records a call and returns what to do with it.
func (e *copyingEndpoint) begin(id string, again bool) copyStep {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran = !e.step.refuses
	if again {
		e.repeated = append(e.repeated, id)
	}
	return e.step
}

// write writes a refusal and returns the text of its copies.
func (e *copyingEndpoint) write(c net.Conn, id string, s copyStep) string {
	text := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: 1\r\nContent-Length: 0\r\n", s.status, modelNotRun)
	name := fmt.Sprintf("%s: %s\r\n", modelIDHeader, id)
	_, _ = io.WriteString(c, text+name+"\r\n")
	if e.unnamed {
		name = ""
	}
	return text + name + "\r\n"
}

func writeModelAnswer(c net.Conn, id string, s copyStep) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(s.answer()))
	if s.named && id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", modelIDHeader, id)
	}
	fmt.Fprintf(&b, "\r\n%s", s.answer())
	_, _ = c.Write(b.Bytes())
}

// modelEndpoints calls a copyingEndpoint.
type modelEndpoints struct{ *exchanger.Exchanger }

func (m modelEndpoints) Forward(ctx context.Context, e *registrar.Endpoint, c *Call) (*exchanger.Response, error) {
	q := &exchanger.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: string(c.ID)}
	if c.ID != "" {
		q.Header.Set(modelIDHeader, string(c.ID))
	}
	return m.Send(ctx, e.Address, q)
}

func (modelEndpoints) Refused(r *exchanger.Response) bool           { return r.Header.Get(modelNotRun) != "" }
func (modelEndpoints) Load(*exchanger.Response) (placer.Load, bool) { return placer.Load{}, false }

// drawCopyStep generates what the endpoint does with a call; one without an ID is never refused.
func drawCopyStep(t *rapid.T, serial int, id string) copyStep {
	// Together they are no more than the responses to other requests that are discarded.
	const maxCopies = 4
	return copyStep{
		serial:     serial,
		refuses:    id != "" && rapid.Bool().Draw(t, "refuses"),
		status:     rapid.SampledFrom([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}).Draw(t, "status"),
		named:      rapid.Bool().Draw(t, "named"),
		late:       rapid.IntRange(0, maxCopies).Draw(t, "late"),
		early:      rapid.IntRange(0, maxCopies).Draw(t, "early"),
		earlyDelay: time.Duration(rapid.IntRange(0, 1).Draw(t, "delay")) * time.Millisecond,
	}
}

// TestCopiedRefusalsProperty guards against taking the copy of an earlier refusal for the answer to a
// call that ran, whichever calls and copies precede it on its connection.
func TestCopiedRefusalsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		unnamed := rapid.Bool().Draw(t, "copies without IDs")
		ids := []string{"a", "b", "c", ""}
		if unnamed {
			ids = ids[:3] // they may be taken for the answer to a call without an ID
		}
		e := startCopyingEndpoint(t, unnamed)
		defer e.stop()
		x := exchanger.New(exchanger.Options{IDHeader: modelIDHeader})
		defer x.CloseAll()
		f := &Forwarder{deps: Deps{Endpoints: modelEndpoints{x}, Dialect: plainDialect{}}}
		at := &registrar.Endpoint{Name: "e", Address: identifier.Address(e.listener.Addr().String())}
		for n := range rapid.IntRange(1, 12).Draw(t, "calls") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			step := drawCopyStep(t, n, id)
			e.mu.Lock()
			e.step, e.ran = step, false
			e.mu.Unlock()
			a := f.call(context.Background(), at, &Call{RequestParameters: RequestParameters{ID: identifier.Request(id)}})
			e.mu.Lock()
			ran, repeated := e.ran, e.repeated
			e.mu.Unlock()
			i.Equal(len(repeated), 0)
			if ran {
				i.True(a.err == nil || classifier.VerdictOf(a.err) != classifier.VerdictNotRun) // told refused
			}
			if ran && !unnamed {
				i.NoErr(a.err)
				i.Equal(string(a.body), step.answer())
			}
		}
	})
}
