package exchanger

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// Attribution is what relates a response to its request. HTTP/1.1 pairs them by their order
// only, which an endpoint that sends a response too many breaks.
type Attribution struct {
	// Connection is the connection's number in this process, from 1.
	Connection uint64
	// Earlier is the number of requests that the connection carried before this one.
	Earlier int
	// Avoided is the number of idle connections that were not used, as they had carried the
	// request's ID.
	Avoided int
	// Discarded is the number of responses to other requests that arrived before this one.
	Discarded int
	// Named is set if the response states the request's ID, and no other.
	Named bool
}

// Certain reports whether nothing that the connection carried before can have caused the
// response: it names the request, whose ID the connection has carried once, or it is the first
// response to the connection's first request.
func (a Attribution) Certain() bool {
	return a.Named || a.Earlier == 0 && a.Discarded == 0
}

// String returns the attribution as it stands in the log lines of decisions.
func (a Attribution) String() string {
	return fmt.Sprintf("connection=%d earlier=%d avoided=%d discarded=%d named=%t",
		a.Connection, a.Earlier, a.Avoided, a.Discarded, a.Named)
}

// IsNew records what a response hands out for one use, such as a reservation, and reports whether
// no earlier response on the connection has handed out the same. A copy of an earlier response
// hands out nothing new.
func (r *Response) IsNew(handle string) bool {
	h := hashID(handle)
	if r.connection.handles.has(h) {
		return false
	}
	r.connection.handles.add(h)
	return true
}

// maxRequests is the number of requests that a connection carries at most, which bounds the
// memory for its IDs to 4 KiB, and that for what its responses have handed out to the same.
const maxRequests = 512

// idHash stands for a request ID in an idSet. Two IDs have the same one with a probability of one
// in 2^64; their requests are then sent on different connections. 0 stands for no ID.
type idHash uint64

var idSeed = maphash.MakeSeed()

func hashID(id string) idHash {
	if id == "" {
		return 0
	}
	return idHash(maphash.String(idSeed, id))
}

// idSet is the set of the IDs that a connection has carried.
type idSet []idHash

func (s idSet) has(h idHash) bool {
	return h != 0 && slices.Contains(s, h)
}

func (s *idSet) add(h idHash) {
	if h != 0 {
		*s = append(*s, h)
	}
}
