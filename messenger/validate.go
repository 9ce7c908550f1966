package messenger

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Bounds of a payload's shape. Codecs allocate what an array's header says
// before they read its elements.
const (
	maxElements = 1 << 17 // of one array or map
	maxDepth    = 32
)

// checkShape makes sure that b starts with one whole msgpack value, and that
// its arrays and maps are within bounds.
func checkShape(b []byte, depth int) (rest []byte, err error) {
	if depth > maxDepth {
		return b, fmt.Errorf("payload is nested more than %d deep", maxDepth)
	}
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		count, rest, err := msgp.ReadArrayHeaderBytes(b)
		if err != nil {
			return b, err
		}
		return checkElements(rest, uint64(count), uint64(count), depth)
	case msgp.MapType:
		count, rest, err := msgp.ReadMapHeaderBytes(b)
		if err != nil {
			return b, err
		}
		return checkElements(rest, uint64(count), 2*uint64(count), depth)
	default:
		return msgp.Skip(b)
	}
}

// checkElements checks the values of an array or map of count elements.
func checkElements(b []byte, count, values uint64, depth int) (rest []byte, err error) {
	if count > maxElements {
		return b, fmt.Errorf("payload has %d elements in one array or map, more than %d", count, maxElements)
	}
	if values > uint64(len(b)) { // each takes a byte at least
		return b, msgp.ErrShortBytes
	}
	for range values {
		if b, err = checkShape(b, depth+1); err != nil {
			return b, err
		}
	}
	return b, nil
}
