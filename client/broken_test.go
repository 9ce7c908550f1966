package client_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// notRun is a body that states that the request has not run.
func notRun(t *testing.T) string {
	t.Helper()
	detail := &callerwire.FailureDetail{Verdict: callerwire.Verdict_VERDICT_NOT_RUN, Reason: string(classifier.ReasonQueueFull)}
	value, err := proto.Marshal(detail)
	is.New(t).NoErr(err)
	return fmt.Sprintf(`{"code":"resource_exhausted","details":[{"type":%q,"value":%q}]}`,
		detail.ProtoReflect().Descriptor().FullName(), base64.RawStdEncoding.EncodeToString(value))
}

// callAnswer is a body that answers a call.
func callAnswer(t *testing.T, id identifier.Request) string {
	t.Helper()
	value, err := proto.Marshal(&callerwire.CallResponse{RequestId: string(id), Payload: []byte("payload")})
	is.New(t).NoErr(err)
	return string(value)
}

// callRaw makes a call to a host that answers with raw bytes.
func callRaw(t *testing.T, id identifier.Request, text string) ([]byte, error) {
	t.Helper()
	i := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		i.NoErr(err)
		raw, _, err := http.NewResponseController(w).Hijack()
		i.NoErr(err)
		_, _ = io.WriteString(raw, text) // the client sees a failure
		_ = raw.Close()
	}))
	t.Cleanup(server.Close)
	c, err := client.New(client.Options{Addresses: []string{server.URL}, Customer: "dealer"})
	i.NoErr(err)
	return c.Call(t.Context(), client.CallRequest{ID: id, Service: "desk"})
}

// response returns the text of a response.
func response(line, contentType, body string) string {
	return fmt.Sprintf("%s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", line, contentType, len(body), body)
}

// TestBrokenResponses guards against a response that is broken and that the client takes for an
// answer, or for a statement that the request has not run.
func TestBrokenResponses(t *testing.T) {
	const id = "q1"
	t.Run("sound ones are an answer and a refusal", func(t *testing.T) {
		i := is.New(t)
		payload, err := callRaw(t, id, response("HTTP/1.1 200 OK", "application/proto", callAnswer(t, id)))
		i.NoErr(err)
		i.Equal(string(payload), "payload")
		_, err = callRaw(t, id, response("HTTP/1.1 429 Too Many Requests", "application/json", notRun(t)))
		i.Equal(classifier.Of(err).Verdict, classifier.VerdictNotRun)
	})
	for name, line := range map[string]string{
		"status 000": "HTTP/1.1 000 Trouble", "status +20": "HTTP/1.1 +20 OK", "status 999": "HTTP/1.1 999 Odd",
		"a blank in a field name":              "HTTP/1.1 429 Too Many Requests\r\nX A: 1",
		"a blank after the name of the coding": "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding : chunked",
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, err := callRaw(t, id, response(line, "application/json", notRun(t)))
			i.True(err != nil)
			i.Equal(classifier.Of(err).Verdict, classifier.VerdictMayHaveRun)
		})
	}
	t.Run("a blank in a field name of an answer", func(t *testing.T) {
		_, err := callRaw(t, id, response("HTTP/1.1 200 OK\r\nX A: 1", "application/proto", callAnswer(t, id)))
		is.New(t).True(err != nil)
	})
}
