package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Revision with:uint64

//go:generate go tool msgp -file declarations.go -tests=false

// DeclarationsAsk asks a peer for declarations that are newer than Revision.
type DeclarationsAsk struct {
	// Revision and Digest of the declarations that the asker has in force;
	// 0: none.
	Revision identifier.Revision `msg:"revision"`
	Digest   uint64              `msg:"digest"`
}

// Declarations answers a DeclarationsAsk with what the peer has in force: as
// Steps from the asker's, or else Whole.
type Declarations struct {
	// Revision in force at the peer; 0: none. If it isn't newer than the
	// asker's, the rest is empty.
	Revision identifier.Revision `msg:"revision"`
	// Digest of the file, its xxhash.
	Digest uint64             `msg:"digest"`
	Steps  []DeclarationsStep `msg:"steps"`
	// Whole is the file, compressed by DEFLATE.
	Whole []byte `msg:"whole"`
}

// DeclarationsStep makes the file with digest To from the one with digest
// From.
type DeclarationsStep struct {
	From uint64 `msg:"from"`
	To   uint64 `msg:"to"`
	// Patch of package patcher.
	Patch []byte `msg:"patch"`
}
