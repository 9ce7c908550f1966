package connector_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// decodedMessages is the number of messages of a decode, the last one of which marks
// its end.
const decodedMessages = 3

// decodingEngine streams a decode.
type decodingEngine struct {
	enginewireconnect.UnimplementedEngineServiceHandler
}

func (decodingEngine) Decode(_ context.Context, _ *connect.Request[enginewire.DecodeRequest], s *connect.ServerStream[enginewire.DecodeResponse]) error {
	for n := range uint32(decodedMessages) {
		m := &enginewire.DecodeResponse{TokenOffset: n, Tokens: 1, Text: "text", Done: n == decodedMessages-1}
		if err := s.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// cutWriter forwards the first left bytes of a body. If capture is not nil, it gets all
// of them instead.
type cutWriter struct {
	http.ResponseWriter
	left    int
	capture *bytes.Buffer
}

func (c *cutWriter) Write(b []byte) (int, error) {
	if c.capture != nil {
		return c.capture.Write(b)
	}
	part := b[:min(c.left, len(b))]
	c.left -= len(part)
	if _, err := c.ResponseWriter.Write(part); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *cutWriter) Flush() {
	_ = http.NewResponseController(c.ResponseWriter).Flush() // a client that has left needs none
}

// decodeCutAfter reads a decode whose HTTP response ends properly after some bytes of its
// body, and returns the number of messages, whether the last one was among them, and
// the error of the stream.
func decodeCutAfter(t *testing.T, wrap func(http.ResponseWriter) http.ResponseWriter) (messages int, done bool, err error) {
	t.Helper()
	path, handler := enginewireconnect.NewEngineServiceHandler(decodingEngine{})
	c, address := startEndpoint(t, path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(wrap(w), r)
	}))
	stream, err := c.Engine(address).Decode(t.Context(), connect.NewRequest(&enginewire.DecodeRequest{}))
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = stream.Close() }() // the stream has ended
	for stream.Receive() {
		messages++
		done = done || stream.Msg().GetDone()
	}
	return messages, done, stream.Err()
}

// Guards against a stream of an engine that is broken off, though HTTP ends it properly,
// and looks complete.
func TestBrokenOffStreams(t *testing.T) {
	var whole bytes.Buffer
	_, _, _ = decodeCutAfter(t, func(w http.ResponseWriter) http.ResponseWriter {
		return &cutWriter{ResponseWriter: w, capture: &whole}
	}) // nothing arrives
	if whole.Len() == 0 {
		t.Fatal("engine sent nothing")
	}
	cut := func(t *testing.T, after int) (int, bool, error) {
		return decodeCutAfter(t, func(w http.ResponseWriter) http.ResponseWriter {
			return &cutWriter{ResponseWriter: w, left: after}
		})
	}
	t.Run("a whole stream is complete", func(t *testing.T) {
		i := is.New(t)
		messages, done, err := cut(t, whole.Len())
		i.NoErr(err)
		i.True(done)
		i.Equal(messages, decodedMessages)
	})
	previous := 0
	for after := range whole.Len() {
		t.Run(fmt.Sprintf("cut after %d bytes", after), func(t *testing.T) {
			i := is.New(t)
			messages, done, err := cut(t, after)
			i.True(err != nil)
			i.True(!done || messages == decodedMessages)
			i.True(messages >= previous) // each whole message is delivered
			previous = messages
		})
	}
	is.New(t).Equal(previous, decodedMessages) // only the stream's own end was missing
}
