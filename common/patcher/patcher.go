// Package patcher computes compact line-based patches between two versions of a
// text file and applies them.
//
// # Usage
//
//	patch := patcher.Diff(older, newer)
//	newer, err := patcher.Apply(older, patch, maxBytes)
//
// A patch can only be applied to the text that it was computed from. Apply does
// not check that; users compare digests before and after.
package patcher

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// edit keeps some lines of the older text and replaces those that follow.
type edit struct {
	keep   int // number of lines kept since the previous edit
	remove int // number of lines removed
	insert []byte
}

// Diff returns the patch that turns older into newer.
func Diff(older, newer []byte) []byte {
	d := &differ{older: lines(older), newer: lines(newer)}
	d.compare(0, len(d.older), 0, len(d.newer))
	var patch []byte
	last := 0
	for _, e := range d.edits {
		patch = binary.AppendUvarint(patch, uint64(e.start-last))
		patch = binary.AppendUvarint(patch, uint64(e.end-e.start))
		patch = binary.AppendUvarint(patch, uint64(len(e.insert)))
		patch = append(patch, e.insert...)
		last = e.end
	}
	return patch
}

// Apply applies patch to older and returns the newer text. It fails if the patch
// covers more lines than older has or the result would exceed maxBytes.
func Apply(older, patch []byte, maxBytes int) ([]byte, error) {
	rest := lines(older)
	var newer []byte
	for len(patch) > 0 {
		e, size, err := readEdit(patch)
		if err != nil {
			return nil, err
		}
		patch = patch[size:]
		if e.keep > len(rest) || e.remove > len(rest)-e.keep {
			return nil, fmt.Errorf("patch covers %d more lines, but only %d are left", e.keep+e.remove, len(rest))
		}
		newer = appendLines(newer, rest[:e.keep])
		newer = append(newer, e.insert...)
		rest = rest[e.keep+e.remove:]
		if len(newer) > maxBytes {
			return nil, fmt.Errorf("patched text is longer than %d bytes", maxBytes)
		}
	}
	newer = appendLines(newer, rest)
	if len(newer) > maxBytes {
		return nil, fmt.Errorf("patched text is longer than %d bytes", maxBytes)
	}
	return newer, nil
}

// readEdit decodes the first edit of patch and returns its encoded size.
func readEdit(patch []byte) (e edit, size int, err error) {
	var numbers [3]uint64
	for i := range numbers {
		n, width := binary.Uvarint(patch[size:])
		if width <= 0 || n > 1<<31 {
			return edit{}, 0, fmt.Errorf("patch is truncated or malformed at byte %d", size)
		}
		numbers[i] = n
		size += width
	}
	length := int(numbers[2])
	if length > len(patch)-size {
		return edit{}, 0, fmt.Errorf("patch is truncated: %d bytes are missing", length-len(patch)+size)
	}
	e = edit{keep: int(numbers[0]), remove: int(numbers[1]), insert: patch[size : size+length]}
	return e, size + length, nil
}

// lines splits text after each newline.
func lines(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte("\n"))
}

func appendLines(text []byte, more [][]byte) []byte {
	for _, line := range more {
		text = append(text, line...)
	}
	return text
}
