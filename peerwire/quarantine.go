package peerwire

//go:generate go tool msgp -file quarantine.go -tests=false

// CrashNews tells a host which engines have ended under which requests, and which
// traits are quarantined for that. Hosts of earlier versions don't know it.
type CrashNews struct {
	Ends     []EngineEnd    `msg:"ends,limit=65536"`
	Begun    []BegunCount   `msg:"begun,limit=65536"`
	Verdicts []TraitVerdict `msg:"verdicts,limit=65536"`
	// Origin is the process that counted Begun, and Sequence numbers these counts of it, from 1, as
	// they may arrive from it and by way of another host. Sequence is 0 from hosts of earlier versions.
	Origin   uint64 `msg:"origin"`
	Sequence uint64 `msg:"sequence"`
	// Forward asks the receiver to pass on to all hosts what is news to it.
	Forward bool `msg:"forward"`
	// Want asks for what the receiver knows, as a CrashNews.
	Want bool `msg:"want"`
	// Joined is set in a reply if the sender has learned what others know, or has run for
	// some time.
	Joined bool `msg:"joined"`
}

// EngineEnd is a quarantiner.End.
type EngineEnd struct {
	// Service is empty from hosts of earlier versions.
	Service string       `msg:"service"`
	Engine  string       `msg:"engine"`
	StartID int64        `msg:"started"`
	Phase   uint8        `msg:"phase"`
	AgeMs   int64        `msg:"age-ms"`
	Calls   []BrokenCall `msg:"calls,limit=65536"`
}

// BrokenCall is a quarantiner.Call.
type BrokenCall struct {
	Request string   `msg:"request"`
	Traits  []string `msg:"segments,limit=65536"`
}

// BegunCount is a quarantiner.BegunCount.
type BegunCount struct {
	Trait string `msg:"segment"`
	Phase uint8  `msg:"phase"`
	Count int    `msg:"count"`
}

// TraitVerdict is a quarantiner.Verdict, with ages in place of times.
type TraitVerdict struct {
	Trait      string `msg:"segment"`
	Phase      uint8  `msg:"phase"`
	AgeMs      int64  `msg:"age-ms"`
	LastSeenMs int64  `msg:"last-seen-ms"`
	Ends       int    `msg:"ends"`
	Requests   int    `msg:"requests"`
	Begun      int    `msg:"begun"`
}
