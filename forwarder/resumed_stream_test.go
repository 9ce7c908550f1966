package forwarder

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/exchanger"
)

// TestResumptionsThatAreNoStream guards against streams that broke off and ended as if they were
// complete, or with foreign text in them, as the next engine answered with something else.
func TestResumptionsThatAreNoStream(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	text := "Internal error: no such model\n\n"
	withLength := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	answers := map[string]string{
		"an error":                            withLength("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n", text),
		"an error that looks like a stream":   withLength("HTTP/1.1 404 Not Found\r\nContent-Type: text/event-stream\r\n", middleEvent),
		"a redirect":                          withLength("HTTP/1.1 302 Found\r\nLocation: /\r\n", ""),
		"no content":                          "HTTP/1.1 204 No Content\r\n\r\n",
		"partial content":                     withLength("HTTP/1.1 206 Partial Content\r\nContent-Type: text/event-stream\r\n", middleEvent),
		"text":                                withLength("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", text),
		"JSON":                                withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"error":"no such model"}`),
		"a type that can't be read":           withLength("HTTP/1.1 200 OK\r\nContent-Type: ;;\r\n", text),
		"text as a stream":                    withLength(events, text),
		"a head as a stream":                  withLength(events, "HTTP/1.1 500 Internal Server Error\n\n"+text),
		"text after an event":                 withLength(events, middleEvent+text),
		"data without an id":                  withLength(events, "data: middle\n\n"),
		"an id that is no number":             withLength(events, "id: next\ndata: middle\n\n"),
		"events without order":                withLength(events, finalEvent+"id: 2\ndata: middle\n\n"),
		"text in chunks":                      events + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(text), text) + lastChunk,
		"text that ends with its connection":  events + "\r\n" + text,
		"an empty stream without any framing": events + "\r\n",
	}
	header, _ := frame(exchanger.FramingConnection, "")
	broken := sendsRaw(header+firstEvent+"id: 2\nda", endsWithClose)
	for name, raw := range answers {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			got := receive(t, startEngines(t, zap.NewNop(), broken, sendsRaw(raw, endsWithClose)))
			i.Equal(got.status, http.StatusOK)
			i.True(!got.complete)
			i.True(got.body == firstEvent || got.body == firstEvent+middleEvent || got.body == firstEvent+finalEvent)
		})
	}
	t.Run("comments are sound", func(t *testing.T) {
		got := receive(t, startEngines(t, zap.NewNop(), broken, sendsRaw(withLength(events, ": ping\n\n"+middleEvent+": ping\n\n"+finalEvent), endsWithClose)))
		is.New(t).Equal(got, received{status: http.StatusOK, body: firstEvent + ": ping\n\n" + middleEvent + ": ping\n\n" + finalEvent, complete: true})
	})
	t.Run("ids need not be numbers", func(t *testing.T) {
		const first, next = "id: a\ndata: first\n\n", "id: b\ndata: last\n\n"
		got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+first+"da", endsWithClose), sendsRaw(withLength(events, next), endsWithClose)))
		is.New(t).Equal(got, received{status: http.StatusOK, body: first + next, complete: true})
	})
	t.Run("a stream whose events had all been sent is complete", func(t *testing.T) {
		all := sendsRaw(header+wholeStream+"da", endsWithClose)
		got := receive(t, startEngines(t, zap.NewNop(), all, sendsRaw(withLength(events, ""), endsWithClose)))
		is.New(t).Equal(got, received{status: http.StatusOK, body: wholeStream, complete: true})
	})
}
