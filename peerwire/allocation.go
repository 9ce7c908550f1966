package peerwire

//go:generate go tool msgp -file allocation.go -tests=false

// Attempt names one try of one request.
type Attempt struct {
	Incarnation uint64 `msg:"i"`
	Sequence    uint64 `msg:"s"`
}

// PoolKey names a pool: the endpoints of a service in a data centre.
type PoolKey struct {
	Service    string `msg:"sv"`
	DataCenter string `msg:"dc"`
}

// Ask asks the allocator of a pool for slots. Its answer is an Answer, which
// comes once the slots are granted or the ask is refused.
type Ask struct {
	Pool         PoolKey  `msg:"p"`
	Attempt      Attempt  `msg:"a"`
	Urgency      uint8    `msg:"u"`
	Firm         string   `msg:"f"`
	PromptTokens uint32   `msg:"pt"`
	MaxTokens    uint32   `msg:"mt"`
	Blocks       []uint64 `msg:"b"`
	// LeftMs is the time left to the caller's deadline, in milliseconds.
	LeftMs  uint32   `msg:"l"`
	Exclude []string `msg:"x"`
	// Resumes tells that the caller holds the answer's first tokens already.
	Resumes bool `msg:"r"`
}

// Answer grants an Ask. A refusal travels as the call's error.
type Answer struct {
	Prefill string `msg:"pf"`
	// Decode is empty when the engine is to be asked for by a Bind.
	Decode string `msg:"d"`
	// WaitMs is the time until the prefill may start, in milliseconds.
	WaitMs  uint32 `msg:"w"`
	LeaseMs uint32 `msg:"l"`
	Pieces  uint32 `msg:"n"`
}

// Bind asks for the decode engine of an attempt that was granted without one.
// Its answer is a Bound, which comes once the engine has room.
type Bind struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
}

// Bound names the decode engine that a Bind asked for.
type Bound struct {
	Decode string `msg:"d"`
	Pieces uint32 `msg:"n"`
}

// Progress tells an allocator that an attempt went on to a phase.
type Progress struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
	Phase   uint8   `msg:"ph"`
}

// Release gives an attempt's slots back.
type Release struct {
	Pool    PoolKey `msg:"p"`
	Attempt Attempt `msg:"a"`
	Ending  uint8   `msg:"o"`
	// Endpoint that failed or refused; empty if none did.
	Endpoint string `msg:"e"`
	Refused  bool   `msg:"r"`
}

// Renew extends the lease of all grants of the sending host in a pool.
type Renew struct {
	Pool PoolKey `msg:"p"`
	// Digest is the exclusive or of the hashes of the held attempts.
	Digest uint64 `msg:"d"`
}

// RenewAnswer says whether the allocator needs the list of attempts.
type RenewAnswer struct {
	ListNeeded bool `msg:"l"`
}

// HeldGrant is one grant that a home still uses.
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

// Grants lists all grants that the sending host holds in a pool.
type Grants struct {
	Pool PoolKey     `msg:"p"`
	Held []HeldGrant `msg:"h"`
}

// Nothing is the answer of a message that has none.
type Nothing struct{}

// Holds asks a home whether it still leads an attempt.
type Holds struct {
	Attempt Attempt `msg:"a"`
}

// Held answers a Holds.
type Held struct {
	Holds bool `msg:"h"`
}
