package tomlfile

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index tells where the keys of one file stand.
type Index struct {
	file string
	// lines holds the offset at which each line begins.
	lines []int
	// offsets holds the offset of each key and table by its path.
	offsets map[string]int
	// elements counts the elements of each array of tables by its path.
	elements map[string]int
}

// pathSeparator cannot be part of a bare key, so paths do not collide in
// practice; a collision costs a less exact position only.
const pathSeparator = "\x00"

// At returns the position of the value at a path of keys and array indexes, or
// of the closest enclosing one that stands in the file.
func (x *Index) At(path ...string) Position {
	for end := len(path); end > 0; end-- {
		if offset, present := x.offsets[join(path[:end])]; present {
			return x.position(offset)
		}
	}
	return Position{File: x.file}
}

// Has reports whether the file gives the key at a path.
func (x *Index) Has(path ...string) bool {
	_, present := x.offsets[join(path)]
	return present
}

func newIndex(file string, text []byte) *Index {
	x := &Index{
		file:     file,
		lines:    []int{0},
		offsets:  make(map[string]int),
		elements: make(map[string]int),
	}
	for i, c := range text {
		if c == '\n' {
			x.lines = append(x.lines, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		table = x.expression(table, parser.Expression())
	}
	return x
}

// expression records one top-level expression and returns the table that
// following keys belong to.
func (x *Index) expression(table []string, node *unstable.Node) []string {
	switch node.Kind {
	case unstable.Table:
		keys, offset := keyOf(node)
		table = x.resolve(keys)
		x.record(table, offset)
	case unstable.ArrayTable:
		keys, offset := keyOf(node)
		parent := append(x.resolve(keys[:len(keys)-1]), keys[len(keys)-1])
		index := x.elements[join(parent)]
		x.elements[join(parent)] = index + 1
		x.record(parent, offset)
		table = append(parent, strconv.Itoa(index))
		x.record(table, offset)
	case unstable.KeyValue:
		x.keyValue(table, node)
	}
	return table
}

func (x *Index) keyValue(table []string, node *unstable.Node) {
	keys, offset := keyOf(node)
	path := append(slices.Clone(table), keys...)
	x.record(path, offset)
	x.value(path, node.Value())
}

// value records the keys within inline tables and arrays.
func (x *Index) value(path []string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.value(append(slices.Clone(path), strconv.Itoa(i)), children.Node())
		}
	}
}

// resolve inserts the index of the latest element after each array of tables.
func (x *Index) resolve(keys []string) []string {
	var path []string
	for _, key := range keys {
		path = append(path, key)
		if count := x.elements[join(path)]; count > 0 {
			path = append(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// record keeps the first offset of a path.
func (x *Index) record(path []string, offset int) {
	if key := join(path); !x.Has(path...) {
		x.offsets[key] = offset
	}
}

func (x *Index) position(offset int) Position {
	line, found := slices.BinarySearch(x.lines, offset)
	if !found {
		line--
	}
	return Position{File: x.file, Line: line + 1, Column: offset - x.lines[line] + 1}
}

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
