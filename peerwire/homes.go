package peerwire

//go:generate go tool msgp -file homes.go -tests=false

// Locate tells the directory of a request where its home is.
type Locate struct {
	Request string `msg:"r"`
	// AgeMs is the time since the home received the request, in
	// milliseconds; of two homes the one with the lesser age counts.
	AgeMs uint32 `msg:"a"`
	// Ended takes the request out of the directory.
	Ended bool `msg:"e"`
}

// Located answers a Locate.
type Located struct {
	// Previous is the incarnation of the home that the sender replaced; 0:
	// there was none.
	Previous uint64 `msg:"p"`
	// Replaced says that another home received the request later, so that
	// the sender has to drop it.
	Replaced bool `msg:"x"`
}

// Drop tells a home that its request was taken over by the sender.
type Drop struct {
	Request string `msg:"r"`
}
