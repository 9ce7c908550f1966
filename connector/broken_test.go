package connector_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Literal fields of HPACK are not indexed and have a name of the static table, or one of their
// own.
const (
	indexStatus     = 0x08
	literalWithName = 0x00
)

// field encodes a header field for HTTP/2.
func field(name, value string) []byte {
	b := []byte{literalWithName, byte(len(name))}
	if name == ":status" {
		b = []byte{indexStatus}
	} else {
		b = append(b, name...)
	}
	return append(append(b, byte(len(value))), value...)
}

// refusal is a body that states that the call has not run.
func refusal(t *testing.T) string {
	t.Helper()
	detail, err := proto.Marshal(&enginewire.RefusalDetail{Reason: "memory-full"})
	is.New(t).NoErr(err)
	name := (&enginewire.RefusalDetail{}).ProtoReflect().Descriptor().FullName()
	return fmt.Sprintf(`{"code":"unavailable","details":[{"type":%q,"value":%q}]}`, name, base64.RawStdEncoding.EncodeToString(detail))
}

// failureOf returns the error of a call that is answered with a head, of a block of fields each,
// and a body.
func failureOf(t *testing.T, body string, blocks ...[]byte) *classifier.Error {
	t.Helper()
	i := is.New(t)
	e := &rawEndpoint{second: func(c rawConnection, stream uint32) {
		for _, b := range blocks {
			c.write(frameHeaders, flagEndHeaders, stream, b)
		}
		c.write(frameData, flagEndStream, stream, []byte(body))
	}}
	c, address := startRaw(t, e)
	i.True(invokeRaw(t, c, address) == nil)
	return invokeRaw(t, c, address)
}

func head(status, contentType string, more ...[]byte) []byte {
	b := append(field(":status", status), field("content-type", contentType)...)
	for _, f := range more {
		b = append(b, f...)
	}
	return b
}

// inBroken returns how the error of a broken status names it. HTTP/2 itself knows 101 as a status
// that isn't final.
func inBroken(status string) string {
	if status == "101" {
		return ""
	}
	return "broken status line"
}

// TestBrokenResponses guards against a response of HTTP/2 that is broken and counts as an answer, or
// as a statement that the call has not run.
func TestBrokenResponses(t *testing.T) {
	assertFailed := func(t *testing.T, failure *classifier.Error, part string) {
		t.Helper()
		if failure == nil {
			t.Fatal("accepted")
		}
		is.New(t).Equal(failure.Verdict, classifier.VerdictMayHaveRun)
		if !strings.Contains(failure.Error(), part) {
			t.Errorf("error doesn't name the %s: %v", part, failure)
		}
	}
	for _, status := range []string{"000", "001", "099", "+200", "0200", "20", "2000", "600", "999", "101"} {
		t.Run("status "+status, func(t *testing.T) {
			assertFailed(t, failureOf(t, "", head(status, "application/proto")), inBroken(status))
		})
		t.Run("status "+status+" with a refusal", func(t *testing.T) {
			assertFailed(t, failureOf(t, refusal(t), head(status, "application/json")), inBroken(status))
		})
	}
	t.Run("a refusal with a sound status is one", func(t *testing.T) {
		failure := failureOf(t, refusal(t), head("503", "application/json"))
		is.New(t).Equal(failure.Verdict, classifier.VerdictNotRun)
	})
	for _, name := range []string{"x a", "x-a ", "x\x01a", "X-A", ""} {
		t.Run(fmt.Sprintf("field name %q", name), func(t *testing.T) {
			assertFailed(t, failureOf(t, "", head("200", "application/proto", field(name, "1"))), "")
		})
		t.Run(fmt.Sprintf("field name %q in an informational response", name), func(t *testing.T) {
			early := append(field(":status", "103"), field(name, "1")...)
			assertFailed(t, failureOf(t, "", early, head("200", "application/proto")), "")
		})
	}
	t.Run("informational responses without end", func(t *testing.T) {
		var blocks [][]byte
		early := append(field(":status", "103"), bytes.Repeat(field("link", strings.Repeat("a", 100)), 10)...)
		for range 100 { // 100 KB
			blocks = append(blocks, early)
		}
		assertFailed(t, failureOf(t, "", append(blocks, head("200", "application/proto"))...), "")
	})
	t.Run("a body that is shorter than its length", func(t *testing.T) {
		assertFailed(t, failureOf(t, "", head("200", "application/proto", field("content-length", "4"))), "")
	})
	t.Run("informational responses before a sound one", func(t *testing.T) {
		early := append(field(":status", "103"), field("link", "</a>")...)
		is.New(t).True(failureOf(t, "", early, early, head("200", "application/proto")) == nil)
	})
	t.Run("a status without a meaning is an error of the endpoint", func(t *testing.T) {
		assertFailed(t, failureOf(t, "", head("299", "application/proto")), "299")
	})
}
