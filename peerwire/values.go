package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Digest with:uint64

//go:generate go tool msgp -file values.go -tests=false

// ValueRequest requests a part of the encoded form of a value of the configuration store.
type ValueRequest struct {
	// Digest identifies the value.
	Digest identifier.Digest `msg:"digest"`
	// Base is a value that the requester has, against which the peer may encode; 0 for none.
	Base identifier.Digest `msg:"base"`
	// Offset is where the part starts in bytes.
	Offset uint32 `msg:"offset"`
	// WaitMs is how long the peer may wait for the value in milliseconds.
	WaitMs uint32 `msg:"wait-ms"`
}

// ValueReply replies to a ValueRequest.
type ValueReply struct {
	// Found is false if the peer doesn't have the value. All else is empty then.
	Found bool `msg:"found"`
	// Encoded is the size of the encoded form in bytes, and Checksum its digest. Only parts of
	// equal forms fit together.
	Encoded  uint32            `msg:"encoded"`
	Checksum identifier.Digest `msg:"checksum"`
	// Base is the value against which it is encoded; 0 for none.
	Base identifier.Digest `msg:"base"`
	Part []byte            `msg:"part"`
}
