package connector_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Types and flags of HTTP/2 frames.
const (
	frameData     = 0
	frameHeaders  = 1
	frameReset    = 3
	frameSettings = 4
	framePing     = 6
	frameGoAway   = 7

	flagAck        = 1
	flagEndStream  = 1
	flagEndHeaders = 4

	frameHeadBytes = 9
	prefaceBytes   = 24
)

// Error codes of HTTP/2.
const (
	codeNone          = 0
	codeInternal      = 2
	codeRefusedStream = 7
)

// rawConnection is an endpoint's side of a connection of HTTP/2.
type rawConnection struct {
	net.Conn
	endpoint *rawEndpoint
}

// rawEndpoint is an endpoint that speaks HTTP/2 by single frames. It runs each call once it has
// received its whole message.
type rawEndpoint struct {
	runs atomic.Int64
	// second ends the second call, which has run; all others are answered.
	second func(c rawConnection, stream uint32)
}

// startRaw starts the endpoint, and returns a connector and its address.
func startRaw(t *testing.T, e *rawEndpoint) (*connector.Connector, identifier.Address) {
	t.Helper()
	i := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	group := grouper.New(context.Background())
	c := connector.New(connector.Options{})
	t.Cleanup(func() {
		c.Close()
		_ = ln.Close() // ends the goroutine
		group.Stop()
		_ = group.Wait() // its functions return no error
	})
	group.Run(func(context.Context) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			group.Run(func(context.Context) { rawConnection{Conn: conn, endpoint: e}.serve() })
		}
	})
	return c, identifier.Address(ln.Addr().String())
}

// write writes a frame.
func (c rawConnection) write(kind, flags byte, stream uint32, payload []byte) {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	_, _ = c.Write(append(b, payload...)) // a failure ends the next read
}

// serve processes the connection's frames until its end.
func (c rawConnection) serve() {
	defer func() { _ = c.Close() }()
	if _, err := io.ReadFull(c, make([]byte, prefaceBytes)); err != nil {
		return
	}
	c.write(frameSettings, 0, 0, nil)
	for {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:4])>>8)
		if _, err := io.ReadFull(c, payload); err != nil {
			return
		}
		c.handle(head[3], head[4], binary.BigEndian.Uint32(head[5:]), payload)
	}
}

func (c rawConnection) handle(kind, flags byte, stream uint32, payload []byte) {
	switch {
	case (kind == frameSettings || kind == framePing) && flags&flagAck == 0:
		if kind == frameSettings {
			payload = nil
		}
		c.write(kind, flagAck, 0, payload)
	case kind == frameData && flags&flagEndStream != 0:
		if c.endpoint.runs.Add(1) == 2 {
			c.endpoint.second(c, stream)
			return
		}
		c.answer(stream)
	}
}

// answer sends the response to a call, an empty message.
func (c rawConnection) answer(stream uint32) {
	const contentType = "application/proto"
	head := []byte{0x88, 0x0f, 0x10, byte(len(contentType))} // :status 200, content-type
	c.write(frameHeaders, flagEndHeaders, stream, append(head, contentType...))
	c.write(frameData, flagEndStream, stream, nil)
}

func (c rawConnection) reset(stream, code uint32) {
	c.write(frameReset, 0, stream, binary.BigEndian.AppendUint32(nil, code))
}

func (c rawConnection) goAway(last, code uint32) {
	c.write(frameGoAway, 0, 0, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, last), code))
}

// invokeRaw makes a call to a plain service.
func invokeRaw(t *testing.T, c *connector.Connector, a identifier.Address) *classifier.Error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	r := connect.NewRequest(&enginewire.InvokeRequest{Service: "price-lock", Payload: []byte("x")})
	_, err := c.Plain(a).Invoke(ctx, r)
	return converter.FromEndpoint(err)
}

// lastCode is the highest error code of HTTP/2.
const lastCode = 13

// TestCallsAreSentOnce guards against calls that may run once and ran several times, as net/http
// sent them again by itself after their streams were reset. All endpoints here run the call, so
// that those which refuse it lie.
func TestCallsAreSentOnce(t *testing.T) {
	for code := range uint32(lastCode + 1) {
		want := classifier.VerdictMayHaveRun
		if code == codeRefusedStream {
			want = classifier.VerdictNotRun
		}
		t.Run(fmt.Sprintf("reset with code %d", code), func(t *testing.T) {
			assertSentOnce(t, want, func(c rawConnection, stream uint32) { c.reset(stream, code) })
		})
	}
	cases := []struct {
		name   string
		want   classifier.Verdict
		second func(c rawConnection, stream uint32)
	}{
		{"GOAWAY that excludes it", classifier.VerdictNotRun, func(c rawConnection, stream uint32) { c.goAway(stream-1, codeNone) }},
		{"GOAWAY with an error, which excludes it", classifier.VerdictNotRun, func(c rawConnection, stream uint32) { c.goAway(stream-1, codeInternal) }},
		{"GOAWAY that includes it", classifier.VerdictMayHaveRun, func(c rawConnection, stream uint32) { c.goAway(stream, codeNone); _ = c.Close() }},
		{"the end of the connection", classifier.VerdictMayHaveRun, func(c rawConnection, _ uint32) { _ = c.Close() }},
		{"a reset of the connection", classifier.VerdictMayHaveRun, func(c rawConnection, _ uint32) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() }},
		{"no answer until a deadline", classifier.VerdictMayHaveRun, func(rawConnection, uint32) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertSentOnce(t, c.want, c.second) })
	}
}

// assertSentOnce checks the verdict and the runs of a call that ends in the given way, after one
// that is answered.
func assertSentOnce(t *testing.T, want classifier.Verdict, second func(c rawConnection, stream uint32)) {
	t.Helper()
	i := is.New(t)
	e := &rawEndpoint{second: second}
	c, address := startRaw(t, e)
	i.True(invokeRaw(t, c, address) == nil)
	failure := invokeRaw(t, c, address)
	i.True(failure != nil)
	i.Equal(failure.Verdict, want)
	i.Equal(e.runs.Load(), int64(2)) // each call once
}

// TestCallsAfterGoAway checks that a call which was not sent on a connection that goes away is
// sent on another one.
func TestCallsAfterGoAway(t *testing.T) {
	i := is.New(t)
	e := &rawEndpoint{second: func(c rawConnection, stream uint32) {
		c.answer(stream)
		c.goAway(stream, codeNone)
	}}
	c, address := startRaw(t, e)
	for range 20 {
		i.True(invokeRaw(t, c, address) == nil)
	}
	i.Equal(e.runs.Load(), int64(20))
}
