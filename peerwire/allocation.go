package peerwire

//go:generate go tool msgp -file allocation.go -tests=false

// Attempt identifies one attempt to serve a request by the incarnation of the
// host that started it and a sequence number.
type Attempt struct {
	Incarnation uint64 `msg:"i"`
	Sequence    uint64 `msg:"s"`
}

// PoolKey identifies a pool: the endpoints of a service in a data center.
type PoolKey struct {
	Service    string `msg:"sv"`
	DataCenter string `msg:"dc"`
}

// AllocationRequest requests slots from the allocator of a pool. The allocator
// replies with an AllocationReply once the slots are granted, or with an error
// if it refuses them.
type AllocationRequest struct {
	Pool         PoolKey  `msg:"p"`
	Attempt      Attempt  `msg:"a"`
	Urgency      uint8    `msg:"u"`
	Firm         string   `msg:"f"`
	PromptTokens uint32   `msg:"pt"`
	MaxTokens    uint32   `msg:"mt"`
	Blocks       []uint64 `msg:"b,limit=65536"`
	// TimeLeftMs is the time until the caller's deadline in milliseconds.
	TimeLeftMs uint32 `msg:"l"`
	// Exclude lists endpoints that must not be allocated.
	Exclude []string `msg:"x,limit=65536"`
	// Resumes is set if the caller has already received the first tokens of the
	// response.
	Resumes bool `msg:"r"`
}

// AllocationReply grants an AllocationRequest. A refusal is returned as the
// error of the call instead.
type AllocationReply struct {
	Prefill string `msg:"pf"`
	// Decode is empty if the decode engine must be requested with a
	// DecodeRequest.
	Decode string `msg:"d"`
	// WaitMs is the time until the prefill may start in milliseconds.
	WaitMs  uint32 `msg:"w"`
	LeaseMs uint32 `msg:"l"`
	Pieces  uint32 `msg:"n"`
}

// DecodeRequest requests a decode engine for an attempt that was granted
// without one. The reply is a DecodeReply, sent once an engine has capacity.
type DecodeRequest struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
}

// DecodeReply replies to a DecodeRequest with the allocated decode engine.
type DecodeReply struct {
	Decode string `msg:"d"`
	Pieces uint32 `msg:"n"`
}

// Progress reports to an allocator that an attempt has entered a phase.
type Progress struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
	Phase   uint8   `msg:"ph"`
}

// Release releases the slots of an attempt.
type Release struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
	Ending  uint8   `msg:"o"`
	// Endpoint is the endpoint that failed or refused the request, if any.
	Endpoint string `msg:"e"`
	Refused  bool   `msg:"r"`
}

// Renew extends the leases of all grants that the sending host holds in a pool.
type Renew struct {
	Pool PoolKey `msg:"p"`
	// Digest is the XOR of the hashes of the held attempts.
	Digest uint64 `msg:"d"`
}

// RenewReply replies to a Renew.
type RenewReply struct {
	// ListNeeded asks the host to send its Grants.
	ListNeeded bool `msg:"l"`
}

// HeldGrant is a grant that its home, the host that holds it, still uses.
type HeldGrant struct {
	Attempt Attempt `msg:"a"`
	Prefill string  `msg:"pf"`
	Decode  string  `msg:"d"`
	Pieces  uint32  `msg:"n"`
	Urgency uint8   `msg:"u"`
	Firm    string  `msg:"f"`
	Phase   uint8   `msg:"ph"`

	PromptTokens uint32 `msg:"pt"`
	MaxTokens    uint32 `msg:"mt"`
}

// Grants lists all grants that the sending host holds in a pool. It is sent if
// the digest of a Renew differs from the allocator's.
type Grants struct {
	Pool PoolKey     `msg:"p"`
	Held []HeldGrant `msg:"h,limit=65536"`
}

// Empty is the empty reply.
type Empty struct{}

// HoldsRequest asks a host whether it is still the home of an attempt.
type HoldsRequest struct {
	Attempt Attempt `msg:"a"`
}

// HoldsReply replies to a HoldsRequest.
type HoldsReply struct {
	Holds bool `msg:"h"`
}
