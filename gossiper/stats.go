package gossiper

import "sync/atomic"

// Stats holds counts since the gossiper's start, and the state of its view.
type Stats struct {
	Probes        uint64 `json:"probes"`
	FailedProbes  uint64 `json:"failed-probes"`
	RelayedProbes uint64 `json:"relayed-probes"`
	Syncs         uint64 `json:"syncs"`
	// Suspected, Refuted and Died count state changes of members.
	Suspected uint64 `json:"suspected"`
	Refuted   uint64 `json:"refuted"`
	Died      uint64 `json:"died"`
	// Alive, Suspect, Leaving and Dead count the members of the current view.
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Leaving int `json:"leaving"`
	Dead    int `json:"dead"`
	// Superseded is set if another process has this host's name.
	Superseded bool `json:"superseded"`
}

type counters struct {
	probes, failed, relayed, syncs, suspected, refuted, died atomic.Uint64
}

// Stats returns the current counts.
func (g *Gossiper) Stats() Stats {
	c := &g.stats
	s := Stats{
		Probes:        c.probes.Load(),
		FailedProbes:  c.failed.Load(),
		RelayedProbes: c.relayed.Load(),
		Syncs:         c.syncs.Load(),
		Suspected:     c.suspected.Load(),
		Refuted:       c.refuted.Load(),
		Died:          c.died.Load(),
	}
	s.countMembers(g.View())
	return s
}

func (s *Stats) countMembers(v *View) {
	s.Superseded = v.Superseded()
	for _, n := range v.Members() {
		switch n.State {
		case StateAlive:
			s.Alive++
		case StateSuspect:
			s.Suspect++
		case StateLeaving:
			s.Leaving++
		case StateDead:
			s.Dead++
		}
	}
}

func (s *counters) countChange(c MemberChanged) {
	switch {
	case c.To == StateSuspect:
		s.suspected.Add(1)
	case c.To == StateDead:
		s.died.Add(1)
	case c.From != 0 && c.To == StateAlive:
		s.refuted.Add(1)
	}
}
