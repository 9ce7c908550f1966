package decoder

import (
	"sort"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer collects the line of every key of a TOML file.
type indexer struct {
	name   string
	starts []int // offsets at which lines start
	places map[string]place
	// counts holds the number of entries of each array of tables.
	counts map[string]int
}

// index gives the place of each key of source, by path. Source must be valid.
func index(name string, source []byte) map[string]place {
	x := &indexer{
		name:   name,
		starts: lineStarts(source),
		places: map[string]place{},
		counts: map[string]int{},
	}
	var p unstable.Parser
	p.Reset(source)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.Table:
			table = x.table(node)
		case unstable.ArrayTable:
			table = x.arrayTable(node)
		case unstable.KeyValue:
			x.keyValue(table, node)
		}
	}
	return x.places
}

func lineStarts(source []byte) []int {
	starts := []int{0}
	for i, c := range source {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (x *indexer) mark(path string, offset uint32) {
	if _, ok := x.places[path]; ok {
		return
	}
	line := sort.SearchInts(x.starts, int(offset)+1)
	x.places[path] = place{origin: x.name, line: line}
}

// table marks a [table] header and gives its path.
func (x *indexer) table(node *unstable.Node) string {
	path := ""
	for keys := node.Key(); keys.Next(); {
		path = x.current(join(path, string(keys.Node().Data)))
		x.mark(path, keys.Node().Raw.Offset)
	}
	return path
}

// arrayTable marks an [[array]] header and gives the new entry's path.
func (x *indexer) arrayTable(node *unstable.Node) string {
	path := ""
	for keys := node.Key(); keys.Next(); {
		plain := join(path, string(keys.Node().Data))
		if keys.IsLast() {
			x.counts[plain]++
		}
		x.mark(plain, keys.Node().Raw.Offset)
		path = x.current(plain)
		x.mark(path, keys.Node().Raw.Offset)
	}
	return path
}

// current gives the path of the last entry, if path is an array of tables.
func (x *indexer) current(path string) string {
	if n := x.counts[path]; n > 0 {
		return entryPath(path, n-1)
	}
	return path
}

func (x *indexer) keyValue(table string, node *unstable.Node) {
	path := table
	offset := uint32(0)
	for keys := node.Key(); keys.Next(); {
		path = join(path, string(keys.Node().Data))
		offset = keys.Node().Raw.Offset
		x.mark(path, offset)
	}
	x.value(path, offset, node.Value())
}

// value marks the parts of an array or an inline table.
func (x *indexer) value(path string, offset uint32, node *unstable.Node) {
	switch node.Kind {
	case unstable.Array:
		n := 0
		for entries := node.Children(); entries.Next(); n++ {
			entry := entries.Node()
			at := offset
			if entry.Raw.Length > 0 {
				at = entry.Raw.Offset
			}
			inner := entryPath(path, n)
			x.mark(inner, at)
			x.value(inner, at, entry)
		}
	case unstable.InlineTable:
		for entries := node.Children(); entries.Next(); {
			x.keyValue(path, entries.Node())
		}
	}
}

// entryPath gives the path of an array's entry.
func entryPath(path string, n int) string {
	return path + "[" + strconv.Itoa(n) + "]"
}
