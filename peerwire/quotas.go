package peerwire

//go:generate go tool msgp -file quotas.go -tests=false

// QuotaAsk is a lender.Ask.
type QuotaAsk struct {
	Customer string  `msg:"c"`
	Least    float64 `msg:"l"`
	Most     float64 `msg:"m"`
	Size     float64 `msg:"s"`
}

// QuotaRequest asks a granting host for units of customers' quotas. The reply is a QuotaReply.
type QuotaRequest struct {
	Asks []QuotaAsk `msg:"a,limit=4096"`
}

// QuotaLoan answers one QuotaAsk.
type QuotaLoan struct {
	// Ready is unset if the host doesn't lend units of this quota, or not yet.
	Ready  bool    `msg:"r"`
	Amount float64 `msg:"a"`
	Level  float64 `msg:"l"`
}

// QuotaReply replies to a QuotaRequest, in the order of its asks.
type QuotaReply struct {
	Loans []QuotaLoan `msg:"l,limit=4096"`
}

// QuotaUnused is an amount that goes back.
type QuotaUnused struct {
	Customer string  `msg:"c"`
	Amount   float64 `msg:"a"`
}

// QuotaReturn returns borrowed units that were not used.
type QuotaReturn struct {
	// Sequence increases with each QuotaReturn of a process.
	Sequence uint64        `msg:"n"`
	Unused   []QuotaUnused `msg:"u,limit=4096"`
}
