package peerwire

//go:generate go tool msgp -file digest.go -tests=false

// PoolLoad reports the expected waits at a pool in the sender's data center.
type PoolLoad struct {
	Service string `msg:"s"`
	// UrgentMs and PatientMs are the expected waits in milliseconds of an
	// urgent and a patient request that arrives now.
	UrgentMs  uint32 `msg:"u"`
	PatientMs uint32 `msg:"p"`
}

// LoadDigest reports the load of the pools that a host allocates. It is
// distributed with the membership updates.
type LoadDigest struct {
	Pools []PoolLoad `msg:"p,limit=65536"`
}
