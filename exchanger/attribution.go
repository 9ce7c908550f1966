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
	// Discarded is the number of responses to other requests that arrived before this one.
	Discarded int
	// Named is set if the response states the request's ID.
	Named bool
	// Repeated is set if an earlier request on the connection had the same ID.
	Repeated bool
}

// String returns the attribution as it stands in the log lines of decisions.
func (a Attribution) String() string {
	return fmt.Sprintf("connection=%d earlier=%d discarded=%d named=%t repeated-id=%t",
		a.Connection, a.Earlier, a.Discarded, a.Named, a.Repeated)
}

// idSeed is the seed of the hashes in an idSet.
var idSeed = maphash.MakeSeed()

// idSet is a set of request IDs, of 8 bytes each. Two IDs may count as the same, with a
// probability of one in 2^64.
type idSet struct {
	hashes []uint64
}

func (s *idSet) has(id string) bool {
	return id != "" && slices.Contains(s.hashes, maphash.String(idSeed, id))
}

func (s *idSet) add(id string) {
	if id != "" {
		s.hashes = append(s.hashes, maphash.String(idSeed, id))
	}
}
