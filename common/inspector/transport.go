package inspector

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Transport checks the responses that another transport has read, of HTTP/1.1 or HTTP/2. What
// net/http drops when it reads a head, it can't check: informational responses, and a
// Content-Length beside Transfer-Encoding in HTTP/1.1.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return checked(t.Base.RoundTrip(r))
}

// Doer sends requests, as an http.Client does.
type Doer interface {
	Do(r *http.Request) (*http.Response, error)
}

// Client is a Doer that checks the responses of another one, as Transport does.
type Client struct {
	Base Doer
}

// Do implements Doer.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	return checked(c.Base.Do(r))
}

// checked returns a response if it is sound, and its trailer too, which is checked as it arrives.
func checked(r *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := checkParsed(r); err != nil {
		_ = r.Body.Close() // nothing of it is used
		return nil, err
	}
	r.Body = &body{ReadCloser: r.Body, response: r}
	return r, nil
}

// checkParsed checks a head that net/http, or another implementation, has read. HTTP/2 has a status
// without a line.
func checkParsed(r *http.Response) error {
	status, _, _ := strings.Cut(cmp.Or(r.Status, strconv.Itoa(r.StatusCode)), " ")
	if problem := statusProblem(status); problem != "" {
		return broken(PartStatusLine, "%s in %q", problem, status)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return broken(PartFieldName, "%q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return broken(PartFieldValue, "of the field %q", name)
			}
		}
	}
	return nil
}
