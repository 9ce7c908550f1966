package inspector_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"github.com/jackdawthread/jackdawthread/common/inspector"
)

const bufferBytes = 64

const soundHead = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n"

func read(r io.Reader) (*http.Response, error) {
	return inspector.NewReader(r, bufferBytes).ReadResponse(http.MethodGet)
}

// assertPart checks which part of a response is reported as broken.
func assertPart(t *testing.T, err error, part inspector.Part) {
	t.Helper()
	e, ok := errors.AsType[*inspector.Error](err)
	if !ok || e.Part != part {
		t.Errorf("error %v, not of the %s", err, part)
	}
}

// TestEarlyErrors guards against waiting for the rest of a head, which may never come, once a part
// of it is broken.
func TestEarlyErrors(t *testing.T) {
	for text, part := range map[string]inspector.Part{
		"HTTP/1.1 000 X\n":            inspector.PartStatusLine,
		"HTTP/1.1 200 OK\nX A":        inspector.PartFieldName,
		"HTTP/1.1 200 OK\nX-A: a\x00": inspector.PartFieldValue,
	} {
		t.Run(text, func(t *testing.T) {
			_, err := read(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errors.New("read on"))))
			assertPart(t, err, part)
		})
	}
}

// TestBytesAfterAHead guards against a body, or the next head, that is judged as a part of a head.
func TestBytesAfterAHead(t *testing.T) {
	i := is.New(t)
	r := inspector.NewReader(strings.NewReader(soundHead+"\x00 : "+soundHead+"\x01\x02\x03\x04HTTP/1.1 000\r\n\r\n"), 4<<10)
	for _, want := range []string{"\x00 : ", "\x01\x02\x03\x04"} {
		response, err := r.ReadResponse(http.MethodGet)
		i.NoErr(err)
		body, err := io.ReadAll(response.Body)
		i.NoErr(err)
		i.Equal(string(body), want)
	}
	_, err := r.ReadResponse(http.MethodGet)
	assertPart(t, err, inspector.PartStatusLine)
}

// TestCutHeads guards against the end of a connection that is reported as a broken response.
func TestCutHeads(t *testing.T) {
	for cut := range len(soundHead) {
		_, err := read(strings.NewReader(soundHead[:cut]))
		if err == nil || inspector.IsBroken(err) {
			t.Errorf("%q: error %v", soundHead[:cut], err)
		}
	}
}

// TestLongDetails guards against log lines as long as a sender likes.
func TestLongDetails(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("Content-Length: 1\r\n", 1000) + "Content-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a", 10_000) + " : 1\r\n\r\n",
		"HTTP/1.1 " + strings.Repeat("0", 10_000) + "\r\n\r\n",
	} {
		i := is.New(t)
		_, err := read(strings.NewReader(text))
		i.True(inspector.IsBroken(err))
		i.True(len(err.Error()) < 300)
	}
}

// FuzzReadResponse checks that what is accepted is allowed, is what net/http reads, and doesn't
// depend on the parts in which it arrives.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		soundHead, "HTTP/1.0 404\n\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n\r\n", "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + soundHead,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX A: b\r\n\r\n", "HTTP/1.1 200 OK\r\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		i := is.New(t)
		response, err := read(bytes.NewReader(text))
		_, slowErr := read(iotest.OneByteReader(bytes.NewReader(text)))
		i.Equal(err == nil, slowErr == nil)
		if err != nil {
			return
		}
		i.True(response.StatusCode >= 100 && response.StatusCode < 600 && response.StatusCode != http.StatusSwitchingProtocols)
		assertFields(t, response.Header)
		plain, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		i.NoErr(err)
		i.Equal(response.Header, plain.Header)
		i.Equal(response.ContentLength, plain.ContentLength)
		i.Equal(response.TransferEncoding, plain.TransferEncoding)
		if _, err := io.ReadAll(response.Body); err == nil {
			assertFields(t, response.Trailer)
		}
	})
}

// assertFields checks the names and values of fields.
func assertFields(t *testing.T, h http.Header) {
	t.Helper()
	for name, values := range h {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				t.Errorf("field %q: %q", name, v)
			}
		}
	}
}
