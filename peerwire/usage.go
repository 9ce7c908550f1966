package peerwire

//go:generate go tool msgp -file usage.go -tests=false

// CustomerUsage is what one customer used at the sending host.
type CustomerUsage struct {
	Customer         string  `msg:"c"`
	AdmittedRequests float64 `msg:"ar"`
	AdmittedTokens   float64 `msg:"at"`
	WantedRequests   float64 `msg:"wr"`
	WantedTokens     float64 `msg:"wt"`
}

// Usage reports customers' use to the host that coordinates their limits; its
// answer is Shares.
type Usage struct {
	Usages []CustomerUsage `msg:"u"`
}

// CustomerShare is the part of a customer's limit that a host may use.
type CustomerShare struct {
	Customer string  `msg:"c"`
	Part     float64 `msg:"p"`
	Burst    float64 `msg:"b"`
}

// Shares answers a Usage.
type Shares struct {
	Shares []CustomerShare `msg:"s"`
}
