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

// ProtocolVersion is the version of the protocol between hosts. A host
// refuses peers whose version is lower than MinProtocolVersion.
const ProtocolVersion = 1

// MinProtocolVersion is the lowest version that this host works with.
const MinProtocolVersion = 1

// FrameType says what a frame does.
type FrameType uint8

// Types of frames.
const (
	// FrameHello opens a connection, in both directions.
	FrameHello FrameType = iota + 1
	// FrameCall asks for a reply.
	FrameCall
	// FrameSend carries a message that gets no reply.
	FrameSend
	// FrameReply answers a call.
	FrameReply
	// FrameFailure answers a call, or refuses a connection when ID is 0.
	FrameFailure
	// FrameCancel ends the call called ID at its handler.
	FrameCancel
	// FramePing asks for a pong.
	FramePing
	// FramePong answers a ping.
	FramePong
)

// Envelope comes first in each frame; the payload is the rest of the frame.
type Envelope struct {
	Type FrameType `msg:"t"`
	// ID ties a reply to its call; it counts per connection, from 1.
	ID   uint64 `msg:"i,omitempty"`
	Kind Kind   `msg:"k,omitempty"`
	// Left is the time left to the call's deadline in milliseconds; 0: none.
	Left uint64 `msg:"d,omitempty"`
}

// Hello is the first payload on a connection, in both directions.
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
	// RetryAfter in milliseconds.
	RetryAfter uint64            `msg:"a,omitempty"`
	Ticket     identifier.Ticket `msg:"t,omitempty"`
	Message    string            `msg:"m"`
}
