package tomlfile

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index holds the positions of the keys of one file.
type Index struct {
	file string
	// lineOffsets holds the byte offset of the beginning of each line.
	lineOffsets []int
	// offsets holds the byte offset of each key and table by its joined path.
	offsets map[string]int
	// elementCounts holds the number of elements of each array of tables by its
	// joined path.
	elementCounts map[string]int
}

// pathSeparator separates the keys of a joined path. A bare key cannot contain it,
// so joined paths do not collide in practice; a collision only makes a position
// less exact.
const pathSeparator = "\x00"

// At returns the position of the key at a path of keys and array indexes. If the
// file does not contain the key, At returns the position of the closest enclosing
// table or key, or else a position without line and column.
func (x *Index) At(path ...string) Position {
	for end := len(path); end > 0; end-- {
		if offset, present := x.offsets[join(path[:end])]; present {
			return x.position(offset)
		}
	}
	return Position{File: x.file}
}

// Has reports whether the file contains the key at a path.
func (x *Index) Has(path ...string) bool {
	_, present := x.offsets[join(path)]
	return present
}

// newIndex returns the index of a text that is valid TOML.
func newIndex(file string, text []byte) *Index {
	x := &Index{
		file:          file,
		lineOffsets:   []int{0},
		offsets:       make(map[string]int),
		elementCounts: make(map[string]int),
	}
	for i, c := range text {
		if c == '\n' {
			x.lineOffsets = append(x.lineOffsets, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		table = x.recordExpression(table, parser.Expression())
	}
	return x
}

// recordExpression records the keys of a top-level expression and returns the path
// of the table that the following keys belong to.
func (x *Index) recordExpression(table []string, node *unstable.Node) []string {
	switch node.Kind {
	case unstable.Table:
		keys, offset := keyOf(node)
		table = x.resolve(keys)
		x.record(table, offset)
	case unstable.ArrayTable:
		keys, offset := keyOf(node)
		array := append(x.resolve(keys[:len(keys)-1]), keys[len(keys)-1])
		index := x.elementCounts[join(array)]
		x.elementCounts[join(array)] = index + 1
		x.record(array, offset)
		table = append(array, strconv.Itoa(index))
		x.record(table, offset)
	case unstable.KeyValue:
		x.recordKeyValue(table, node)
	}
	return table
}

// recordKeyValue records the key of a key-value pair and the keys in its value.
func (x *Index) recordKeyValue(table []string, node *unstable.Node) {
	keys, offset := keyOf(node)
	path := append(slices.Clone(table), keys...)
	x.record(path, offset)
	x.recordValue(path, node.Value())
}

// recordValue records the keys in a value that is an inline table or an array.
func (x *Index) recordValue(path []string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.recordKeyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.recordValue(append(slices.Clone(path), strconv.Itoa(i)), children.Node())
		}
	}
}

// resolve returns the path of keys: in TOML, a key that names an array of tables
// refers to the latest element of the array, so resolve inserts the index of that
// element after the key.
func (x *Index) resolve(keys []string) []string {
	var path []string
	for _, key := range keys {
		path = append(path, key)
		if count := x.elementCounts[join(path)]; count > 0 {
			path = append(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// record stores the offset of a path unless one is stored already.
func (x *Index) record(path []string, offset int) {
	if key := join(path); !x.Has(path...) {
		x.offsets[key] = offset
	}
}

// position converts a byte offset into a position.
func (x *Index) position(offset int) Position {
	line, found := slices.BinarySearch(x.lineOffsets, offset)
	if !found {
		line--
	}
	return Position{File: x.file, Line: line + 1, Column: offset - x.lineOffsets[line] + 1}
}

// keyOf returns the segments of a node's key and the byte offset of the first.
func keyOf(node *unstable.Node) ([]string, int) {
	var keys []string
	offset := 0
	for it := node.Key(); it.Next(); {
		key := it.Node()
		if keys == nil {
			offset = int(key.Raw.Offset)
		}
		keys = append(keys, string(key.Data))
	}
	return keys, offset
}

func join(path []string) string { return strings.Join(path, pathSeparator) }
