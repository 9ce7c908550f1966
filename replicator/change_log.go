package replicator

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// maxLogEntries is how many changes a replica keeps for peers at older revisions.
	maxLogEntries = 512
	// DefaultMaxLogBytes is the default of Options.MaxLogBytes.
	DefaultMaxLogBytes = 2 << 20
	// entryBytes is the memory of a change beside its key and value.
	entryBytes = 128
)

// changeLog holds the last changes for peers at older revisions, bounded in number
// and in bytes. The zero value with a bound is an empty log.
type changeLog struct {
	maxBytes int64
	changes  []Change // in the order in which they were added
	bytes    int64
	start    identifier.Revision // the log has all changes after it
}

// restart empties the log; it has all changes after start.
func (l *changeLog) restart(start identifier.Revision) {
	*l = changeLog{maxBytes: l.maxBytes, start: start}
}

// add appends a change and drops the oldest ones that exceed the bounds, c itself
// if it is too large.
func (l *changeLog) add(c Change) {
	l.changes = append(l.changes, c)
	l.bytes += c.Bytes()
	dropped := 0
	for len(l.changes)-dropped > maxLogEntries || l.bytes > l.maxBytes {
		oldest := l.changes[dropped]
		l.start = max(l.start, oldest.Revision)
		l.bytes -= oldest.Bytes()
		dropped++
	}
	l.changes = slices.Delete(l.changes, 0, dropped)
}

// fill adds the value that a change lacked.
func (l *changeLog) fill(i Item) {
	for n, c := range l.changes {
		if c.Key == i.Key && c.Revision == i.Revision && c.Missing != nil {
			l.bytes += int64(len(i.Value))
			l.changes[n].Item = i
		}
	}
}

// since returns the changes after a revision; false if the log doesn't reach back
// that far.
func (l *changeLog) since(after identifier.Revision) ([]Change, bool) {
	if after < l.start {
		return nil, false
	}
	var all []Change
	for _, c := range l.changes {
		if c.Revision > after {
			all = append(all, c)
		}
	}
	return all, true
}

// Bytes returns the memory of a change in bytes.
func (c Change) Bytes() int64 {
	return entryBytes + int64(len(c.Key)) + int64(len(c.Value))
}
