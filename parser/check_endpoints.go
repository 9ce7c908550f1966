package parser

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// firstUses maps a name or an address to the index of the first table that uses
// it.
type firstUses[K comparable] map[K]int

// add records that table i uses k and reports whether k was already in use.
func (f firstUses[K]) add(k K, i int) (taken bool) {
	if _, ok := f[k]; ok {
		return true
	}
	f[k] = i
	return false
}

func (c *checker) checkEndpoints() {
	count := c.file.EndpointCount()
	names := make(firstUses[identifier.Endpoint], count)
	addresses := make(firstUses[identifier.Address], count)
	for i := range c.file.Endpoints {
		e := &c.file.Endpoints[i]
		c.requireService(key("endpoint", i, "service"), e.Service)
		c.requireDataCenter(key("endpoint", i, "data-center"), e.DataCenter)
		c.checkRole(i, e)
		c.checkCapacity(i, e)
		if len(names)+max(e.Count, 0) > maxEndpoints {
			c.document.Addf(key("endpoint", i, "count"), "expected at most %d endpoints in all", maxEndpoints)
			return
		}
		c.checkDuplicates(i, e, names, addresses)
	}
}

func (c *checker) checkDuplicates(i int, e *Endpoint, names firstUses[identifier.Endpoint], addresses firstUses[identifier.Address]) {
	if e.Count < 1 || e.Name == "" || !decoder.IsAddress(string(e.Address)) {
		return
	}
	expanded, err := e.Expand()
	if err != nil {
		c.document.Addf(key("endpoint", i, "name"), "%s", err)
		return
	}
	for _, s := range expanded {
		if names.add(s.Name, i) {
			c.document.Addf(key("endpoint", i, "name"), "expected a unique name, %q is declared twice", s.Name)
		}
		if addresses.add(s.Address, i) {
			c.document.Addf(key("endpoint", i, "address"), "expected a unique address, %q is declared twice", s.Address)
		}
	}
}

// allowedRoles returns the roles that endpoints of a kind of service may have.
func allowedRoles(kind string) []string {
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
	if allowed := allowedRoles(s.Kind); !slices.Contains(allowed, e.Role) {
		c.document.Addf(key("endpoint", i, "role"), "expected %s for a service of kind %q, got %q", joinRoles(allowed), s.Kind, e.Role)
	}
}

// checkCapacity checks that the engine has enough KV cache for the longest
// request of its service.
func (c *checker) checkCapacity(i int, e *Endpoint) {
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

// checkRoles checks that every service has endpoints for all the roles that it
// requires.
func (c *checker) checkRoles() {
	roles := map[identifier.Service][]string{}
	for _, e := range c.file.Endpoints {
		roles[e.Service] = append(roles[e.Service], e.Role)
	}
	for i, s := range c.file.Services {
		if s.Name == "" {
			continue
		}
		for _, needed := range requiredRoles(s.Kind) {
			if !slices.ContainsFunc(roles[s.Name], func(r string) bool { return slices.Contains(needed, r) }) {
				c.document.Addf(key("service", i, "name"), "expected an endpoint with role %s for service %q, got none", joinRoles(needed), s.Name)
			}
		}
	}
}

// requiredRoles returns, for each stage of a service's requests, the roles that
// can handle it.
func requiredRoles(kind string) [][]string {
	if kind == KindPlain {
		return [][]string{{RolePlain}}
	}
	return [][]string{{RolePrefill, RoleBoth}, {RoleDecode, RoleBoth}}
}
