package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Revision with:uint64

//go:generate go tool msgp -file changes.go -tests=false

// ChangesAsk asks a peer for what happened at the configuration store behind
// a revision of the store.
type ChangesAsk struct {
	// After is the store's revision that the asker stands at; 0: none.
	After identifier.Revision `msg:"after"`
	// WaitMs is how long to wait for news, in milliseconds; 0: not at all.
	WaitMs uint32 `msg:"wait-ms"`
}

// ChangesAnswer answers a ChangesAsk.
type ChangesAnswer struct {
	// Revision of the store that the peer stands at. If it isn't newer than
	// the asker's, the rest is empty.
	Revision identifier.Revision `msg:"revision"`
	// Whole is set when Changes are all items that exist.
	Whole bool `msg:"whole"`
	// AgeMs is how long ago the store has confirmed Revision, in milliseconds.
	AgeMs   uint32      `msg:"age-ms"`
	Changes []StoreItem `msg:"changes"`
}

// StoreItem is an item of the configuration store, or its deletion.
type StoreItem struct {
	Key      string              `msg:"key"`
	Value    []byte              `msg:"value"`
	Revision identifier.Revision `msg:"revision"`
	Deleted  bool                `msg:"deleted"`
}
