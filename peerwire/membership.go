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

// Update is news of one host. Its parts travel apart: a part that isn't
// carried has its first field zero.
type Update struct {
	Host        identifier.Host        `msg:"h"`
	Incarnation identifier.Incarnation `msg:"i"`
	// Started orders the incarnations of a host, in milliseconds since 1970;
	// a process may raise its own.
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

// Mark says that an endpoint is leaving, or serves again, since a revision of
// the declarations.
type Mark struct {
	Endpoint identifier.Endpoint `msg:"e"`
	Revision identifier.Revision `msg:"n"`
	Leaving  bool                `msg:"l,omitempty"`
}

// News is the payload of KindProbe, of its reply and of KindNews.
type News struct {
	Updates []Update `msg:"u,omitempty"`
	Marks   []Mark   `msg:"m,omitempty"`
	// From is the incarnation that answers; replies only.
	From identifier.Incarnation `msg:"f,omitempty"`
	// Unknown tells the caller that its host isn't known here; replies only.
	Unknown bool `msg:"x,omitempty"`
}

// ProbeFor is the payload of KindProbeFor.
type ProbeFor struct {
	Address     identifier.Address     `msg:"a"`
	Incarnation identifier.Incarnation `msg:"i"`
	// News is handed on to the probed host.
	News News `msg:"n"`
}

// ProbeForReply answers KindProbeFor with the probed host's reply.
type ProbeForReply struct {
	News News `msg:"n"`
}

// SyncRequest is the payload of KindSync: a hash per bucket of what the
// caller knows.
type SyncRequest struct {
	Buckets []uint64 `msg:"b"`
	// News has the caller's own update.
	News News `msg:"n"`
}

// SyncReply lists the buckets that differ and what the answering host knows
// in them.
type SyncReply struct {
	// Buckets is the number of buckets that were compared.
	Buckets   uint32   `msg:"b"`
	Differing []uint32 `msg:"d,omitempty"`
	News      News     `msg:"n"`
}
