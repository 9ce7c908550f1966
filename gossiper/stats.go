package gossiper

import "sync/atomic"

// Stats count what a gossiper did since its start.
type Stats struct {
	Probes       uint64 `json:"probes"`
	FailedProbes uint64 `json:"failed-probes"`
	Relayed      uint64 `json:"relayed-probes"`
	Syncs        uint64 `json:"syncs"`
	// Suspected, Refuted and Died count changes of members' states.
	Suspected uint64 `json:"suspected"`
	Refuted   uint64 `json:"refuted"`
	Died      uint64 `json:"died"`
	// Members of the present view, by state.
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Leaving int `json:"leaving"`
	Dead    int `json:"dead"`
	// Superseded tells that another process has this host's name.
	Superseded bool `json:"superseded"`
}

type counters struct {
	probes, failed, relayed, syncs, suspected, refuted, died atomic.Uint64
}

// Stats gives the counts so far.
func (g *Gossiper) Stats() Stats {
	c := &g.stats
	s := Stats{
		Probes:       c.probes.Load(),
		FailedProbes: c.failed.Load(),
		Relayed:      c.relayed.Load(),
		Syncs:        c.syncs.Load(),
		Suspected:    c.suspected.Load(),
		Refuted:      c.refuted.Load(),
		Died:         c.died.Load(),
	}
	s.addView(g.View())
	return s
}

func (s *Stats) addView(v *View) {
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

func (s *counters) count(c Changed) {
	switch {
	case c.To == StateSuspect:
		s.suspected.Add(1)
	case c.To == StateDead:
		s.died.Add(1)
	case c.From != 0 && c.To == StateAlive:
		s.refuted.Add(1)
	}
}
