package peerwire

//go:generate go tool msgp -file room.go -tests=false

// ReservationRequest requests a reservation from the host that places a service's
// requests on its engines. The reply may take as long as the request may wait.
type ReservationRequest struct {
	Service string `msg:"service"`
	Request string `msg:"request"`
	// ID identifies the ReservationRequest among those of the sending host.
	// ReservationCancel refers to it.
	ID uint64 `msg:"ask"`
	// Prompt is the number of prompt tokens and Tokens the total number of
	// tokens to reserve.
	Prompt uint32 `msg:"prompt"`
	Tokens uint32 `msg:"tokens"`
	// AgeMs is the time since the request arrived. OnTimeMs and StartMs are the
	// remaining times in which the request must start to be on time, and to be
	// served at all. All are in milliseconds.
	AgeMs    int64 `msg:"age-ms"`
	OnTimeMs int64 `msg:"on-time-ms"`
	StartMs  int64 `msg:"start-ms"`
	Priority int   `msg:"priority"`
	// Exclude and ExcludePrefill list engines to avoid.
	Exclude        []string `msg:"exclude"`
	ExcludePrefill []string `msg:"exclude-prefill"`
}

// ReservationReply replies to a ReservationRequest.
type ReservationReply struct {
	// Grant identifies the reservation at the host that granted it.
	Grant uint64 `msg:"grant"`
	// Prefill is empty if the decode engine also runs the prefill.
	Prefill     string `msg:"prefill"`
	Decode      string `msg:"decode"`
	Reservation string `msg:"reservation"`
}

// ReservationOutcome reports the outcome of a part of a reservation to the host
// that granted it.
type ReservationOutcome struct {
	Grant uint64 `msg:"grant"`
	// Prefill is set for the prefill part and unset for the rest.
	Prefill bool `msg:"prefill"`
	// Verdict is a placer.Verdict.
	Verdict uint8 `msg:"verdict"`
}

// ReservationCancel cancels a ReservationRequest whose reply is no longer
// awaited. The reply may already have been sent.
type ReservationCancel struct {
	ID uint64 `msg:"ask"`
}

// ReservationPing checks that a host still places requests.
type ReservationPing struct{}

// ReservationPong replies to a ReservationPing.
type ReservationPong struct{}
