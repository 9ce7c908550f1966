package exchanger_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

// countingServer reads connections to their ends and sends the number of bytes of each.
func countingServer(t *testing.T) (identifier.Address, <-chan int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	received := make(chan int64, 1)
	group := grouper.New(context.Background())
	group.Run(func(context.Context) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, c) // ends with the connection
			_ = c.Close()
			received <- n
		}
	})
	t.Cleanup(func() {
		_ = ln.Close() // ends the goroutine
		_ = group.Wait()
	})
	return identifier.Address(ln.Addr().String()), received
}

// abortTrials is the number of requests that TestVerdictOfAbortedRequests aborts for each size.
const abortTrials = 100

// TestVerdictOfAbortedRequests guards against requests that were called not-run though bytes of
// them had been sent, when their context ended before, while or after they were written.
func TestVerdictOfAbortedRequests(t *testing.T) {
	for _, size := range []int{0, 3 << 10, 64 << 10, 8 << 20} { // in one piece, and in several
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			i := is.New(t)
			address, received := countingServer(t)
			r := request("q")
			r.Method, r.Body = "POST", make([]byte, size)
			unsent := 0
			for n := range abortTrials {
				ctx, cancel := context.WithCancel(t.Context())
				r.Commit = func() error { // the connection is open by now
					if n%4 == 0 {
						cancel()
						return nil
					}
					time.AfterFunc(time.Duration(rand.IntN(400))*time.Microsecond, cancel)
					return nil
				}
				_, err := exchanger.New(exchanger.Options{}).Send(ctx, address, r)
				cancel()
				bytes := <-received
				if classifier.VerdictOf(err) == classifier.VerdictNotRun {
					unsent++
					i.Equal(bytes, int64(0))
				}
			}
			t.Logf("%d of %d were not sent", unsent, abortTrials)
		})
	}
}

// failingConn is a connection that fails after a number of bytes.
type failingConn struct {
	net.Conn
	left int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n := min(c.left, len(b))
	c.left -= n
	if n < len(b) {
		return n, errors.New("connection failed")
	}
	return n, nil
}

func (c *failingConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestVerdictOfFailedWrites guards against a request that is called not-run after a part of it.
func TestVerdictOfFailedWrites(t *testing.T) {
	for _, size := range []int{0, 64 << 10} {
		for sent, want := range map[int]classifier.Verdict{0: classifier.VerdictNotRun, 1: classifier.VerdictMayHaveRun, 30: classifier.VerdictMayHaveRun} {
			t.Run(fmt.Sprintf("%d bytes of a request with %d", sent, size), func(t *testing.T) {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				x := exchanger.New(exchanger.Options{Dial: func(context.Context, string) (net.Conn, error) {
					return &failingConn{Conn: near, left: sent}, nil
				}})
				r := request("q")
				r.Method, r.Body = "POST", make([]byte, size)
				_, err := x.Send(t.Context(), "endpoint", r)
				assertVerdict(t, err, want)
			})
		}
	}
}
