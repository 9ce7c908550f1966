package hoster

import (
	"errors"

	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

const (
	// maxPartBytes bounds the items in one message of a whole copy, and maxKeptBytes
	// those that a reply carries in addition for a restored store. Together, with one
	// item over each bound, they fit in a frame. Changes that aren't a whole copy are
	// bounded by what the replicator keeps.
	maxPartBytes = 64 << 10
	maxKeptBytes = 64 << 10
)

// errCopyChanged reports that a peer's copy changed its era between two parts.
var errCopyChanged = errors.New("peer's copy of the store changed its era between its parts")

// answerInParts returns the reply with changes. Of a whole copy it is the part that the
// peer requests, if the peer takes parts. The items have to be sorted by key.
func answerInParts(request *peerwire.ChangesRequest, c replicator.ChangeSet) *peerwire.ChangesReply {
	if !request.Parts {
		return encodeChanges(c)
	}
	if request.AfterKey == "" {
		c.Kept = boundKept(c.Kept)
	} else {
		c.Kept = nil // came with the first part
	}
	next := ""
	if c.Complete {
		c.Changes, next = partAfter(c.Changes, request.AfterKey)
	}
	reply := encodeChanges(c)
	reply.NextKey = next
	return reply
}

// partAfter returns the items after a key that fit in one message, at least one, and
// the last one's key if there are more.
func partAfter(all []replicator.Change, key string) (part []replicator.Change, next string) {
	bytes := int64(0)
	for _, c := range all {
		if c.Key <= key {
			continue
		}
		if bytes += c.Bytes(); bytes > maxPartBytes && len(part) > 0 {
			return part, part[len(part)-1].Key
		}
		part = append(part, c)
	}
	return part, ""
}

// boundKept returns the first of all that fit in a reply, at least one. The others are
// sent with other replies, as their order changes.
func boundKept(all []replicator.Kept) []replicator.Kept {
	bytes := int64(0)
	for n, k := range all {
		if bytes += k.Known.Bytes(); bytes > maxKeptBytes && n > 0 {
			return all[:n]
		}
	}
	return all
}

// collectChanges asks a peer for changes, again for each further part of a whole copy.
// The parts are no snapshot, so the copy has the position of the first one, like the
// pages of the store's own listing.
func collectChanges(request *peerwire.ChangesRequest, ask func(*peerwire.ChangesRequest) (*peerwire.ChangesReply, error)) (replicator.ChangeSet, error) {
	reply, err := ask(request)
	if err != nil {
		return replicator.ChangeSet{}, err
	}
	whole := decodeChanges(reply)
	for reply.NextKey != "" {
		reply, err = ask(&peerwire.ChangesRequest{Parts: true, References: request.References, AfterKey: reply.NextKey})
		if err != nil {
			return replicator.ChangeSet{}, err
		}
		part := decodeChanges(reply)
		if !part.Complete || part.Position.Era != whole.Position.Era {
			return replicator.ChangeSet{}, errCopyChanged
		}
		whole.Changes = append(whole.Changes, part.Changes...)
	}
	return whole, nil
}
