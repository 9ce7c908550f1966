//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	connectTimeout = time.Second
	// answerMargin is how long after its deadline a caller waits for the end of an answer.
	answerMargin = time.Second
)

// Request is a caller's request. It is sent once, on a connection of its own.
type Request struct {
	Method, Host, Path, ID, Body string
	Deadline                     time.Duration
	Header                       http.Header
}

// Answer is what the caller saw.
type Answer struct {
	// Sent is when the last byte was sent; zero if the request wasn't sent as a whole.
	Sent, Ended time.Time
	// Status is 0 if there was no answer.
	Status int
	Header http.Header
	Body   string
	// Complete is set if the answer was received to its end.
	Complete bool
	Err      error
}

// Send sends a request to a host and waits for the answer.
func Send(to identifier.Address, q *Request) *Answer {
	a := &Answer{}
	defer func() { a.Ended = time.Now() }()
	raw, err := net.DialTimeout("tcp", string(to), connectTimeout)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = raw.Close() }()
	if _, err := io.WriteString(raw, q.text()); err != nil {
		a.Err = err
		return a
	}
	a.Sent = time.Now()
	_ = raw.SetReadDeadline(a.Sent.Add(q.Deadline + answerMargin)) // reads fail if the connection has ended
	response, err := http.ReadResponse(bufio.NewReader(raw), &http.Request{Method: q.Method})
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.Status, a.Header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	return a
}

func (q *Request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	for name, values := range q.Header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	return b.String() + "Connection: close\r\n\r\n" + q.Body
}
