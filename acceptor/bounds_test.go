package acceptor_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/budgeter"
)

// startBounded is startServer with bounds. No connection has been accepted before.
func startBounded(t *testing.T, h http.Handler, b acceptor.Bounds) *server {
	t.Helper()
	accept, held, release := holdNth(1)
	s := startServer(t, h, &gate{accept: accept})
	await(t, held)
	s.acceptor.Bound(b)
	release()
	return s
}

func (c *caller) write(text string) {
	_, err := fmt.Fprint(c.conn, text)
	c.is.NoErr(err)
}

// assertRefused checks that the request was refused with the status, and that the
// connection ends.
func (c *caller) assertRefused(status int) {
	c.is.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	c.is.Equal(response.StatusCode, status)
	c.is.Equal(response.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
	c.assertEnded()
}

// awaitBytes waits until the account has n bytes for heads.
func awaitBytes(t *testing.T, b *budgeter.Budgeter, done func(heads int64) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(b.Stats().Kinds[budgeter.KindHead].Bytes); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("heads have %d bytes", b.Stats().Kinds[budgeter.KindHead].Bytes)
		}
	}
}

func isZero(n int64) bool     { return n == 0 }
func isPositive(n int64) bool { return n > 0 }

// Heads without end, and heads of many short lines.
func TestHeads(t *testing.T) {
	t.Run("are refused over the limit", func(t *testing.T) {
		s := startBounded(t, answer, acceptor.Bounds{HeadBytes: 1000})
		c := s.call(t)
		c.write("GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 300))
		c.assertRefused(http.StatusRequestHeaderFieldsTooLarge)
		is.New(t).Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonHeadTooLarge})
	})
	t.Run("are counted while they are read and served", func(t *testing.T) {
		memory := budgeter.New(budgeter.Options{Limit: 1 << 20})
		running, finish := make(chan struct{}, 1), make(chan struct{})
		s := startBounded(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-finish
		}), acceptor.Bounds{Memory: memory})
		c := s.call(t)
		c.write("GET / HTTP/1.1\r\n")
		awaitBytes(t, memory, isPositive)
		before := memory.Stats().Kinds[budgeter.KindHead].Bytes
		c.write("Host: test.example\r\n" + strings.Repeat("a: b\r\n", 100) + "\r\n")
		await(t, running)
		is.New(t).True(memory.Stats().Kinds[budgeter.KindHead].Bytes > before+100*100)
		finish <- struct{}{}
		c.assertAnswered(false)
		awaitBytes(t, memory, isZero)
		is.New(t).NoErr(c.conn.Close())
		for end := time.Now().Add(testTimeout); memory.Stats().Bytes > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.New(t).Equal(memory.Stats().Bytes, int64(0))
	})
	t.Run("are refused as not run if there is no room for their lines", func(t *testing.T) {
		s := startBounded(t, answer, acceptor.Bounds{Memory: budgeter.New(budgeter.Options{Limit: 100 << 10})})
		c := s.call(t)
		c.write("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n")
		c.assertRefused(http.StatusServiceUnavailable)
		is.New(t).Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonMemory})
		ordinary := s.call(t)
		ordinary.send()
		ordinary.assertAnswered(false)
	})
	t.Run("that came with the request before them are counted too", func(t *testing.T) {
		memory := budgeter.New(budgeter.Options{Limit: 100 << 10})
		s := startBounded(t, answer, acceptor.Bounds{Memory: memory})
		c := s.call(t)
		head := "GET / HTTP/1.1\r\nHost: test.example\r\n"
		c.write(head + "\r\n" + head + strings.Repeat("a:\r\n", 900) + "\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		c.is.NoErr(err)
		c.is.Equal(response.StatusCode, http.StatusOK)
		c.assertRefused(http.StatusServiceUnavailable)
	})
}

// More connections than there are descriptors for.
func TestCrowd(t *testing.T) {
	// callUntilAnswered calls again while it is refused for lack of room: a connection that was asked
	// to end may need longer for that than a new one waits. It returns the number of refusals.
	callUntilAnswered := func(t *testing.T, s *server) (refusals int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; refusals++ {
			c := s.call(t)
			c.send()
			response, err := http.ReadResponse(c.reader, nil)
			s.is.NoErr(err)
			s.is.NoErr(response.Body.Close())
			if response.StatusCode == http.StatusOK {
				return refusals
			}
			s.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			s.is.True(time.Now().Before(end))
		}
	}
	// patience is more than the time that connections are given.
	const patience = 1100 * time.Millisecond
	t.Run("one that never had a request ends first, then the one idle longest", func(t *testing.T) {
		s := startBounded(t, answer, acceptor.Bounds{Connections: 2})
		kept, silent := s.call(t), s.call(t)
		kept.send()
		kept.assertAnswered(false)
		time.Sleep(patience)
		refusals := callUntilAnswered(t, s)
		silent.assertEnded()
		refusals += callUntilAnswered(t, s)
		kept.assertEnded() // without an answer that the caller didn't ask for
		ended := slices.DeleteFunc(s.reasons(), func(r acceptor.Reason) bool { return r == acceptor.ReasonRefused })
		s.is.Equal(ended, []acceptor.Reason{acceptor.ReasonCrowded, acceptor.ReasonCrowded})
		s.is.Equal(len(s.reasons()), len(ended)+refusals)
	})
	t.Run("one that sends a head slowly ends with a refusal", func(t *testing.T) {
		s := startBounded(t, answer, acceptor.Bounds{Connections: 1})
		slow := s.call(t)
		slow.write("GET / HTTP/1.1\r\n")
		time.Sleep(patience)
		callUntilAnswered(t, s)
		slow.assertRefused(http.StatusServiceUnavailable)
	})
	t.Run("one without a request gives way to a body that needs its memory", func(t *testing.T) {
		memory := budgeter.New(budgeter.Options{Limit: 100 << 10})
		s := startBounded(t, answer, acceptor.Bounds{Memory: memory})
		idle := s.call(t)
		idle.send()
		idle.assertAnswered(false)
		time.Sleep(patience)
		body := memory.Open(budgeter.KindBody, time.Now(), nil)
		s.is.True(body.Take(100<<10, time.Now()) != nil)
		idle.assertEnded()
		freed := memory.Freed()
		for memory.Stats().Bytes > 0 {
			await(t, freed)
			freed = memory.Freed()
		}
		s.is.NoErr(body.Take(100<<10, time.Now()))
	})
	t.Run("a new one is refused while all have requests", func(t *testing.T) {
		running, finish := make(chan struct{}, 1), make(chan struct{})
		s := startBounded(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-finish
		}), acceptor.Bounds{Connections: 1})
		busy := s.call(t)
		busy.send()
		await(t, running)
		s.call(t).assertRefused(http.StatusServiceUnavailable)
		finish <- struct{}{}
		busy.assertAnswered(false)
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonRefused})
	})
}
