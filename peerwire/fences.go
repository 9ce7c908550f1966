package peerwire

import "github.com/jackdawthread/jackdawthread/common/identifier"

//msgp:replace identifier.Host with:string

//go:generate go tool msgp -file fences.go -tests=false

// FenceClaim claims a fencing token for a service's orders, and replies to a claim with
// the highest one that is known. Hosts of earlier versions don't know it.
type FenceClaim struct {
	Service string          `msg:"service"`
	Token   uint64          `msg:"token"`
	Holder  identifier.Host `msg:"holder"`
}
