package parser

import (
	"fmt"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

func (c *checker) checkContracts() {
	names := firstUses[string]{}
	for i, t := range c.file.Contracts {
		if names.add(t.Name, i) && t.Name != "" {
			c.document.Addf(key("contract", i, "name"), "expected a unique name, %q is declared twice", t.Name)
		}
		c.requireService(key("contract", i, "service"), t.Service)
		for _, k := range []string{"start", "end"} {
			if path := key("contract", i, k); !c.document.Has(path) {
				c.document.Addf(path, "expected a value, but the key is missing or empty")
			}
		}
		if t.Borrower == c.file.Firm {
			c.document.Addf(key("contract", i, "borrower"), "expected a firm other than %q", c.file.Firm)
		}
		if t.Start == t.End && c.document.Has(key("contract", i, "end")) {
			c.document.Addf(key("contract", i, "end"), "expected a time other than the start")
		}
		c.firms[t.Borrower] = true
	}
	c.checkShares()
}

// activeAt reports whether the contract lends slots at the given time of day.
func (t *Contract) activeAt(at TimeOfDay) bool {
	if t.Start <= t.End {
		return at >= t.Start && at < t.End
	}
	return at >= t.Start || at < t.End
}

// maxContracts is the maximum number of contracts in a file.
const maxContracts = 1_000

// checkShares checks that the contracts of a service never lend more than all of
// its slots. Only the starts of contracts are checked, since the total share
// rises nowhere else.
func (c *checker) checkShares() {
	const rounding = 1e-9 // tolerance for floating-point sums of shares
	if len(c.file.Contracts) > maxContracts {
		c.document.Addf("contract", "expected at most %d contracts, got %d", maxContracts, len(c.file.Contracts))
		return
	}
	for i, t := range c.file.Contracts {
		lent := 0.0
		for _, other := range c.file.Contracts {
			if other.Service == t.Service && other.activeAt(t.Start) {
				lent += other.Share
			}
		}
		if lent > 1+rounding && t.Share <= 1 {
			c.document.Addf(key("contract", i, "share"), "expected at most 1 lent of service %q at any time, got %.4g at the start of %q", t.Service, lent, t.Name)
		}
	}
}

func (c *checker) checkCustomers() {
	names := make(firstUses[identifier.Customer], c.file.CustomerCount())
	for i := range c.file.Customers {
		u := &c.file.Customers[i]
		if (u.Name == "") == (len(u.Names) == 0) {
			c.document.Addf(key("customer", i, "name"), "expected either name or names")
		}
		for j, name := range u.AllNames() {
			if names.add(name, i) {
				c.document.Addf(key("customer", i, u.nameKey(j)), "expected a unique name, %q is declared twice", name)
			}
		}
		if !c.firms[u.Firm] {
			c.document.Addf(key("customer", i, "firm"), "expected the firm %q or the borrower of a contract, got %q", c.file.Firm, u.Firm)
		}
	}
}

// AllNames returns the names of the customers that the table declares.
func (u *Customer) AllNames() []identifier.Customer {
	if u.Name != "" {
		return []identifier.Customer{u.Name}
	}
	return u.Names
}

// nameKey returns the key that holds element j of AllNames.
func (u *Customer) nameKey(j int) string {
	if u.Name != "" {
		return "name"
	}
	return fmt.Sprintf("names[%d]", j)
}
