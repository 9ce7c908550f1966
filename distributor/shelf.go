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

// shelf holds the last values that were put on it, and their encoded forms.
type shelf struct {
	entries []shelfEntry // the last one was put first
}

type shelfEntry struct {
	digest identifier.Digest
	value  []byte
	forms  []*form
}

// put puts a value first. It reports whether the value is new.
func (s *shelf) put(digest identifier.Digest, value []byte) bool {
	if n := s.index(digest); n >= 0 {
		e := s.entries[n]
		s.entries = slices.Insert(slices.Delete(s.entries, n, n+1), 0, e)
		return false
	}
	s.entries = slices.Insert(s.entries, 0, shelfEntry{digest: digest, value: value})
	bytes := 0
	for n, e := range s.entries {
		bytes += len(e.value)
		if n > 0 && (n >= maxKept || bytes > maxKeptBytes) {
			s.entries = slices.Delete(s.entries, n, len(s.entries))
			break
		}
	}
	return true
}

func (s *shelf) index(digest identifier.Digest) int {
	return slices.IndexFunc(s.entries, func(e shelfEntry) bool { return e.digest == digest })
}

// value returns a value, or nil.
func (s *shelf) value(digest identifier.Digest) []byte {
	if n := s.index(digest); n >= 0 {
		return s.entries[n].value
	}
	return nil
}

// form returns a value's form against a base, or nil.
func (s *shelf) form(digest, base identifier.Digest) *form {
	n := s.index(digest)
	if n < 0 {
		return nil
	}
	for _, f := range s.entries[n].forms {
		if f.base == base {
			return f
		}
	}
	return nil
}

// putForm keeps a form of a value, in place of the oldest one, if the value is kept.
func (s *shelf) putForm(digest identifier.Digest, f *form) {
	n := s.index(digest)
	if n < 0 {
		return
	}
	e := &s.entries[n]
	if len(e.forms) >= maxForms {
		e.forms = slices.Delete(e.forms, 0, 1)
	}
	e.forms = append(e.forms, f)
}
