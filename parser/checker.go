package parser

import (
	"fmt"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// checker validates constraints that involve several keys of a file.
type checker struct {
	file        *File
	document    *decoder.Document
	dataCenters map[identifier.DataCenter]bool
	services    map[identifier.Service]*Service
	firms       map[identifier.Firm]bool
}

func newChecker(f *File, document *decoder.Document) *checker {
	return &checker{
		file:        f,
		document:    document,
		dataCenters: map[identifier.DataCenter]bool{},
		services:    map[identifier.Service]*Service{},
		firms:       map[identifier.Firm]bool{f.Firm: true},
	}
}

func (c *checker) check() {
	c.checkDataCenters()
	c.checkServices()
	c.checkEndpoints()
	c.checkRoles()
	c.checkLinks()
	c.checkContracts()
	c.checkCustomers()
}

func (c *checker) checkDataCenters() {
	for i, d := range c.file.DataCenters {
		if c.dataCenters[d.Name] && d.Name != "" {
			c.document.Addf(key("data-center", i, "name"), "expected a unique name, %q is declared twice", d.Name)
		}
		c.dataCenters[d.Name] = true
	}
}

func (c *checker) checkServices() {
	for i := range c.file.Services {
		s := &c.file.Services[i]
		if c.services[s.Name] != nil && s.Name != "" {
			c.document.Addf(key("service", i, "name"), "expected a unique name, %q is declared twice", s.Name)
			continue
		}
		c.services[s.Name] = s
		if s.Kind == KindPlain {
			c.checkPlain(i)
			continue
		}
		c.checkModel(i, s)
	}
}

// modelKeys are the keys that only model services may have.
var modelKeys = []string{
	"model", "version", "adapters", "first-token", "between-tokens",
	"max-prompt-tokens", "max-output-tokens",
}

func (c *checker) checkPlain(i int) {
	for _, k := range modelKeys {
		if path := key("service", i, k); c.document.Has(path) {
			c.document.Addf(path, `key is not allowed for a service of kind "plain"`)
		}
	}
}

func (c *checker) checkModel(i int, s *Service) {
	if s.Model == "" && !c.document.Has(key("service", i, "model")) {
		c.document.Addf(key("service", i, "model"), `expected a value for a service of kind "model", but the key is missing`)
	}
	if !s.Repeatable {
		c.document.Addf(key("service", i, "repeatable"), `expected true for a service of kind "model", got false`)
	}
	if s.FirstToken > s.Timeout {
		c.document.Addf(key("service", i, "first-token"), "expected at most the timeout of %v, got %v", s.Timeout, s.FirstToken)
	}
}

func (c *checker) checkLinks() {
	type ends struct{ from, to identifier.DataCenter }
	seen := map[ends]bool{}
	for i, l := range c.file.Links {
		c.requireDataCenter(key("link", i, "from"), l.From)
		c.requireDataCenter(key("link", i, "to"), l.To)
		pair := ends{from: l.From, to: l.To}
		if seen[pair] && l.From != "" && l.To != "" {
			c.document.Addf(key("link", i, "to"), "expected a unique link, %q to %q is declared twice", l.From, l.To)
		}
		seen[pair] = true
	}
}

func (c *checker) requireDataCenter(path string, name identifier.DataCenter) {
	if name != "" && !c.dataCenters[name] {
		c.document.Addf(path, "expected a declared data center, got %q", name)
	}
}

func (c *checker) requireService(path string, name identifier.Service) {
	if name != "" && c.services[name] == nil {
		c.document.Addf(path, "expected a declared service, got %q", name)
	}
}

// key returns the path of a key in entry i of an array of tables.
func key(array string, i int, name string) string {
	return fmt.Sprintf("%s[%d].%s", array, i, name)
}

// joinRoles formats roles for an error message.
func joinRoles(roles []string) string {
	return `"` + strings.Join(roles, `" or "`) + `"`
}
