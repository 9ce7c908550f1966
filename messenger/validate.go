package messenger

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Structural limits of a payload. Codecs allocate the element count given in
// an array's header before reading its elements, so the count must be checked
// first.
const (
	maxElements = 1 << 17 // per array or map
	maxDepth    = 32
)

// validateValue checks that b starts with a complete msgpack value whose arrays
// and maps are within the limits, and returns the bytes after it.
func validateValue(b []byte, depth int) (rest []byte, err error) {
	if depth > maxDepth {
		return b, fmt.Errorf("payload exceeds the nesting limit of %d", maxDepth)
	}
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		count, rest, err := msgp.ReadArrayHeaderBytes(b)
		if err != nil {
			return b, err
		}
		return validateElements(rest, uint64(count), uint64(count), depth)
	case msgp.MapType:
		count, rest, err := msgp.ReadMapHeaderBytes(b)
		if err != nil {
			return b, err
		}
		return validateElements(rest, uint64(count), 2*uint64(count), depth)
	default:
		return msgp.Skip(b)
	}
}

// validateElements validates the values of an array or map of count elements. A
// map has two values per element.
func validateElements(b []byte, count, values uint64, depth int) (rest []byte, err error) {
	if count > maxElements {
		return b, fmt.Errorf("array or map of %d elements exceeds the limit of %d", count, maxElements)
	}
	if values > uint64(len(b)) { // each value takes at least one byte
		return b, msgp.ErrShortBytes
	}
	for range values {
		if b, err = validateValue(b, depth+1); err != nil {
			return b, err
		}
	}
	return b, nil
}
