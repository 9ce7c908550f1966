package patcher

import (
	"bytes"
	"slices"
)

// maxDepth bounds the recursion between lines that occur once.
const maxDepth = 64

// span is a run of older lines that newer text replaces.
type span struct {
	start, end int
	insert     []byte
}

// differ compares two texts by their lines that occur once in both, in order
// (patience difference), and replaces what lies between them.
type differ struct {
	older, newer [][]byte
	edits        []span
	depth        int
}

// compare finds the edits from older[a:b] to newer[c:e].
func (d *differ) compare(a, b, c, e int) {
	for a < b && c < e && bytes.Equal(d.older[a], d.newer[c]) {
		a, c = a+1, c+1
	}
	for a < b && c < e && bytes.Equal(d.older[b-1], d.newer[e-1]) {
		b, e = b-1, e-1
	}
	if a == b && c == e {
		return
	}
	var anchors []pair
	if d.depth < maxDepth {
		anchors = d.anchors(a, b, c, e)
	}
	if len(anchors) == 0 {
		d.edits = append(d.edits, span{start: a, end: b, insert: appendLines(nil, d.newer[c:e])})
		return
	}
	d.depth++
	for _, p := range anchors {
		d.compare(a, p.older, c, p.newer)
		a, c = p.older+1, p.newer+1
	}
	d.compare(a, b, c, e)
	d.depth--
}

// pair is a line that both texts have.
type pair struct {
	older, newer int
}

// occurrence counts a line in both texts and notes where it is.
type occurrence struct {
	olderCount, newerCount int
	pair
}

// anchors gives the longest run of lines that occur once in both parts and
// in the same order.
func (d *differ) anchors(a, b, c, e int) []pair {
	seen := make(map[string]*occurrence, b-a)
	for i := a; i < b; i++ {
		o := seen[string(d.older[i])]
		if o == nil {
			o = &occurrence{}
			seen[string(d.older[i])] = o
		}
		o.olderCount++
		o.older = i
	}
	for j := c; j < e; j++ {
		if o := seen[string(d.newer[j])]; o != nil {
			o.newerCount++
			o.newer = j
		}
	}
	var unique []pair
	for _, o := range seen {
		if o.olderCount == 1 && o.newerCount == 1 {
			unique = append(unique, o.pair)
		}
	}
	slices.SortFunc(unique, func(p, q pair) int { return p.older - q.older })
	return increasing(unique)
}

// increasing gives the longest subsequence of pairs whose newer lines rise.
func increasing(pairs []pair) []pair {
	var tails []int // index of the last pair of the best run of each length
	before := make([]int, len(pairs))
	for i, p := range pairs {
		n, _ := slices.BinarySearchFunc(tails, p.newer, func(t, newer int) int { return pairs[t].newer - newer })
		before[i] = -1
		if n > 0 {
			before[i] = tails[n-1]
		}
		if n == len(tails) {
			tails = append(tails, i)
			continue
		}
		tails[n] = i
	}
	run := make([]pair, len(tails))
	if len(tails) == 0 {
		return run
	}
	at := tails[len(tails)-1]
	for n := len(run) - 1; n >= 0; n-- {
		run[n] = pairs[at]
		at = before[at]
	}
	return run
}
