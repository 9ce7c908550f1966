package peerwire

//go:generate go tool msgp -file limits.go -tests=false

// LimitFact is a pacer.Fact.
type LimitFact struct {
	Endpoint string  `msg:"endpoint"`
	StartID  int64   `msg:"started"`
	Version  uint64  `msg:"version"`
	Limited  bool    `msg:"limited"`
	Rate     float64 `msg:"rate"`
}

// LimitNews tells a host which endpoints named limits on the requests that they take from all
// hosts together. Hosts of earlier versions don't know it.
type LimitNews struct {
	Facts []LimitFact `msg:"facts,limit=65536"`
	// Forward asks the receiver to pass on to all hosts what is news to it.
	Forward bool `msg:"forward"`
	// Want asks for what the receiver knows, as a LimitNews.
	Want bool `msg:"want"`
	// Hosts are, in a reply, the hosts that the sender knows. A host that starts can't learn
	// from membership of those that are dead.
	Hosts []KnownHost `msg:"hosts,limit=65536"`
	// Joined is set in a reply if the sender has learned what others know, or has run for
	// some time.
	Joined bool `msg:"joined"`
}

// KnownHost is a host that another one knows.
type KnownHost struct {
	Host       string `msg:"host"`
	DataCenter string `msg:"data-center"`
}

// PermitRequest asks a granting host for a permit to send a request to an endpoint.
type PermitRequest struct {
	// Fact is what the sender knows of the endpoint's limit.
	Fact LimitFact `msg:"fact"`
	// MaxWaitUs is the longest time that the request may wait, in microseconds.
	MaxWaitUs int64 `msg:"max-wait-us"`
}

// PermitReply replies to a PermitRequest.
type PermitReply struct {
	// Granted is set if the request may be sent after the wait. Otherwise the host grants
	// none before the wait has passed.
	Granted bool  `msg:"granted"`
	WaitUs  int64 `msg:"wait-us"`
	// Fact is what the granting host knows of the endpoint's limit.
	Fact LimitFact `msg:"fact"`
}

// PermitReturn returns a permit that was not used.
type PermitReturn struct {
	Endpoint string `msg:"endpoint"`
	StartID  int64  `msg:"started"`
}
