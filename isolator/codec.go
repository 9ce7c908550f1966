package isolator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

const (
	// Bounds of what is accepted from another host.
	maxEntries   = 512
	maxNameBytes = 256
	maxAge       = 24 * time.Hour
)

// encodeNews converts news to a message. Times become ages, since the hosts' clocks
// differ.
func encodeNews(n news, now time.Time) *peerwire.CrashNews {
	m := &peerwire.CrashNews{Origin: uint64(n.origin), Sequence: n.sequence}
	for _, e := range n.ends {
		m.Ends = append(m.Ends, encodeEnd(e, now))
	}
	for _, b := range n.begun {
		m.Begun = append(m.Begun, peerwire.BegunCount{Trait: string(b.Trait), Phase: uint8(b.Phase), Count: b.Count})
	}
	for _, v := range n.verdicts {
		m.Verdicts = append(m.Verdicts, peerwire.TraitVerdict{
			Trait: string(v.Trait), Phase: uint8(v.Phase),
			AgeMs: now.Sub(v.Since).Milliseconds(), LastSeenMs: now.Sub(v.LastSeen).Milliseconds(),
			Ends: v.Ends, Requests: v.Requests, Begun: v.Begun,
		})
	}
	return m
}

func encodeEnd(e quarantiner.End, now time.Time) peerwire.EngineEnd {
	m := peerwire.EngineEnd{Service: string(e.Service), Engine: string(e.Engine), StartID: e.StartID, Phase: uint8(e.Phase), AgeMs: now.Sub(e.At).Milliseconds()}
	for _, c := range e.Calls {
		m.Calls = append(m.Calls, peerwire.BrokenCall{Request: string(c.Request), Traits: identifier.TraitStrings(c.Traits)})
	}
	return m
}

// decodeNews converts a message to news. It rejects a message that no host of this
// program sends.
func decodeNews(m *peerwire.CrashNews, now time.Time) (news, error) {
	n := news{origin: identifier.Incarnation(m.Origin), sequence: m.Sequence}
	if len(m.Ends) > maxEntries || len(m.Begun) > maxEntries || len(m.Verdicts) > maxEntries {
		return n, malformed("too many entries")
	}
	for _, e := range m.Ends {
		end, err := decodeEnd(e, now)
		if err != nil {
			return news{}, err
		}
		n.ends = append(n.ends, end)
	}
	for _, b := range m.Begun {
		if !validTrait(b.Trait) || !validPhase(b.Phase) || b.Count < 0 || b.Count > quarantiner.MaxBegun {
			return news{}, malformed("count of begun answers")
		}
		n.begun = append(n.begun, quarantiner.BegunCount{Trait: identifier.Trait(b.Trait), Phase: quarantiner.Phase(b.Phase), Count: b.Count})
	}
	for _, v := range m.Verdicts {
		if !validTrait(v.Trait) || !validPhase(v.Phase) {
			return news{}, malformed("verdict")
		}
		n.verdicts = append(n.verdicts, quarantiner.Verdict{
			Trait: identifier.Trait(v.Trait), Phase: quarantiner.Phase(v.Phase),
			Since: before(now, v.AgeMs), LastSeen: before(now, v.LastSeenMs),
			Ends: v.Ends, Requests: v.Requests, Begun: v.Begun,
		})
	}
	return n, nil
}

func decodeEnd(m peerwire.EngineEnd, now time.Time) (quarantiner.End, error) {
	if len(m.Service) > maxNameBytes || len(m.Engine) > maxNameBytes || !validPhase(m.Phase) || len(m.Calls) > maxEntries {
		return quarantiner.End{}, malformed("engine end")
	}
	e := quarantiner.End{
		Service: identifier.Service(m.Service), Engine: identifier.Endpoint(m.Engine), StartID: m.StartID, Phase: quarantiner.Phase(m.Phase), At: before(now, m.AgeMs),
	}
	for _, c := range m.Calls {
		if len(c.Request) > maxNameBytes || len(c.Traits) > quarantiner.MaxTraits {
			return quarantiner.End{}, malformed("call of an engine end")
		}
		call := quarantiner.Call{Request: identifier.Request(c.Request)}
		for _, g := range c.Traits {
			if !validTrait(g) {
				return quarantiner.End{}, malformed("trait")
			}
			call.Traits = append(call.Traits, identifier.Trait(g))
		}
		e.Calls = append(e.Calls, call)
	}
	return e, nil
}

func validTrait(g string) bool {
	return g != "" && len(g) <= quarantiner.MaxTraitBytes
}

func validPhase(p uint8) bool {
	return p <= uint8(quarantiner.PhasePrefill)
}

// before returns the time that lies an age in milliseconds before now.
func before(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMs), maxAge.Milliseconds())) * time.Millisecond)
}

func malformed(what string) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed news of engine ends: %s", what)
}
