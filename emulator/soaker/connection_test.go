package soaker

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// exchangeWith returns the outcome of a request to a host that answers with raw bytes.
func exchangeWith(t *testing.T, text string) outcome {
	t.Helper()
	i := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		i.NoErr(err)
		_, _ = io.WriteString(raw, text) // the outcome shows a failure
		_ = raw.Close()
	}))
	defer server.Close()
	k, err := connect(identifier.Address(server.Listener.Addr().String()))
	i.NoErr(err)
	defer k.close()
	o := outcome{id: "a", path: "/locks/"}
	k.exchange(&o, 0)
	return o
}

// TestResponsesOfHosts guards against a soak that takes a host's broken response for an answer.
func TestResponsesOfHosts(t *testing.T) {
	t.Run("a sound one", func(t *testing.T) {
		i := is.New(t)
		o := exchangeWith(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		i.True(o.complete)
		i.NoErr(o.broken)
		i.Equal(o.body, "body")
	})
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody",
		"a field name":       "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 4\r\n\r\nbody",
		"the trailer's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			o := exchangeWith(t, text)
			i.True(!o.complete)
			i.True(o.broken != nil)
		})
	}
}
