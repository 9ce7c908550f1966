package isolator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Stats counts what an Isolator has seen and decided.
type Stats struct {
	// Traits are the quarantines in force.
	Traits []TraitStats `json:"traits"`
	// Ends counts the engines that ended under requests of this host, EndsTold those of
	// which it was told.
	Ends     uint64 `json:"ends"`
	EndsTold uint64 `json:"ends-told"`
	// Verdicts and VerdictsTold count the quarantines by this host's own decision and by
	// that of others.
	Verdicts     uint64 `json:"verdicts"`
	VerdictsTold uint64 `json:"verdicts-told"`
	// Refused counts the calls that were not sent as a trait is quarantined, HeldBack
	// those whose trait was on trial.
	Refused  uint64 `json:"refused"`
	HeldBack uint64 `json:"held-back"`
}

// TraitStats describes a quarantine.
type TraitStats struct {
	Trait      identifier.Trait `json:"trait"`
	Phase      string           `json:"phase"`
	AgeMs      int64            `json:"age-ms"`
	LastSeenMs int64            `json:"last-seen-ms"`
	// Ends, Requests and Begun are the evidence at the time of the decision.
	Ends     int `json:"ends"`
	Requests int `json:"requests"`
	Begun    int `json:"begun"`
	// Refused counts the calls that this host did not send.
	Refused uint64 `json:"refused"`
}

// Stats returns the current counts.
func (i *Isolator) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	s := i.stats
	s.Traits = []TraitStats{}
	for _, v := range i.quarantiner.Verdicts(now) {
		s.Traits = append(s.Traits, TraitStats{
			Trait: v.Trait, Phase: v.Phase.String(),
			AgeMs: now.Sub(v.Since).Milliseconds(), LastSeenMs: now.Sub(v.LastSeen).Milliseconds(),
			Ends: v.Ends, Requests: v.Requests, Begun: v.Begun, Refused: i.refused[v.Trait],
		})
	}
	return s
}
