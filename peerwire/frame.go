package peerwire

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

//go:generate go tool msgp -file frame.go -tests=false

//msgp:replace identifier.Host with:string
//msgp:replace identifier.DataCenter with:string
//msgp:replace identifier.Firm with:string
//msgp:replace identifier.Ticket with:string
//msgp:replace identifier.Incarnation with:uint64

// ProtocolVersion is the version of the protocol between hosts.
const ProtocolVersion = 1

// MinProtocolVersion is the oldest supported protocol version. Peers with an
// older version are rejected.
const MinProtocolVersion = 1

// FrameType is the type of a frame.
type FrameType uint8

// Frame types.
const (
	// FrameHello is the first frame on a connection, in both directions.
	FrameHello FrameType = iota + 1
	// FrameCall carries a request that expects a reply.
	FrameCall
	// FrameSend carries a one-way message.
	FrameSend
	// FrameReply carries the reply to a call.
	FrameReply
	// FrameFailure carries the error of a call or, if the ID is 0, the reason
	// for closing the connection.
	FrameFailure
	// FrameCancel cancels the handler of the call with the given ID.
	FrameCancel
	// FramePing requests a FramePong, to keep the connection alive.
	FramePing
	// FramePong replies to a FramePing.
	FramePong
)

// Envelope is the header of each frame. The payload is the rest of the frame.
type Envelope struct {
	Type FrameType `msg:"t"`
	// ID matches a reply to its call. IDs are assigned per connection, starting
	// from 1.
	ID   uint64 `msg:"i,omitempty"`
	Kind Kind   `msg:"k,omitempty"`
	// TimeLeftMs is the time until the call's deadline in milliseconds, or 0 if
	// it has none.
	TimeLeftMs uint64 `msg:"d,omitempty"`
}

// Hello is the payload of FrameHello and identifies the sending host.
type Hello struct {
	Version     uint32                 `msg:"version"`
	Firm        identifier.Firm        `msg:"firm,omitempty"`
	Host        identifier.Host        `msg:"host"`
	Incarnation identifier.Incarnation `msg:"incarnation"`
	DataCenter  identifier.DataCenter  `msg:"data-center"`
}

// Failure is the payload of FrameFailure.
type Failure struct {
	Verdict uint8  `msg:"v"`
	Reason  string `msg:"r"`
	// RetryAfter is the suggested delay before a retry in milliseconds.
	RetryAfter uint64            `msg:"a,omitempty"`
	Ticket     identifier.Ticket `msg:"t,omitempty"`
	Message    string            `msg:"m"`
}
