package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

var (
	timeType   = reflect.TypeFor[time.Time]()
	randomType = reflect.TypeFor[*rand.Rand]()

	messageType = reflect.TypeFor[wire.Message]()
	answerType  = reflect.TypeFor[*wire.LedgerAnswer]()
)

// copier copies values with everything that they point to, so that one state
// of the model can be continued in several ways. What is pointed to twice is
// copied once.
type copier map[address]reflect.Value

// address is a pointer and the type there: a struct and its first field have
// the same address.
type address struct {
	pointer unsafe.Pointer
	kind    reflect.Type
}

// deepCopy returns a copy of v that shares no memory with it.
func deepCopy[T any](v *T) *T {
	var to T
	copier{}.copy(reflect.ValueOf(&to).Elem(), reflect.ValueOf(v).Elem())
	return &to
}

// open makes an unexported field usable.
func open(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// flat reports whether copying a value of the type copies all that it holds.
// Messages and answers count as flat, because nothing changes them.
func flat(t reflect.Type) bool {
	if known, present := flatTypes.Load(t); present {
		return known.(bool)
	}
	result := computeFlat(t)
	flatTypes.Store(t, result)
	return result
}

var flatTypes sync.Map

func computeFlat(t reflect.Type) bool {
	switch {
	case t == timeType, t == randomType, t == answerType, t == messageType:
		return true
	case t.Kind() == reflect.Array:
		return flat(t.Elem())
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			if !flat(t.Field(i).Type) {
				return false
			}
		}
		return true
	default:
		return t.Kind() <= reflect.Complex128 || t.Kind() == reflect.String
	}
}

func (c copier) copy(to, from reflect.Value) {
	if flat(from.Type()) {
		to.Set(from)
		return
	}
	switch from.Kind() {
	case reflect.Pointer:
		c.copyPointer(to, from)
	case reflect.Struct:
		for i := range from.NumField() {
			if from.Type().Field(i).Name != "_" {
				c.copy(open(to.Field(i)), open(from.Field(i)))
			}
		}
	case reflect.Slice:
		c.copySlice(to, from)
	case reflect.Array:
		for i := range from.Len() {
			c.copy(to.Index(i), from.Index(i))
		}
	case reflect.Map:
		c.copyMap(to, from)
	default:
		panic("cannot copy " + from.Type().String())
	}
}

func (c copier) copySlice(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeSlice(from.Type(), from.Len(), from.Len()))
	if flat(from.Type().Elem()) {
		reflect.Copy(to, from)
		return
	}
	for i := range from.Len() {
		c.copy(to.Index(i), from.Index(i))
	}
}

func (c copier) copyPointer(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	at := address{from.UnsafePointer(), from.Type()}
	if known, present := c[at]; present {
		to.Set(known)
		return
	}
	made := reflect.New(from.Type().Elem())
	c[at] = made
	to.Set(made)
	c.copy(made.Elem(), from.Elem())
}

func (c copier) copyMap(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeMapWithSize(from.Type(), from.Len()))
	for _, key := range from.MapKeys() {
		to.SetMapIndex(key, c.fresh(from.MapIndex(key)))
	}
}

// fresh returns an addressable copy of a value that has no address.
func (c copier) fresh(from reflect.Value) reflect.Value {
	made := reflect.New(from.Type()).Elem()
	c.copy(made, addressable(from))
	return made
}

// addressable returns a shallow copy of a value that has no address.
func addressable(from reflect.Value) reflect.Value {
	made := reflect.New(from.Type()).Elem()
	made.Set(from)
	return made
}

// printer writes values down, each map in order, so that equal states give
// equal texts.
type printer struct {
	text []byte
	seen map[address]int
}

// fingerprint returns a hash of everything that a value holds.
func fingerprint[T any](v *T) uint64 {
	p := printer{seen: make(map[address]int)}
	p.print(reflect.ValueOf(v).Elem())
	return xxhash.Sum64(p.text)
}

func (p *printer) print(v reflect.Value) {
	switch {
	case v.Type() == randomType:
		return
	case v.Type() == timeType:
		p.text = strconv.AppendInt(p.text, (*time.Time)(v.Addr().UnsafePointer()).UnixMilli(), 36)
		p.text = append(p.text, ';')
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		p.printPointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_" {
				p.print(open(v.Field(i)))
			}
		}
	case reflect.Slice, reflect.Array:
		p.printList(v)
	case reflect.Map:
		p.printMap(v)
	case reflect.Interface:
		if !v.IsNil() {
			p.text = append(p.text, v.Elem().Type().Name()...)
			p.print(addressable(v.Elem()))
		}
	case reflect.String:
		p.text = append(append(p.text, v.String()...), ';')
	case reflect.Bool:
		p.text = strconv.AppendBool(p.text, v.Bool())
	default:
		p.printNumber(v)
	}
}

func (p *printer) printNumber(v reflect.Value) {
	if v.CanInt() {
		p.text = strconv.AppendInt(p.text, v.Int(), 36)
	} else {
		p.text = strconv.AppendUint(p.text, v.Uint(), 36)
	}
	p.text = append(p.text, ';')
}

func (p *printer) printList(v reflect.Value) {
	p.text = append(strconv.AppendInt(p.text, int64(v.Len()), 36), '[')
	if v.Type().Elem().Kind() == reflect.Uint8 {
		p.text = append(p.text, v.Bytes()...)
		return
	}
	for i := range v.Len() {
		p.print(v.Index(i))
	}
}

func (p *printer) printPointer(v reflect.Value) {
	if v.IsNil() {
		p.text = append(p.text, '0')
		return
	}
	at := address{v.UnsafePointer(), v.Type()}
	if n, present := p.seen[at]; present {
		p.text = append(strconv.AppendInt(p.text, int64(n), 36), '^')
		return
	}
	p.seen[at] = len(p.seen)
	p.print(v.Elem())
}

func (p *printer) printMap(v reflect.Value) {
	entries := make(map[string]reflect.Value)
	for _, key := range v.MapKeys() {
		entries[fmt.Sprint(key.Interface())] = v.MapIndex(key)
	}
	p.text = append(p.text, 'm')
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		p.text = append(p.text, key...)
		p.print(addressable(entries[key]))
	}
}
