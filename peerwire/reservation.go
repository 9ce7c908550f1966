package peerwire

//go:generate go tool msgp -file reservation.go -tests=false

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
	// AgeMs is the time since the request arrived. OnTimeMs and FirstEventMs are the
	// times left until its first event must arrive for it to be on time, and to be
	// served at all, and DeadlineMs until its response must be complete; hosts of
	// earlier versions don't send the last one. All are in milliseconds.
	AgeMs        int64 `msg:"age-ms"`
	OnTimeMs     int64 `msg:"on-time-ms"`
	FirstEventMs int64 `msg:"start-ms"`
	DeadlineMs   int64 `msg:"deadline-ms"`
	Priority     int   `msg:"priority"`
	// Customer is empty if the caller is none that is declared. Fingerprint is the same
	// for repeats of a request by its caller; 0 means unknown. SpentUs is the engines'
	// time that earlier attempts at the request have taken, in microseconds.
	Customer    string `msg:"customer"`
	Fingerprint uint64 `msg:"fingerprint"`
	SpentUs     int64  `msg:"spent-us"`
	// Exclude and ExcludePrefill list engines to avoid.
	Exclude        []string `msg:"exclude,limit=65536"`
	ExcludePrefill []string `msg:"exclude-prefill,limit=65536"`
	// WantModel asks for the model in the reply. Model is the sender's copy, for a
	// host that may have no measurements; nil if the sender has none either or has
	// already sent it.
	WantModel bool         `msg:"want-model"`
	Model     *EngineModel `msg:"model"`
}

// ReservationReply replies to a ReservationRequest.
type ReservationReply struct {
	// Grant identifies the reservation at the host that granted it.
	Grant uint64 `msg:"grant"`
	// Prefill is empty if the decode engine also runs the prefill.
	Prefill     string `msg:"prefill"`
	Decode      string `msg:"decode"`
	Reservation string `msg:"reservation"`
	// PrefillPermit and DecodePermit name the hosts that granted permits for the calls to the
	// engines; empty if they have named no limits.
	PrefillPermit string `msg:"prefill-permit"`
	DecodePermit  string `msg:"decode-permit"`
	// Model is nil if it wasn't asked for or isn't known.
	Model *EngineModel `msg:"model"`
}

// ReservationOutcome reports the outcome of a part of a reservation to the host
// that granted it.
type ReservationOutcome struct {
	Grant uint64 `msg:"grant"`
	// Prefill is set for the prefill part and unset for the rest.
	Prefill bool `msg:"prefill"`
	// Verdict is a placer.Verdict.
	Verdict uint8 `msg:"verdict"`
	// TookUs and FirstEventUs are a successful response's duration and the time to
	// its first event, in microseconds; 0 means unknown.
	TookUs       int64 `msg:"took-us"`
	FirstEventUs int64 `msg:"first-event-us"`
	// EventIntervalUs is the mean time between two events of a response, complete or
	// not, in microseconds; 0 means unknown.
	EventIntervalUs int64 `msg:"event-interval-us"`
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

// EngineModel is an estimator.Model: what a host has measured of a service's
// engines.
type EngineModel struct {
	Prefills            SampleRegression `msg:"prefills"`
	BusyPrefills        SampleRegression `msg:"busy-prefills"`
	Queueing            SampleAverage    `msg:"queueing"`
	PromptTokens        SampleAverage    `msg:"prompt-tokens"`
	FirstEvents         SampleAverage    `msg:"first-events"`
	OutputTokens        SampleAverage    `msg:"output-tokens"`
	OutputTimes         SampleAverage    `msg:"output-times"`
	OutputDeviations    SampleAverage    `msg:"output-deviations"`
	MeasuredOutputTimes SampleAverage    `msg:"measured-output-times"`
	EventIntervals      SampleAverage    `msg:"event-intervals"`
	MemoryUse           SampleAverage    `msg:"memory-use"`
}

// SampleAverage is an estimator.Average.
type SampleAverage struct {
	Count     int     `msg:"count"`
	Mean      float64 `msg:"mean"`
	Deviation float64 `msg:"deviation"`
}

// SampleRegression is an estimator.Regression.
type SampleRegression struct {
	Count int     `msg:"count"`
	X     float64 `msg:"x"`
	Y     float64 `msg:"y"`
	XX    float64 `msg:"xx"`
	XY    float64 `msg:"xy"`
	YY    float64 `msg:"yy"`
}
