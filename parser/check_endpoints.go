package parser

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// firstPlace is the table that used a name or an address first.
type firstPlace[K comparable] map[K]int

// take notes that table i uses k and tells whether another used it before.
func (f firstPlace[K]) take(k K, i int) (taken bool) {
	if _, ok := f[k]; ok {
		return true
	}
	f[k] = i
	return false
}

func (c *checker) checkEndpoints() {
	count := c.file.EndpointCount()
	names := make(firstPlace[identifier.Endpoint], count)
	addresses := make(firstPlace[identifier.Address], count)
	for i := range c.file.Endpoints {
		e := &c.file.Endpoints[i]
		c.needService(key("endpoint", i, "service"), e.Service)
		c.needDataCenter(key("endpoint", i, "data-center"), e.DataCenter)
		c.checkRole(i, e)
		c.checkRoom(i, e)
		if len(names)+max(e.Count, 0) > maxEndpoints {
			c.document.Addf(key("endpoint", i, "count"), "expected at most %d endpoints in all", maxEndpoints)
			return
		}
		c.checkSingles(i, e, names, addresses)
	}
}

func (c *checker) checkSingles(i int, e *Endpoint, names firstPlace[identifier.Endpoint], addresses firstPlace[identifier.Address]) {
	if e.Count < 1 || e.Name == "" || !decoder.IsAddress(string(e.Address)) {
		return
	}
	singles, err := e.Expand()
	if err != nil {
		c.document.Addf(key("endpoint", i, "name"), "%s", err)
		return
	}
	for _, s := range singles {
		if names.take(s.Name, i) {
			c.document.Addf(key("endpoint", i, "name"), "expected names that differ, %q is declared twice", s.Name)
		}
		if addresses.take(s.Address, i) {
			c.document.Addf(key("endpoint", i, "address"), "expected addresses that differ, %q is declared twice", s.Address)
		}
	}
}

// rolesOf gives the roles that a kind of service knows.
func rolesOf(kind string) []string {
	if kind == KindPlain {
		return []string{RolePlain}
	}
	return []string{RolePrefill, RoleDecode, RoleBoth}
}

func (c *checker) checkRole(i int, e *Endpoint) {
	s := c.services[e.Service]
	if s == nil || !slices.Contains([]string{RolePrefill, RoleDecode, RoleBoth, RolePlain}, e.Role) {
		return
	}
	if known := rolesOf(s.Kind); !slices.Contains(known, e.Role) {
		c.document.Addf(key("endpoint", i, "role"), "expected %s for a service of kind %q, got %q", oneOf(known), s.Kind, e.Role)
	}
}

// checkRoom checks that the longest request of the service fits the engine.
func (c *checker) checkRoom(i int, e *Endpoint) {
	s := c.services[e.Service]
	if s == nil || s.Kind != KindModel || e.TokensPerPiece == 0 {
		return
	}
	longest := uint64(s.MaxPromptTokens) + uint64(s.MaxOutputTokens)
	needed := (longest + uint64(e.TokensPerPiece) - 1) / uint64(e.TokensPerPiece)
	if needed > uint64(e.Pieces) {
		c.document.Addf(key("endpoint", i, "pieces"),
			"expected at least %d, for the %d tokens of the longest request of service %q, got %d",
			needed, longest, s.Name, e.Pieces)
	}
}

// checkRoles checks that every service has endpoints for all of its work.
func (c *checker) checkRoles() {
	roles := map[identifier.Service][]string{}
	for _, e := range c.file.Endpoints {
		roles[e.Service] = append(roles[e.Service], e.Role)
	}
	for i, s := range c.file.Services {
		if s.Name == "" {
			continue
		}
		for _, needed := range neededRoles(s.Kind) {
			if !slices.ContainsFunc(roles[s.Name], func(r string) bool { return slices.Contains(needed, r) }) {
				c.document.Addf(key("service", i, "name"), "expected an endpoint with role %s for service %q, got none", oneOf(needed), s.Name)
			}
		}
	}
}

// neededRoles gives, for each part of a service's work, the roles that do it.
func neededRoles(kind string) [][]string {
	if kind == KindPlain {
		return [][]string{{RolePlain}}
	}
	return [][]string{{RolePrefill, RoleBoth}, {RoleDecode, RoleBoth}}
}
