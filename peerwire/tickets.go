package peerwire

//go:generate go tool msgp -file tickets.go -tests=false

// TicketCall forwards a caller's call to the host that issued its ticket.
type TicketCall struct {
	// Incarnation is the incarnation that the call is addressed to. Other
	// incarnations do not dispatch it.
	Incarnation uint64 `msg:"incarnation"`
	Ticket      string `msg:"ticket"`
	Request     string `msg:"request"`
	Service     string `msg:"service"`
	Customer    string `msg:"customer"`
	Payload     []byte `msg:"payload"`
	Urgency     uint8  `msg:"urgency"`
	// Host and Call identify this call in its receipt: the incarnation of the
	// forwarding host and a sequence number of its calls.
	Host uint64 `msg:"host"`
	Call uint64 `msg:"call"`
	// TimeLeftMs is the time until the caller's deadline in milliseconds.
	TimeLeftMs uint32 `msg:"time-left-ms"`
	// VoidReason, if set, is why the forwarding host refuses the call. The
	// issuer voids the ticket instead of dispatching the call.
	VoidReason string `msg:"void-reason"`
	// RetryAfterMs is the retry delay for VoidReason in milliseconds.
	RetryAfterMs uint32 `msg:"retry-after-ms"`
}

// TicketReply replies to a TicketCall.
type TicketReply struct {
	// Verdict is 0 if there is a payload, and a classifier.Verdict otherwise.
	Verdict      uint8  `msg:"verdict"`
	Payload      []byte `msg:"payload"`
	Reason       string `msg:"reason"`
	Message      string `msg:"message"`
	RetryAfterMs uint32 `msg:"retry-after-ms"`
	// Ticket is a new ticket that replaces a voided one.
	Ticket string `msg:"ticket"`
}

// TicketReceipt reports to the issuer whether its payload was delivered to the
// caller.
type TicketReceipt struct {
	Incarnation uint64 `msg:"incarnation"`
	Ticket      string `msg:"ticket"`
	Host        uint64 `msg:"host"`
	Call        uint64 `msg:"call"`
	// Delivered is false if the caller's connection was closed before the first
	// byte of the response was written.
	Delivered bool `msg:"delivered"`
}
