package replicator

import "sync/atomic"

// TransferStats counts the reads of one source. Begun less Completed and Failed is how many
// are under way.
type TransferStats struct {
	Begun     uint64 `json:"begun"`
	Completed uint64 `json:"completed"`
	// Failed counts those that ended with an error, given up ones included.
	Failed uint64 `json:"failed"`
	// Bytes is the size of the changes that completed reads have brought.
	Bytes uint64 `json:"bytes"`
}

// Stats counts a replicator's reads by their source.
type Stats struct {
	Store  TransferStats `json:"store"`
	Reader TransferStats `json:"reader"`
	Peer   TransferStats `json:"peer"`
}

// transferCounters are the counters of one source.
type transferCounters struct {
	begun, completed, failed, bytes atomic.Uint64
}

// end counts the end of a read that was counted as begun.
func (t *transferCounters) end(c ChangeSet, err error) {
	if err != nil {
		t.failed.Add(1)
		return
	}
	t.completed.Add(1)
	t.bytes.Add(uint64(c.Bytes()))
}

func (t *transferCounters) stats() TransferStats {
	return TransferStats{
		Begun:     t.begun.Load(),
		Completed: t.completed.Load(),
		Failed:    t.failed.Load(),
		Bytes:     t.bytes.Load(),
	}
}

// Stats returns the current counters.
func (r *Replicator) Stats() Stats {
	return Stats{Store: r.storeReads.stats(), Reader: r.readerReads.stats(), Peer: r.peerReads.stats()}
}

// Bytes returns the memory of the changes in bytes.
func (c *ChangeSet) Bytes() int64 {
	bytes := int64(0)
	for _, change := range c.Changes {
		bytes += change.Bytes()
	}
	return bytes
}
