package peerwire

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

//go:generate go tool msgp -file membership.go -tests=false

//msgp:replace identifier.Host with:string
//msgp:replace identifier.DataCenter with:string
//msgp:replace identifier.Address with:string
//msgp:replace identifier.Endpoint with:string
//msgp:replace identifier.Incarnation with:uint64
//msgp:replace identifier.Revision with:uint64

// Update describes the state of one host. Its parts can be sent separately: the
// first field of an absent part is zero.
type Update struct {
	Host        identifier.Host        `msg:"h"`
	Incarnation identifier.Incarnation `msg:"i"`
	// Started orders the incarnations of a host, as a Unix time in
	// milliseconds. A process may raise its own value.
	Started uint64 `msg:"s"`

	// Address and DataCenter are the identity part.
	Address    identifier.Address    `msg:"a,omitempty"`
	DataCenter identifier.DataCenter `msg:"c,omitempty"`

	// State and Refutation are the liveness part.
	State      uint8  `msg:"t,omitempty"`
	Refutation uint32 `msg:"r,omitempty"`

	// Version orders the published part: Revision and Readiness.
	Version   uint64              `msg:"v,omitempty"`
	Revision  identifier.Revision `msg:"n,omitempty"`
	Readiness uint8               `msg:"y,omitempty"`

	// DigestVersion orders the Digest.
	DigestVersion uint64 `msg:"w,omitempty"`
	Digest        []byte `msg:"g,omitempty"`
}

// Mark records that an endpoint is leaving or serving again as of a revision of
// the declarations, or, if Source is set, as of the start of the endpoint that
// Revision identifies.
type Mark struct {
	Endpoint identifier.Endpoint `msg:"e"`
	Revision identifier.Revision `msg:"n"`
	Leaving  bool                `msg:"l,omitempty"`
	// Source is the host to which the endpoint itself announced that it is
	// leaving, AgeMs milliseconds ago. Hosts of earlier versions neither send nor
	// pass on the two.
	Source identifier.Host `msg:"s,omitempty"`
	AgeMs  int64           `msg:"a,omitempty"`
}

// Gossip carries membership updates. It is the payload of KindProbe, its reply
// and KindGossip.
type Gossip struct {
	Updates []Update `msg:"u,omitempty,limit=65536"`
	Marks   []Mark   `msg:"m,omitempty,limit=65536"`
	// From is the incarnation of the responding host. It is set in replies only.
	From identifier.Incarnation `msg:"f,omitempty"`
	// Unknown tells the caller that the responding host does not know it. It is
	// set in replies only.
	Unknown bool `msg:"x,omitempty"`
}

// IndirectProbe is the payload of KindIndirectProbe.
type IndirectProbe struct {
	Address     identifier.Address     `msg:"a"`
	Incarnation identifier.Incarnation `msg:"i"`
	// Gossip is forwarded to the probed host.
	Gossip Gossip `msg:"n"`
}

// IndirectProbeReply replies to KindIndirectProbe with the probed host's reply.
type IndirectProbeReply struct {
	Gossip Gossip `msg:"n"`
}

// SyncRequest is the payload of KindSync. It carries a hash per bucket of the
// caller's membership state.
type SyncRequest struct {
	Buckets []uint64 `msg:"b,limit=65536"`
	// Gossip contains the caller's own update.
	Gossip Gossip `msg:"n"`
}

// SyncReply lists the buckets that differ, with the responding host's state in
// them.
type SyncReply struct {
	// Buckets is the number of compared buckets.
	Buckets   uint32   `msg:"b"`
	Differing []uint32 `msg:"d,omitempty,limit=65536"`
	Gossip    Gossip   `msg:"n"`
}
