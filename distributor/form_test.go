package distributor

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// encodedForm returns the encoded form of a value against a dictionary.
func encodedForm(t *testing.T, value, dictionary []byte) *form {
	t.Helper()
	base := identifier.Digest(0)
	if dictionary != nil {
		base = identifier.DigestOf(dictionary)
	}
	f, err := encode(value, base, dictionary)
	is.New(t).NoErr(err)
	return f
}

func TestForms(t *testing.T) {
	value := bytes.Repeat([]byte("/quotes/ "), 20_000)
	dictionary := append([]byte("first "), value...)
	t.Run("are the same at each host", func(t *testing.T) {
		is.New(t).Equal(encodedForm(t, value, dictionary), encodedForm(t, value, dictionary))
	})
	t.Run("are decoded with their dictionary only", func(t *testing.T) {
		i := is.New(t)
		f := encodedForm(t, value, dictionary)
		decoded, err := decode(f.data, dictionary)
		i.NoErr(err)
		i.Equal(decoded, value)
		_, err = decode(f.data, nil)
		i.True(err != nil)
	})
	t.Run("of values that are too large aren't decoded", func(t *testing.T) {
		f := encodedForm(t, make([]byte, maxValueBytes+1), nil)
		_, err := decode(f.data, nil)
		is.New(t).True(err != nil)
	})
}

func TestCache(t *testing.T) {
	t.Run("holds the last values only", func(t *testing.T) {
		i := is.New(t)
		s := &cache{}
		for n := range maxKept + 3 {
			i.True(s.put(identifier.Digest(n+1), []byte{byte(n)}))
		}
		i.Equal(len(s.entries), maxKept)
		i.True(s.value(1) == nil)
		i.True(s.value(identifier.Digest(maxKept+3)) != nil)
	})
	t.Run("holds a value that is put again longest", func(t *testing.T) {
		i := is.New(t)
		s := &cache{}
		for n := range maxKept {
			s.put(identifier.Digest(n+1), []byte{byte(n)})
		}
		i.True(!s.put(1, []byte{0}))
		s.put(100, []byte{1})
		i.True(s.value(1) != nil)
		i.True(s.value(2) == nil)
	})
	t.Run("bounds the memory, but holds the last value", func(t *testing.T) {
		i := is.New(t)
		s := &cache{}
		s.put(1, make([]byte, 1<<20))
		s.put(2, make([]byte, maxKeptBytes+1))
		i.True(s.value(2) != nil)
		i.True(s.value(1) == nil)
	})
	t.Run("bounds the forms of a value", func(t *testing.T) {
		i := is.New(t)
		s := &cache{}
		s.put(1, []byte{1})
		for n := range maxForms + 1 {
			s.putForm(1, &form{base: identifier.Digest(n + 1)})
		}
		i.Equal(len(s.entries[0].forms), maxForms)
		i.True(s.form(1, 1) == nil)
	})
}

func FuzzForm(f *testing.F) {
	dictionary := bytes.Repeat([]byte("/notes/ "), 100)
	encoded, err := encode(dictionary[:500], 1, dictionary)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded.data, true)
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, data []byte, withDictionary bool) {
		base := dictionary
		if !withDictionary {
			base = nil
		}
		value, err := decode(data, base)
		if err == nil && len(value) > maxValueBytes {
			t.Fatalf("decoded to %d bytes", len(value))
		}
	})
}
