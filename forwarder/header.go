package forwarder

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Host",
}

// endToEnd copies the fields that travel beyond one connection.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// copyHead sets the head of a caller's answer to that of an endpoint's.
func copyHead(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // or it would be guessed from the body
	}
}
