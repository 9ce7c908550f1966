package patcher

import (
	"bytes"
	"slices"
)

// maxDepth bounds the recursion between anchors.
const maxDepth = 64

// replacement is a range of lines of the older text and the text that replaces
// it.
type replacement struct {
	start, end int
	insert     []byte
}

// differ implements patience diff: lines that occur exactly once in both texts
// and in the same order serve as anchors, and what lies between them is
// compared recursively.
type differ struct {
	older, newer [][]byte
	edits        []replacement
	depth        int
}

// compare appends the edits that turn older[olderStart:olderEnd] into
// newer[newerStart:newerEnd].
func (d *differ) compare(olderStart, olderEnd, newerStart, newerEnd int) {
	for olderStart < olderEnd && newerStart < newerEnd && bytes.Equal(d.older[olderStart], d.newer[newerStart]) {
		olderStart, newerStart = olderStart+1, newerStart+1
	}
	for olderStart < olderEnd && newerStart < newerEnd && bytes.Equal(d.older[olderEnd-1], d.newer[newerEnd-1]) {
		olderEnd, newerEnd = olderEnd-1, newerEnd-1
	}
	if olderStart == olderEnd && newerStart == newerEnd {
		return
	}
	var anchors []linePair
	if d.depth < maxDepth {
		anchors = d.anchors(olderStart, olderEnd, newerStart, newerEnd)
	}
	if len(anchors) == 0 {
		d.edits = append(d.edits, replacement{start: olderStart, end: olderEnd, insert: appendLines(nil, d.newer[newerStart:newerEnd])})
		return
	}
	d.depth++
	for _, p := range anchors {
		d.compare(olderStart, p.older, newerStart, p.newer)
		olderStart, newerStart = p.older+1, p.newer+1
	}
	d.compare(olderStart, olderEnd, newerStart, newerEnd)
	d.depth--
}

// linePair holds the index in each text of a line that occurs in both.
type linePair struct {
	older, newer int
}

// occurrence counts a line in both texts and stores its last position in each.
type occurrence struct {
	olderCount, newerCount int
	linePair
}

// anchors returns the longest sequence of lines that occur exactly once in both
// ranges and in the same order.
func (d *differ) anchors(olderStart, olderEnd, newerStart, newerEnd int) []linePair {
	seen := make(map[string]*occurrence, olderEnd-olderStart)
	for i := olderStart; i < olderEnd; i++ {
		o := seen[string(d.older[i])]
		if o == nil {
			o = &occurrence{}
			seen[string(d.older[i])] = o
		}
		o.olderCount++
		o.older = i
	}
	for j := newerStart; j < newerEnd; j++ {
		if o := seen[string(d.newer[j])]; o != nil {
			o.newerCount++
			o.newer = j
		}
	}
	var unique []linePair
	for _, o := range seen {
		if o.olderCount == 1 && o.newerCount == 1 {
			unique = append(unique, o.linePair)
		}
	}
	slices.SortFunc(unique, func(p, q linePair) int { return p.older - q.older })
	return longestIncreasing(unique)
}

// longestIncreasing returns the longest subsequence of pairs whose newer
// indexes increase.
func longestIncreasing(pairs []linePair) []linePair {
	var tails []int // index of the last pair of the best subsequence of each length
	predecessors := make([]int, len(pairs))
	for i, p := range pairs {
		n, _ := slices.BinarySearchFunc(tails, p.newer, func(t, newer int) int { return pairs[t].newer - newer })
		predecessors[i] = -1
		if n > 0 {
			predecessors[i] = tails[n-1]
		}
		if n == len(tails) {
			tails = append(tails, i)
			continue
		}
		tails[n] = i
	}
	result := make([]linePair, len(tails))
	if len(tails) == 0 {
		return result
	}
	index := tails[len(tails)-1]
	for n := len(result) - 1; n >= 0; n-- {
		result[n] = pairs[index]
		index = predecessors[index]
	}
	return result
}
