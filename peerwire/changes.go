package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Revision with:uint64
//msgp:replace identifier.Era with:uint64
//msgp:replace identifier.Digest with:uint64

//go:generate go tool msgp -file changes.go -tests=false

// ChangesRequest requests the changes of the configuration store after a position
// from a peer.
type ChangesRequest struct {
	// After is the store revision that the requester has, or 0 if it has none.
	After identifier.Revision `msg:"after"`
	// Era is the store's era at After. Builds that know no eras leave it out.
	Era identifier.Era `msg:"era"`
	// WaitMs is how long the peer may wait for a newer revision in
	// milliseconds. If 0, it replies immediately.
	WaitMs uint32 `msg:"wait-ms"`
	// Parts is set if the requester takes a snapshot in parts. It then requests the
	// next one with AfterKey, the NextKey of the last one.
	Parts    bool   `msg:"parts"`
	AfterKey string `msg:"after-key"`
	// References is set if the requester takes references in place of large values.
	References bool `msg:"references"`
}

// ChangesReply replies to a ChangesRequest.
type ChangesReply struct {
	// Revision is the store revision that the peer has, and Era the store's era
	// at it. If they are not newer than the requester's, Snapshot and Changes are empty.
	Revision identifier.Revision `msg:"revision"`
	Era      identifier.Era      `msg:"era"`
	// Snapshot is set if Changes is a snapshot of all existing items.
	Snapshot bool `msg:"whole"`
	// AgeMs is the time since the store confirmed Revision in milliseconds.
	AgeMs uint32 `msg:"age-ms"`
	// Receiving is set if the peer is just receiving an answer of the store.
	Receiving bool        `msg:"receiving"`
	Changes   []StoreItem `msg:"changes,limit=65536"`
	// NextKey is set if the snapshot has items with keys after it, which are missing in
	// Changes.
	NextKey string `msg:"next-key"`
	// Kept lists what the peer uses in place of items that a restored store has set
	// back. It doesn't depend on the requester's position.
	Kept []KeptItem `msg:"kept,limit=65536"`
}

// KeptItem is the latest known state of an item that a restored store has set back.
type KeptItem struct {
	Known StoreItem `msg:"known"`
	// RestoredRevision is the revision of the store's item.
	RestoredRevision identifier.Revision `msg:"restored-revision"`
	// LeftMs is how much longer the peer uses the known state in milliseconds.
	LeftMs uint32 `msg:"left-ms"`
}

// StoreItem is an item of the configuration store or its deletion.
type StoreItem struct {
	Key      string              `msg:"key"`
	Value    []byte              `msg:"value"`
	Revision identifier.Revision `msg:"revision"`
	Deleted  bool                `msg:"deleted"`
	// Era is the era in which the item is known to have been written; 0 if that
	// isn't known.
	Era identifier.Era `msg:"era"`
	// Digest is set in place of a large Value, which has Bytes bytes. It is requested
	// with a ValueRequest.
	Digest identifier.Digest `msg:"digest"`
	Bytes  uint32            `msg:"bytes"`
}
