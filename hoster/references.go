package hoster

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// attributeReferences states which host announced the values that changes refer to.
func attributeReferences(c *replicator.ChangeSet, from identifier.Address) {
	now := time.Now()
	for _, change := range c.Changes {
		change.Missing.Attribute(from, now)
	}
	for _, k := range c.Kept {
		k.Known.Missing.Attribute(from, now)
	}
}

// lacksValue reports whether a change refers to a value that this host doesn't have.
func lacksValue(c *replicator.ChangeSet) bool {
	missing := func(i replicator.Item) bool { return i.Missing != nil }
	return slices.ContainsFunc(c.Changes, func(c replicator.Change) bool { return missing(c.Item) }) ||
		slices.ContainsFunc(c.Kept, func(k replicator.Kept) bool { return missing(k.Known.Item) })
}

// withReferences returns changes with references in place of large values, which are kept for the peer.
func (p *peers) withReferences(c replicator.ChangeSet) replicator.ChangeSet {
	for n := range c.Changes {
		c.Changes[n].Item = p.reference(c.Changes[n].Item)
	}
	for n := range c.Kept {
		c.Kept[n].Known.Item = p.reference(c.Kept[n].Known.Item)
	}
	return c
}

func (p *peers) reference(i replicator.Item) replicator.Item {
	if len(i.Value) < replicator.MinReferenceBytes {
		return i
	}
	p.values.Keep(i.Value)
	i.Missing = &replicator.Reference{Digest: identifier.DigestOf(i.Value), Bytes: len(i.Value)}
	i.Value = nil
	return i
}
