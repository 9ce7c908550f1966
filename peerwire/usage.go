package peerwire

//go:generate go tool msgp -file usage.go -tests=false

// CustomerUsage is one customer's usage at the sending host.
type CustomerUsage struct {
	Customer         string  `msg:"c"`
	AdmittedRequests float64 `msg:"ar"`
	AdmittedTokens   float64 `msg:"at"`
	WantedRequests   float64 `msg:"wr"`
	WantedTokens     float64 `msg:"wt"`
}

// Usage reports customers' usage to the host that coordinates their limits. The
// reply is Shares.
type Usage struct {
	Usages []CustomerUsage `msg:"u,limit=65536"`
}

// CustomerShare is the share of a customer's limit that a host may use.
type CustomerShare struct {
	Customer string  `msg:"c"`
	Fraction float64 `msg:"p"`
	Burst    float64 `msg:"b"`
}

// Shares replies to a Usage.
type Shares struct {
	Shares []CustomerShare `msg:"s,limit=65536"`
}
