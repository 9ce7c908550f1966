package exchanger_test

import (
	"bufio"
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

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

// attributions sends requests with these IDs one after the other and returns what related
// their responses to them.
func attributions(t *testing.T, x *exchanger.Exchanger, e *scriptedServer, ids ...string) []exchanger.Attribution {
	t.Helper()
	var all []exchanger.Attribution
	for _, id := range ids {
		response, err := x.Send(context.Background(), e.address, request(id))
		is.New(t).NoErr(err)
		_, err = response.ReadAll(1 << 10)
		is.New(t).NoErr(err)
		response.Close()
		all = append(all, response.Attribution)
	}
	return all
}

// TestAttribution guards against log lines that state another connection or past of it than
// the response's.
func TestAttribution(t *testing.T) {
	t.Run("of responses on a kept connection", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string {
			if id == "two" {
				return completeResponse("one", "extra") + completeResponse(id, id)
			}
			return completeResponse(id, id)
		}))
		all := attributions(t, newExchanger(), e, "one", "two")
		i.Equal(all[0], exchanger.Attribution{Connection: 1, Named: true})
		i.Equal(all[1], exchanger.Attribution{Connection: 1, Earlier: 1, Discarded: 1, Named: true})
	})
	t.Run("of responses without an ID", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }))
		x := newExchanger()
		all := attributions(t, x, e, "one", "two")
		i.Equal(all[1], exchanger.Attribution{Connection: 1, Earlier: 1})
		i.Equal(x.Stats().UnnamedResponses, uint64(1))
	})
	t.Run("of responses to fresh requests is certain, with an idle connection at hand", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }))
		x := newExchanger()
		attributions(t, x, e, "one")
		fresh := request("two")
		fresh.Fresh = true
		response, err := x.Send(context.Background(), e.address, fresh)
		i.NoErr(err)
		defer response.Close()
		i.Equal(response.Attribution, exchanger.Attribution{Connection: 2})
		i.True(response.Attribution.Certain())
	})
	t.Run("as text", func(t *testing.T) {
		a := exchanger.Attribution{Connection: 7, Earlier: 3, Discarded: 1, Named: true}
		is.New(t).Equal(a.String(), "connection=7 earlier=3 avoided=0 discarded=1 named=true")
	})
}

// copier is an endpoint that refuses a request when it first gets it, runs it when it gets
// it again, and writes copies of the refusal before the answer.
type copier struct {
	*scriptedServer
	status int
	copies int
	// delay is the time from a request's arrival to the copies.
	delay time.Duration
	// early copies are written after the refusal instead, on an idle connection.
	early bool

	mu       sync.Mutex
	refused  map[string]bool
	repeated []string // IDs that arrived twice on a connection
}

func newCopier(t *testing.T, c *copier) *copier {
	t.Helper()
	c.refused = map[string]bool{}
	c.scriptedServer = listen(t, c.serve)
	return c
}

// first reports whether a request arrives for the first time. Requests that aren't to be
// refused never do.
func (c *copier) first(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.refused[id]
	c.refused[id] = true
	return !known && strings.HasPrefix(id, "refused")
}

func (c *copier) serve(e *scriptedServer, conn net.Conn, r *bufio.Reader) {
	carried, copies := map[string]bool{}, ""
	for {
		id, ok := e.read(r)
		if !ok {
			return
		}
		if carried[id] {
			c.mu.Lock()
			c.repeated = append(c.repeated, id)
			c.mu.Unlock()
		}
		carried[id] = true
		if c.first(id) {
			refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", c.status, idHeader, id)
			_, _ = io.WriteString(conn, refusal) // the caller reads until it gets its answer
			copies = strings.Repeat(refusal, c.copies)
			if c.early {
				time.Sleep(c.delay)
				_, _ = io.WriteString(conn, copies)
				copies = ""
			}
			continue
		}
		if copies != "" {
			time.Sleep(c.delay)
			_, _ = io.WriteString(conn, copies)
			copies = ""
		}
		_, _ = io.WriteString(conn, completeResponse(id, "answer to "+id))
	}
}

// TestCopiedRefusals guards against taking the copy of a refusal, which names its request, for
// the answer to the next sending of that request: what ran was called not run.
func TestCopiedRefusals(t *testing.T) {
	const lateDelay = 30 * time.Millisecond
	forms := []struct {
		name  string
		delay time.Duration
		early bool
	}{
		{"at once", 0, false}, {"late", lateDelay, false}, {"before the next request", lateDelay / 3, true},
	}
	ctx := context.Background()
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, form := range forms {
			for _, copies := range []int{1, 2, 5} {
				for _, between := range []int{0, 1, 20} {
					t.Run(fmt.Sprintf("%d copies of a %d %s, %d requests between", copies, status, form.name, between), func(t *testing.T) {
						i := is.New(t)
						c := newCopier(t, &copier{status: status, copies: copies, delay: form.delay, early: form.early})
						x := newExchanger()
						attributions(t, x, c.scriptedServer, "refused")
						for n := range between {
							id := fmt.Sprintf("other %d", n)
							body, err := exchange(ctx, x, c.scriptedServer, request(id))
							i.NoErr(err)
							i.Equal(body, "answer to "+id)
						}
						body, err := exchange(ctx, x, c.scriptedServer, request("refused"))
						i.NoErr(err)
						i.Equal(body, "answer to refused")
						i.Equal(len(c.repeated), 0)
					})
				}
			}
		}
	}
}

// TestConnectionsWithID guards against a second sending of an ID on a connection, and against
// connections that are closed, or whose memory grows, for the sake of that.
func TestConnectionsWithID(t *testing.T) {
	answer := respondWith(func(id string) string { return completeResponse(id, id) })
	t.Run("are left to other requests", func(t *testing.T) {
		i := is.New(t)
		e, x := listen(t, answer), newExchanger()
		all := attributions(t, x, e, "one", "one", "two")
		i.Equal(all[1], exchanger.Attribution{Connection: 2, Avoided: 1, Named: true})
		i.Equal(all[2], exchanger.Attribution{Connection: 2, Earlier: 1, Named: true})
		i.Equal(x.Stats().AvoidedConnections, uint64(1))
		i.Equal(x.Stats().Idle, 2)
	})
	t.Run("are kept for requests without an ID", func(t *testing.T) {
		i := is.New(t)
		e, x := listen(t, answer), newExchanger()
		for range 3 {
			_, err := exchange(context.Background(), x, e, &exchanger.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			i.NoErr(err)
		}
		opened, _ := e.counts()
		i.Equal(opened, 1)
	})
	t.Run("are closed before their IDs take much memory", func(t *testing.T) {
		i := is.New(t)
		e, x := listen(t, answer), newExchanger()
		const requests, perConnection = 1200, 512
		for n := range requests {
			_, err := exchange(context.Background(), x, e, request(fmt.Sprint(n)))
			i.NoErr(err)
		}
		opened, _ := e.counts()
		i.Equal(opened, (requests+perConnection-1)/perConnection)
		i.Equal(x.Stats().RetiredConnections, uint64(requests/perConnection))
	})
	t.Run("are closed after a response too many", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return completeResponse("other", "extra") + completeResponse(id, id) }))
		x := newExchanger()
		all := attributions(t, x, e, "one", "two")
		i.Equal(all[0], exchanger.Attribution{Connection: 1, Discarded: 1, Named: true})
		i.Equal(all[1].Connection, uint64(2))
		i.Equal(x.Stats().DoubtfulConnections, uint64(2))
	})
}

// TestCopiesBeforeCallsWithoutID guards against taking the copy of an earlier answer, which
// names its request, for the answer to a call that has no ID, such as a reservation.
func TestCopiesBeforeCallsWithoutID(t *testing.T) {
	i := is.New(t)
	const refusal = "HTTP/1.1 503 Refused\r\n" + idHeader + ": refused\r\nContent-Length: 0\r\n\r\n"
	e := listen(t, respondWith(func(id string) string {
		if id == "" {
			return refusal + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhold"
		}
		return refusal
	}))
	x := newExchanger()
	attributions(t, x, e, "refused")
	body, err := exchange(context.Background(), x, e, &exchanger.Request{Method: http.MethodPost, Target: "/reserve", Host: "h"})
	i.NoErr(err)
	i.Equal(body, "hold")
	opened, _ := e.counts()
	i.Equal(opened, 1)
}

// TestResponsesWithSeveralIDs guards against taking the copy of an earlier answer for that to the
// request under way since it names both: what ran was called not run.
func TestResponsesWithSeveralIDs(t *testing.T) {
	named := func(ids ...string) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\n")
		for _, id := range ids {
			fmt.Fprintf(&b, "%s: %s\r\n", idHeader, id)
		}
		b.WriteString("Content-Length: 4\r\n\r\n")
		return b.String()
	}
	t.Run("prove nothing if one is of another request", func(t *testing.T) {
		for _, ids := range [][]string{{"two", "one"}, {"one", "two"}} {
			i := is.New(t)
			e := listen(t, respondWith(func(id string) string {
				if id == "two" {
					return named(ids...) + "both"
				}
				return completeResponse(id, id)
			}))
			all := attributions(t, newExchanger(), e, "one", "two")
			i.True(!all[1].Certain())
		}
	})
	t.Run("prove what they state if all are the same", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return named(id, id) + "both" }))
		all := attributions(t, newExchanger(), e, "one", "two")
		i.True(all[1].Certain())
	})
	t.Run("are skipped before calls without an ID", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string {
			if id == "" {
				return named("unknown", "one") + "copy" + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhold"
			}
			return completeResponse(id, id)
		}))
		x := newExchanger()
		attributions(t, x, e, "one")
		body, err := exchange(context.Background(), x, e, &exchanger.Request{Method: http.MethodPost, Target: "/reserve", Host: "h"})
		i.NoErr(err)
		i.Equal(body, "hold")
	})
}

// TestUnnamedResponsesAfterOthers guards against taking a response without an ID for a proof on a
// new connection that has already carried a response to another request.
func TestUnnamedResponsesAfterOthers(t *testing.T) {
	const refusal = "HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n"
	i := is.New(t)
	e := listen(t, respondWith(func(id string) string { return completeResponse("other", "extra") + refusal + completeResponse(id, id) }))
	all := attributions(t, newExchanger(), e, "one")
	i.Equal(all[0], exchanger.Attribution{Connection: 1, Discarded: 1})
	i.True(!all[0].Certain())
}

// TestCopiesBesideHEAD guards against reading a copy's body as a response: that to HEAD has none,
// whatever its headers say, so that a copy's end isn't known on a connection that carried HEAD.
func TestCopiesBesideHEAD(t *testing.T) {
	const quoted = "HTTP/1.1 503 Refused\r\n" + idHeader + ": two\r\nContent-Length: 0\r\n\r\n"
	head := func(id string) *exchanger.Request {
		return &exchanger.Request{Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{idHeader: {id}}, ID: id}
	}
	withoutBody := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", idHeader, id, length)
	}
	answer := completeResponse("two", quoted)
	cases := []struct {
		name, first, second string
		requests            []*exchanger.Request
	}{
		{"of another request", completeResponse("one", quoted), completeResponse("one", quoted) + withoutBody("two", 4), []*exchanger.Request{request("one"), head("two")}},
		{"itself", withoutBody("one", 60), withoutBody("one", len(answer)-len(quoted)) + answer, []*exchanger.Request{head("one"), request("two")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := listen(t, respondWith(func(id string) string {
				if id == "one" {
					return c.first
				}
				return c.second
			}))
			x := newExchanger()
			_, err := exchange(context.Background(), x, e, c.requests[0])
			is.New(t).NoErr(err)
			_, err = exchange(context.Background(), x, e, c.requests[1])
			assertVerdict(t, err, classifier.VerdictMayHaveRun)
		})
	}
}
