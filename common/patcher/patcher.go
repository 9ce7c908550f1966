// Package patcher tells two versions of a text file apart line by line, in a
// form that is short on the wire, and makes the newer one from the older.
//
// # Usage
//
//	patch := patcher.Diff(older, newer)
//	newer, err := patcher.Apply(older, patch, maxBytes)
//
// A patch is only of use for the text that it was made from; its users compare
// digests before and after.
package patcher

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// edit replaces lines of the older text. Lines before it are kept.
type edit struct {
	keep   int // lines kept since the edit before
	remove int // lines that are left out
	insert []byte
}

// Diff gives the patch that makes newer from older.
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

// Apply makes the newer text. It fails for a patch that doesn't fit older or
// whose result would be longer than maxBytes.
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
			return nil, fmt.Errorf("patch wants %d lines, text has %d left", e.keep+e.remove, len(rest))
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

// readEdit reads one edit and gives its size in bytes.
func readEdit(patch []byte) (e edit, size int, err error) {
	var numbers [3]uint64
	for i := range numbers {
		n, width := binary.Uvarint(patch[size:])
		if width <= 0 || n > 1<<31 {
			return edit{}, 0, fmt.Errorf("patch is cut short or malformed at byte %d", size)
		}
		numbers[i] = n
		size += width
	}
	length := int(numbers[2])
	if length > len(patch)-size {
		return edit{}, 0, fmt.Errorf("patch is cut short, %d bytes are missing", length-len(patch)+size)
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
