// Package fingerprinter computes what repeats of a request have in common, although each has an ID
// of its own, without keeping what the request holds.
//
// # Usage
//
//	f := fingerprinter.Of(fingerprinter.Request{
//		Method: "GET", Host: "quotes.example", Target: "/quotes/2?page=1", Body: body,
//		Caller: []string{address, authorization, cookie},
//	})
//	f.Request // equal for all requests with that method, host, target, prompt and body
//	f.Caller  // equal for those of them that are from one caller
//
// # Two identities
//
// What names a caller differs between deployments, and some of it may change with each repeat,
// such as a token. A fingerprint without the caller finds such repeats too; the one with the
// caller tells them apart from equal requests of other callers.
//
// # Privacy and collisions
//
// A fingerprint is a part of a SHA-256 digest, so that it may appear in logs, and nobody can
// find another request with the same one.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Request is what a fingerprint depends on.
type Request struct {
	Method string
	// Host is the host that the caller addressed, in any case.
	Host string
	// Target is the request target with its query.
	Target string
	// Prompt names all parts of the prompt; empty for plain requests.
	Prompt string
	Body   []byte
	// Caller has what names the caller, in a fixed order.
	Caller []string
}

// Fingerprints are a request's fingerprints.
type Fingerprints struct {
	// Request doesn't depend on the caller, Caller does.
	Request, Caller identifier.Fingerprint
}

// digestBytes is the length of a fingerprint before it is encoded.
const digestBytes = 16

// Of returns the fingerprints of a request.
func Of(r Request) Fingerprints {
	request := digest(fields(r.Method, strings.ToLower(r.Host), r.Target, r.Prompt), r.Body)
	caller := digest(fields(append([]string{string(request)}, r.Caller...)...))
	return Fingerprints{Request: request, Caller: caller}
}

// fields encodes texts with their lengths, so that no two lists of texts look the same.
func fields(all ...string) []byte {
	var b []byte
	for _, text := range all {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b
}

// digest returns the fingerprint of all parts, one after the other. A large one isn't copied.
func digest(parts ...[]byte) identifier.Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(p) // never fails
	}
	return identifier.Fingerprint(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
