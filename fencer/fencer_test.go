package fencer_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/fencer"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// collidingNames returns names of hosts whose hashes have the same remainder.
func collidingNames(count int) []identifier.Host {
	var names []identifier.Host
	for n := 0; len(names) < count; n++ {
		if name := fmt.Sprintf("front-a-%d", n); xxhash.Sum64String(name)%1000 == 794 {
			names = append(names, identifier.Host(name))
		}
	}
	return names
}

// earlierToken is the highest token of the previous build at a position.
func earlierToken(p identifier.Position) fencer.Token {
	return fencer.Token(2_000_000_000_000_000 + uint64(p.Era)*10_000_000_000 + uint64(p.Revision)*1000 + 999)
}

// model is an engine that checks tokens, and the hosts that order it.
type model struct {
	t     *rapid.T
	names []identifier.Host
	hosts map[identifier.Host]*fencer.Fencer
	skew  map[identifier.Host]time.Duration
	now   time.Time
	// position is that of the store.
	position identifier.Position
	// seen is the highest token that the engine has seen.
	seen fencer.Token
	used map[fencer.Token]identifier.Host
	// refused are the tokens that the hosts know to be refused.
	refused map[fencer.Claim]bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, hosts: map[identifier.Host]*fencer.Fencer{}, skew: map[identifier.Host]time.Duration{},
		now: start, position: identifier.Position{Era: 1, Revision: 1}, used: map[fencer.Token]identifier.Host{}, refused: map[fencer.Claim]bool{},
	}
	m.names = append(collidingNames(4), "front-b-1", "front-b-2")
	for _, name := range m.names {
		m.restart(name)
		m.skew[name] = time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew-ms")) * time.Millisecond
	}
	return m
}

// restart makes a host forget all tokens.
func (m *model) restart(name identifier.Host) {
	m.hosts[name] = fencer.New(name)
	maps.DeleteFunc(m.refused, func(c fencer.Claim, _ bool) bool { return c.Holder == name })
}

// claim lets a host claim a token, and tells some of the others.
func (m *model) claim(name identifier.Host) fencer.Claim {
	m.now = m.now.Add(6 * time.Second)
	f := m.hosts[name]
	c := f.Claim(m.position, m.names, m.now.Add(m.skew[name]))
	for _, other := range m.names {
		if other != name && rapid.Bool().Draw(m.t, "told") {
			m.hosts[other].Hear(c)
			f.Hear(m.hosts[other].Highest())
		}
	}
	if f.Contested(c) {
		c = f.Claim(m.position, m.names, m.now.Add(m.skew[name]))
	}
	if holder, ok := m.used[c.Token]; ok && holder != name {
		m.t.Fatalf("%s claims token %d of %s", name, c.Token, holder)
	}
	if m.refused[c] {
		m.t.Fatalf("%s claims token %d again, which was refused", name, c.Token)
	}
	if c.Token >= 1<<53 || c.Token <= earlierToken(m.position) {
		m.t.Fatalf("token %d is out of range at %v", c.Token, m.position)
	}
	m.used[c.Token] = name
	return c
}

// takeOver lets a host claim a token and order the engine.
func (m *model) takeOver(name identifier.Host) {
	c := m.claim(name)
	if c.Token < m.seen {
		m.hosts[name].Refuse()
		m.refused[c] = true
		c = m.claim(name)
	}
	if c.Token < m.seen {
		m.t.Fatalf("second token %d of %s is refused, the engine has seen %d", c.Token, name, m.seen)
	}
	m.seen = c.Token
}

// TestTokensProperty guards against two hosts that use one token, a host that repeats a
// refused one, and a holder whose orders are refused for longer than its first try, whatever
// hosts know of each other's claims.
func TestTokensProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "restore", "restart", "restart-all", "take-over", "take-over", "take-over"}).Draw(t, "step") {
			case "write":
				m.position.Revision += identifier.Revision(rapid.Uint64Range(1, 1_000_000).Draw(t, "writes"))
			case "restore":
				m.position.Era++
				m.position.Revision -= identifier.Revision(rapid.Uint64Range(0, uint64(m.position.Revision)-1).Draw(t, "lost"))
			case "restart":
				m.restart(rapid.SampledFrom(m.names).Draw(t, "host"))
			case "restart-all":
				for _, name := range m.names {
					m.restart(name)
				}
			case "take-over":
				m.takeOver(rapid.SampledFrom(m.names).Draw(t, "host"))
			}
		}
	})
}

// TestPositionsProperty checks that the tokens of hosts that know a later position of
// the store are higher, also after restores, which set the revision back, and that
// no two hosts share one, though they hear nothing of each other.
func TestPositionsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := identifier.Position{Revision: 1}
		hosts := map[identifier.Host]*fencer.Fencer{}
		used := map[fencer.Token]identifier.Host{}
		last := fencer.Token(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				p.Era++
				p.Revision -= identifier.Revision(rapid.Uint64Range(0, uint64(p.Revision)-1).Draw(t, "lost"))
			} else {
				p.Revision += identifier.Revision(rapid.Uint64Range(1, 1_000_000).Draw(t, "writes"))
			}
			host := identifier.Host(fmt.Sprintf("host-%d", rapid.IntRange(0, 3).Draw(t, "host")))
			if hosts[host] == nil {
				hosts[host] = fencer.New(host)
			}
			c := hosts[host].Claim(p, nil, start)
			if c.Token <= last {
				t.Fatalf("token of %s at %v is %d, after %d", host, p, c.Token, last)
			}
			if other, ok := used[c.Token]; ok {
				t.Fatalf("%s and %s share token %d", host, other, c.Token)
			}
			used[c.Token], last = host, c.Token
		}
	})
}

func TestClaim(t *testing.T) {
	names := collidingNames(2)
	here := identifier.Position{Era: 1, Revision: 6}
	t.Run("hosts whose names have the same hash use different tokens at one position", func(t *testing.T) {
		a, b := fencer.New(names[0]), fencer.New(names[1])
		is.New(t).True(a.Claim(here, names, start).Token != b.Claim(here, names, start).Token)
	})
	t.Run("a host that has heard of a claim exceeds it at the same position", func(t *testing.T) {
		i := is.New(t)
		for _, order := range [][]identifier.Host{{names[0], names[1]}, {names[1], names[0]}} {
			a, b := fencer.New(order[0]), fencer.New(order[1])
			first := a.Claim(here, names, start)
			b.Hear(first)
			i.True(b.Claim(here, names, start).Token > first.Token)
		}
	})
	t.Run("hosts that don't know each other's names and claim one token at once separate", func(t *testing.T) {
		i := is.New(t)
		a, b := fencer.New(names[0]), fencer.New(names[1])
		first, second := a.Claim(here, names[:1], start), b.Claim(here, names[1:], start)
		i.Equal(first.Token, second.Token)
		a.Hear(second)
		b.Hear(first)
		i.True(a.Contested(first))
		i.True(b.Contested(second))
		i.True(a.Claim(here, names[:1], start).Token != b.Claim(here, names[1:], start).Token)
	})
	t.Run("tokens rise with the revision, whatever host uses them", func(t *testing.T) {
		i := is.New(t)
		last := fencer.Token(0)
		for revision := range identifier.Revision(50) {
			host := identifier.Host(fmt.Sprintf("h%d", revision%7))
			c := fencer.New(host).Claim(identifier.Position{Revision: revision}, nil, start)
			i.True(c.Token > last)
			last = c.Token
		}
	})
	t.Run("tokens of one host rise within a revision", func(t *testing.T) {
		i := is.New(t)
		f := fencer.New("h")
		last := fencer.Token(0)
		for range 5 {
			c := f.Claim(identifier.Position{Revision: 7}, nil, start)
			i.True(c.Token > last)
			last = c.Token
		}
	})
	t.Run("tokens exceed those of earlier versions, which were based on clocks", func(t *testing.T) {
		clock := uint64(time.Date(2032, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()) * 1000
		is.New(t).True(uint64(fencer.New("h").Claim(identifier.Position{Revision: 1}, nil, start).Token) > clock)
	})
	t.Run("tokens exceed those of the previous build at the same position, and are exceeded two revisions later", func(t *testing.T) {
		i := is.New(t)
		c := fencer.New("h").Claim(here, nil, start)
		i.True(c.Token > earlierToken(here))
		later := identifier.Position{Era: here.Era, Revision: here.Revision + 2}
		i.True(earlierToken(later)-999 > c.Token) // with the lowest place
	})
	t.Run("a thousand hosts that know each other have different places", func(t *testing.T) {
		i := is.New(t)
		var all []identifier.Host
		for n := range 1000 {
			all = append(all, identifier.Host(fmt.Sprintf("host-%d", n)))
		}
		used := map[fencer.Token]bool{}
		for _, name := range all {
			used[fencer.New(name).Claim(here, all, start).Token] = true
		}
		i.Equal(len(used), len(all))
	})
	t.Run("tokens that no host can have claimed are ignored", func(t *testing.T) {
		i := is.New(t)
		f := fencer.New("h")
		f.Hear(fencer.Claim{Token: 1 << 53, Holder: "x"})
		i.True(f.Claim(here, nil, start).Token < 1<<53)
		f.Hear(fencer.Claim{Token: 1<<53 - 1, Holder: "x"})
		i.True(f.Claim(here, nil, start).Token < 1<<53)
	})
}
