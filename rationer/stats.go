package rationer

import (
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/pacer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// Stats counts what a Rationer has learned and decided.
type Stats struct {
	// Limits are the limits that are known.
	Limits []LimitStats `json:"limits"`
	// Changes counts the new facts that this host has learned from responses, ChangesTold
	// those of which it was told, and Malformed the limits that could not be read.
	Changes     uint64 `json:"changes"`
	ChangesTold uint64 `json:"changes-told"`
	Malformed   uint64 `json:"malformed"`
	// Granted counts the permits that this host granted, Returned those that came back.
	Granted  uint64 `json:"granted"`
	Returned uint64 `json:"returned"`
	// Refused counts the requests of this host that got no permit for an endpoint, Stopped
	// the planned calls that weren't sent without one.
	Refused uint64 `json:"refused"`
	Stopped uint64 `json:"stopped"`
}

// LimitStats describes the limit of an endpoint.
type LimitStats struct {
	Endpoint identifier.Endpoint `json:"endpoint"`
	Limit    pacer.Rate          `json:"limit"`
	Version  pacer.Version       `json:"version"`
	// Granters are the hosts that grant permits for it.
	Granters []identifier.Host `json:"granters"`
}

// Stats returns the current counts.
func (r *Rationer) Stats() Stats {
	now := time.Now()
	snapshot := r.deps.Registry.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Limits = []LimitStats{}
	for _, f := range r.pacer.Facts() {
		e := snapshot.Endpoint(f.Endpoint)
		if !f.Limited || e == nil {
			continue
		}
		s.Limits = append(s.Limits, LimitStats{Endpoint: f.Endpoint, Limit: f.Rate, Version: f.Version, Granters: r.granterNames(e, now)})
	}
	slices.SortFunc(s.Limits, func(a, b LimitStats) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return s
}

// granterNames returns the names of an endpoint's granting hosts. r.mu must be held.
func (r *Rationer) granterNames(e *registrar.Endpoint, now time.Time) []identifier.Host {
	var names []identifier.Host
	for _, m := range r.granters.of(e, r.deps.Members.View(), now) {
		names = append(names, m.Host)
	}
	return names
}
