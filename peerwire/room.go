package peerwire

//go:generate go tool msgp -file room.go -tests=false

// RoomAsk asks the host that places a service's requests for room at its
// engines. The answer may take as long as the request may wait.
type RoomAsk struct {
	Service string `msg:"service"`
	Request string `msg:"request"`
	// Ask numbers the asks of a host, for RoomDrop.
	Ask uint64 `msg:"ask"`
	// Prompt and Tokens count the prompt, and all that is to be reserved.
	Prompt uint32 `msg:"prompt"`
	Tokens uint32 `msg:"tokens"`
	// AgeMs is how long ago the request arrived. OnTimeMs and StartMs are the
	// times left in which it has to start to be on time, and to be answered at
	// all; all in milliseconds.
	AgeMs    int64 `msg:"age-ms"`
	OnTimeMs int64 `msg:"on-time-ms"`
	StartMs  int64 `msg:"start-ms"`
	Priority int   `msg:"priority"`
	// Exclude and ExcludePrefill name engines to keep away from.
	Exclude        []string `msg:"exclude"`
	ExcludePrefill []string `msg:"exclude-prefill"`
}

// RoomAnswer answers a RoomAsk.
type RoomAnswer struct {
	// Grant names the room at the host that gave it.
	Grant uint64 `msg:"grant"`
	// Prefill is empty if the decode engine has to read the prompt.
	Prefill     string `msg:"prefill"`
	Decode      string `msg:"decode"`
	Reservation string `msg:"reservation"`
}

// RoomEnd tells the host that gave room what became of a part of it.
type RoomEnd struct {
	Grant uint64 `msg:"grant"`
	// Prefill is set for the prompt's part, unset for the rest.
	Prefill bool `msg:"prefill"`
	// Verdict is a placer.Verdict.
	Verdict uint8 `msg:"verdict"`
}

// RoomDrop tells the host that was asked for room that nobody waits for the
// answer any more, which may be on its way.
type RoomDrop struct {
	Ask uint64 `msg:"ask"`
}

// RoomPing asks whether a host still places requests.
type RoomPing struct{}

// RoomPong answers a RoomPing.
type RoomPong struct{}
