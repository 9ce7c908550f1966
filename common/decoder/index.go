package decoder

import (
	"sort"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer records the line of every key in a TOML file.
type indexer struct {
	name      string
	starts    []int // offset of each line
	locations map[string]location
	// counts holds the number of entries seen of each array of tables.
	counts map[string]int
}

// indexLocations returns the location of each key in source by path. source must
// be valid TOML.
func indexLocations(name string, source []byte) map[string]location {
	x := &indexer{
		name:      name,
		starts:    lineStarts(source),
		locations: map[string]location{},
		counts:    map[string]int{},
	}
	var p unstable.Parser
	p.Reset(source)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.Table:
			table = x.recordTable(node)
		case unstable.ArrayTable:
			table = x.recordArrayTable(node)
		case unstable.KeyValue:
			x.recordKeyValue(table, node)
		}
	}
	return x.locations
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

func (x *indexer) record(path string, offset uint32) {
	if _, ok := x.locations[path]; ok {
		return
	}
	line := sort.SearchInts(x.starts, int(offset)+1)
	x.locations[path] = location{origin: x.name, line: line}
}

// recordTable records a [table] header and returns its path.
func (x *indexer) recordTable(node *unstable.Node) string {
	path := ""
	for keys := node.Key(); keys.Next(); {
		path = x.lastEntryPath(join(path, string(keys.Node().Data)))
		x.record(path, keys.Node().Raw.Offset)
	}
	return path
}

// recordArrayTable records an [[array]] header and returns the path of the new
// entry.
func (x *indexer) recordArrayTable(node *unstable.Node) string {
	path := ""
	for keys := node.Key(); keys.Next(); {
		arrayPath := join(path, string(keys.Node().Data))
		if keys.IsLast() {
			x.counts[arrayPath]++
		}
		x.record(arrayPath, keys.Node().Raw.Offset)
		path = x.lastEntryPath(arrayPath)
		x.record(path, keys.Node().Raw.Offset)
	}
	return path
}

// lastEntryPath returns the path of the last entry if path is an array of
// tables, and path itself otherwise.
func (x *indexer) lastEntryPath(path string) string {
	if n := x.counts[path]; n > 0 {
		return entryPath(path, n-1)
	}
	return path
}

func (x *indexer) recordKeyValue(table string, node *unstable.Node) {
	path := table
	offset := uint32(0)
	for keys := node.Key(); keys.Next(); {
		path = join(path, string(keys.Node().Data))
		offset = keys.Node().Raw.Offset
		x.record(path, offset)
	}
	x.recordValue(path, offset, node.Value())
}

// recordValue records the entries of an array or an inline table.
func (x *indexer) recordValue(path string, offset uint32, node *unstable.Node) {
	switch node.Kind {
	case unstable.Array:
		n := 0
		for entries := node.Children(); entries.Next(); n++ {
			entry := entries.Node()
			at := offset
			if entry.Raw.Length > 0 {
				at = entry.Raw.Offset
			}
			itemPath := entryPath(path, n)
			x.record(itemPath, at)
			x.recordValue(itemPath, at, entry)
		}
	case unstable.InlineTable:
		for entries := node.Children(); entries.Next(); {
			x.recordKeyValue(path, entries.Node())
		}
	}
}

// entryPath returns the path of entry n of the array at path.
func entryPath(path string, n int) string {
	return path + "[" + strconv.Itoa(n) + "]"
}
