package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Revision with:uint64
//msgp:replace identifier.Era with:uint64

//go:generate go tool msgp -file slots.go -tests=false

// SlotRequest requests a slot at one of a plain service's endpoints from the host that
// grants them. The reply may take as long as the request may wait.
type SlotRequest struct {
	Service string `msg:"service"`
	Request string `msg:"request"`
	// ID identifies the SlotRequest among those of the sending host. SlotReturn refers
	// to it.
	ID uint64 `msg:"ask"`
	// AgeMs is the time since the request arrived. OnTimeMs and DeadlineMs are the times
	// left until its response is late and until it is no longer wanted. All are in
	// milliseconds.
	AgeMs      int64 `msg:"age-ms"`
	OnTimeMs   int64 `msg:"on-time-ms"`
	DeadlineMs int64 `msg:"deadline-ms"`
	Priority   int   `msg:"priority"`
	// Customer, Fingerprint and SpentUs are as in ReservationRequest.
	Customer    string `msg:"customer"`
	Fingerprint uint64 `msg:"fingerprint"`
	SpentUs     int64  `msg:"spent-us"`
	// Exclude lists endpoints to avoid.
	Exclude []string `msg:"exclude,limit=65536"`
	// NoWait asks for a slot that is free now, or none.
	NoWait bool `msg:"no-wait"`
	// Revision and Era are the position of the store that the sending host knows.
	Revision identifier.Revision `msg:"revision"`
	Era      identifier.Era      `msg:"era"`
}

// SlotReply grants a slot, or says that there is none.
type SlotReply struct {
	// Grant identifies the slot at the host that granted it.
	Grant    uint64 `msg:"grant"`
	Endpoint string `msg:"endpoint"`
	// ExpectedUs is how long the call is expected to take, in microseconds; 0 means
	// unknown.
	ExpectedUs int64 `msg:"expected-us"`
	// Refused is set if there is no slot for the request, which may be repeated after
	// RetryAfterMs milliseconds.
	Refused      bool  `msg:"refused"`
	RetryAfterMs int64 `msg:"retry-after-ms"`
}

// SlotReturn ends the use of a slot.
type SlotReturn struct {
	Service string `msg:"service"`
	// Grant is 0 if the sender got no reply to the SlotRequest with the ID.
	Grant uint64 `msg:"grant"`
	ID    uint64 `msg:"ask"`
	// Verdict is the placer.Verdict on the endpoint. TookUs is the duration of a
	// successful call in microseconds.
	Verdict uint8 `msg:"verdict"`
	TookUs  int64 `msg:"took-us"`
	// Running, Waiting, Slots and Slowdown are the load that the endpoint reported;
	// zero if none.
	Running  uint32  `msg:"running"`
	Waiting  uint32  `msg:"waiting"`
	Slots    uint32  `msg:"slots"`
	Slowdown float64 `msg:"slowdown"`
}
