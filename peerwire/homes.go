package peerwire

//go:generate go tool msgp -file homes.go -tests=false

// LocateRequest registers the sending host as the home of a request in the
// directory.
type LocateRequest struct {
	Request string `msg:"r"`
	// AgeMs is the time since the home received the request in milliseconds.
	// If two homes register, the one with the lower age wins.
	AgeMs uint32 `msg:"a"`
	// Ended removes the request from the directory.
	Ended bool `msg:"e"`
}

// LocateReply replies to a LocateRequest.
type LocateReply struct {
	// Previous is the incarnation of the home that the sender replaced, or 0 if
	// there was none.
	Previous uint64 `msg:"p"`
	// Replaced is set if another home received the request later, so that the
	// sender must drop it.
	Replaced bool `msg:"x"`
}

// Drop notifies a home that the sender has taken over its request.
type Drop struct {
	Request string `msg:"r"`
}
