package peerwire

//go:generate go tool msgp -file digest.go -tests=false

// PoolLoad is how long requests wait at a pool of the sender's data center.
type PoolLoad struct {
	Service string `msg:"s"`
	// UrgentMs and PatientMs are the expected waits of a request that comes
	// now, in milliseconds.
	UrgentMs  uint32 `msg:"u"`
	PatientMs uint32 `msg:"p"`
}

// LoadDigest is the load of the pools that a host allocates. It travels with
// the news of membership.
type LoadDigest struct {
	Pools []PoolLoad `msg:"p"`
}
