package peerwire

//go:generate go tool msgp -file trials.go -tests=false

// TrialRequest asks the host that coordinates the trials of a trait whether a request with it may
// be sent. Hosts of earlier versions don't know it.
type TrialRequest struct {
	Trait string `msg:"trait"`
	// Trial is chosen by the sender. A request for a trial that was granted before extends it.
	Trial uint64 `msg:"trial"`
	// LeaseMs is how long the trial lasts at most.
	LeaseMs int64 `msg:"lease-ms"`
	// Ended is set if the trial has ended. There is no reply then.
	Ended bool `msg:"ended"`
}

// TrialReply replies to a TrialRequest.
type TrialReply struct {
	Granted bool `msg:"granted"`
}
