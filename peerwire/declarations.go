package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Revision with:uint64

//go:generate go tool msgp -file declarations.go -tests=false

// DeclarationsRequest requests declarations newer than Revision from a peer.
type DeclarationsRequest struct {
	// Revision and Digest identify the declarations in force at the requester.
	// They are 0 if there are none.
	Revision identifier.Revision `msg:"revision"`
	Digest   uint64              `msg:"digest"`
}

// Declarations replies to a DeclarationsRequest with the declarations in force at
// the peer, either as Steps from the requester's version or as the Whole file.
type Declarations struct {
	// Revision is the revision in force at the peer, or 0 if there is none. If
	// it is not newer than the requester's, the other fields are empty.
	Revision identifier.Revision `msg:"revision"`
	// Digest is the xxhash of the file.
	Digest uint64             `msg:"digest"`
	Steps  []DeclarationsStep `msg:"steps,limit=65536"`
	// Whole is the complete file, compressed with DEFLATE.
	Whole []byte `msg:"whole"`
}

// DeclarationsStep is a patch from the file with digest From to the file with
// digest To.
type DeclarationsStep struct {
	From uint64 `msg:"from"`
	To   uint64 `msg:"to"`
	// Patch is in the format of package patcher.
	Patch []byte `msg:"patch"`
}
