package distributor

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// maxKept bounds how many values are kept, and maxKeptBytes their size in bytes. The
	// last one is always kept.
	maxKept      = 6
	maxKeptBytes = 3 << 20
	// maxForms bounds how many encoded forms of a value are kept.
	maxForms = 4
)

// cache holds the last values that were put in, and their encoded forms.
type cache struct {
	entries []cachedValue // the last one was put first
}

type cachedValue struct {
	digest identifier.Digest
	value  []byte
	forms  []*form
}

// put puts a value first. It reports whether the value is new.
func (c *cache) put(digest identifier.Digest, value []byte) bool {
	if n := c.index(digest); n >= 0 {
		e := c.entries[n]
		c.entries = slices.Insert(slices.Delete(c.entries, n, n+1), 0, e)
		return false
	}
	c.entries = slices.Insert(c.entries, 0, cachedValue{digest: digest, value: value})
	bytes := 0
	for n, e := range c.entries {
		bytes += len(e.value)
		if n > 0 && (n >= maxKept || bytes > maxKeptBytes) {
			c.entries = slices.Delete(c.entries, n, len(c.entries))
			break
		}
	}
	return true
}

func (c *cache) index(digest identifier.Digest) int {
	return slices.IndexFunc(c.entries, func(e cachedValue) bool { return e.digest == digest })
}

// value returns a value, or nil.
func (c *cache) value(digest identifier.Digest) []byte {
	if n := c.index(digest); n >= 0 {
		return c.entries[n].value
	}
	return nil
}

// form returns a value's form against a base, or nil.
func (c *cache) form(digest, base identifier.Digest) *form {
	n := c.index(digest)
	if n < 0 {
		return nil
	}
	for _, f := range c.entries[n].forms {
		if f.base == base {
			return f
		}
	}
	return nil
}

// putForm keeps a form of a value, in place of the oldest one, if the value is kept.
func (c *cache) putForm(digest identifier.Digest, f *form) {
	n := c.index(digest)
	if n < 0 {
		return
	}
	e := &c.entries[n]
	if len(e.forms) >= maxForms {
		e.forms = slices.Delete(e.forms, 0, 1)
	}
	e.forms = append(e.forms, f)
}
