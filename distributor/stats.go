package distributor

import "sync/atomic"

// Stats counts what a distributor has done.
type Stats struct {
	// Fetches counts the fetches begun, Fetched those that brought the value, and Failed those for
	// which no host had it.
	Fetches uint64 `json:"fetches"`
	Fetched uint64 `json:"fetched"`
	Failed  uint64 `json:"failed"`
	// ReceivedBytes is the size of the parts that arrived.
	ReceivedBytes uint64 `json:"received-bytes"`
	// SentParts counts the parts that were sent to peers, and Encodings the forms that were
	// computed for them.
	SentParts uint64 `json:"sent-parts"`
	Encodings uint64 `json:"encodings"`
}

type counters struct {
	fetches, fetched, failed, receivedBytes, sentParts, encodings atomic.Uint64
}

// Stats returns the current counters.
func (d *Distributor) Stats() Stats {
	return Stats{
		Fetches:       d.counters.fetches.Load(),
		Fetched:       d.counters.fetched.Load(),
		Failed:        d.counters.failed.Load(),
		ReceivedBytes: d.counters.receivedBytes.Load(),
		SentParts:     d.counters.sentParts.Load(),
		Encodings:     d.counters.encodings.Load(),
	}
}
