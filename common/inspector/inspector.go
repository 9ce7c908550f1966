// Package inspector reads and checks the heads of HTTP responses. net/http reads more than
// RFC 9110 and RFC 9112 allow: a status of 000, blanks in field names, or fields that contradict
// each other about the end of the body. Such a response isn't the one that its sender meant, so
// that nothing in it can be believed, its body least of all.
//
// # Usage
//
// A client that reads HTTP/1.1 itself reads each head with a Reader:
//
//	reader := inspector.NewReader(conn, 4<<10)
//	response, err := reader.ReadResponse(http.MethodGet)
//
// A client of net/http has a Transport:
//
//	client := &http.Client{Transport: inspector.Transport{Base: http.DefaultTransport}}
//
// Both return an [*Error] for a broken head, and Read of the response's body returns one instead
// of io.EOF for a broken trailer. The sender may have run the request.
//
// # Rules
//
// The status line has the version HTTP/1.0 or higher, but below 2, and a status of three digits
// from 100 to 599, other than 101: no request asks for another protocol. Field names are tokens,
// directly followed by a colon. Neither values nor the reason have control bytes. Transfer-Encoding
// comes without a Content-Length, and not in HTTP/1.0. Whatever is unusual and allowed passes:
// informational responses, an empty reason, folded values, bytes from 0x80 on, lines that end
// in LF.
package inspector

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Part is a part of a response.
type Part string

// Parts that may be broken.
const (
	PartStatusLine Part = "status line"
	PartFieldName  Part = "field name"
	PartFieldValue Part = "field value"
	// PartFraming is what states where the body ends.
	PartFraming Part = "framing"
	PartTrailer Part = "trailer"
)

// Error reports that a part of a response is broken.
type Error struct {
	Part Part
	// Detail is the problem that was found, of a limited length.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response has a broken %s: %s", e.Part, e.Detail)
}

// maxDetail limits the bytes of a Detail, which may quote what the sender chose.
const maxDetail = 200

func broken(p Part, format string, args ...any) *Error {
	detail := fmt.Sprintf(format, args...)
	return &Error{Part: p, Detail: detail[:min(len(detail), maxDetail)]}
}

// IsBroken reports whether err is due to a broken response.
func IsBroken(err error) bool {
	_, ok := errors.AsType[*Error](err)
	return ok
}

// checkTrailer checks the fields of a trailer. Those that were announced only have no values.
func checkTrailer(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return broken(PartTrailer, "field name %q", name)
		}
	}
	return nil
}
