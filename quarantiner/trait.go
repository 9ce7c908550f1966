package quarantiner

import (
	"strings"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/fingerprinter"
)

// Prefixes of the traits that stand for a request as a whole. IDs of prompt parts have no colon.
const (
	requestPrefix = "request:"
	callerPrefix  = "caller:"
)

// RequestTraits returns the traits of a request as a whole: the one that doesn't depend on its
// caller first, since of two traits with equal evidence the last one is quarantined.
func RequestTraits(f fingerprinter.Fingerprints) []identifier.Trait {
	return []identifier.Trait{
		identifier.Trait(requestPrefix + string(f.Request)),
		identifier.Trait(callerPrefix + string(f.Caller)),
	}
}

// IsRequest reports whether a trait stands for a request as a whole.
func IsRequest(t identifier.Trait) bool {
	return strings.HasPrefix(string(t), requestPrefix) || strings.HasPrefix(string(t), callerPrefix)
}

// suspectOf returns the suspect that a trait is in a phase. A request as a whole is one suspect in
// all phases, since it ends engines in whichever comes first.
func suspectOf(t identifier.Trait, p Phase) suspect {
	if IsRequest(t) {
		p = PhaseDecode
	}
	return suspect{trait: t, phase: p}
}
