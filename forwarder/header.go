package forwarder

import (
	"net/http"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection and
// must not be forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Host",
}

// endToEndHeader returns a copy of h without hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		kept.Del(name)
	}
	return kept
}

// copyHeader copies the end-to-end header fields of an endpoint's response to the
// response to the caller.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents content sniffing
	}
}
