package peerwire

//go:generate go tool msgp -file tickets.go -tests=false

// TicketCall forwards a caller's call to the host that issued its ticket.
type TicketCall struct {
	// Incarnation that the call is meant for; another one doesn't dispatch it.
	Incarnation uint64 `msg:"incarnation"`
	Ticket      string `msg:"ticket"`
	Request     string `msg:"request"`
	Service     string `msg:"service"`
	Customer    string `msg:"customer"`
	Payload     []byte `msg:"payload"`
	Urgency     uint8  `msg:"urgency"`
	// Host and Call name this call for its receipt: the forwarding host's
	// incarnation and its count of calls.
	Host uint64 `msg:"host"`
	Call uint64 `msg:"call"`
	// TimeLeftMs is the time that the caller still waits, in milliseconds.
	TimeLeftMs uint32 `msg:"time-left-ms"`
	// VoidReason, if set, asks the issuer to void the ticket in place of a
	// call: the forwarding host refuses the call for this reason.
	VoidReason string `msg:"void-reason"`
	// RetryAfterMs goes with VoidReason, in milliseconds.
	RetryAfterMs uint32 `msg:"retry-after-ms"`
}

// TicketAnswer answers a TicketCall.
type TicketAnswer struct {
	// Verdict is 0 for a payload, else a classifier.Verdict.
	Verdict      uint8  `msg:"verdict"`
	Payload      []byte `msg:"payload"`
	Reason       string `msg:"reason"`
	Message      string `msg:"message"`
	RetryAfterMs uint32 `msg:"retry-after-ms"`
	// Ticket is a fresh ticket where the old one is void.
	Ticket string `msg:"ticket"`
}

// TicketReceipt tells the issuer what became of a payload that it answered.
type TicketReceipt struct {
	Incarnation uint64 `msg:"incarnation"`
	Ticket      string `msg:"ticket"`
	Host        uint64 `msg:"host"`
	Call        uint64 `msg:"call"`
	// Delivered is false when the caller's connection was gone before the
	// first byte of the answer was written.
	Delivered bool `msg:"delivered"`
}
