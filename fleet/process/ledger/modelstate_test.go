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

// copier deep-copies values, so that one state of the model can be continued in
// several ways. A value that several pointers share is copied once.
type copier map[typedPointer]reflect.Value

// typedPointer is a pointer with its type: a struct and its first field have the
// same address.
type typedPointer struct {
	pointer unsafe.Pointer
	pointee reflect.Type
}

// deepCopy returns a copy of v that shares no mutable memory with it.
func deepCopy[T any](v *T) *T {
	var to T
	copier{}.copy(reflect.ValueOf(&to).Elem(), reflect.ValueOf(v).Elem())
	return &to
}

// accessible returns an unexported field as a value that can be read and set.
func accessible(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// flat reports whether a plain assignment copies everything that a value of the
// type holds. Messages and answers count as flat, because nothing changes them.
func flat(t reflect.Type) bool {
	if cached, present := flatTypes.Load(t); present {
		return cached.(bool)
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
				c.copy(accessible(to.Field(i)), accessible(from.Field(i)))
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
	at := typedPointer{from.UnsafePointer(), from.Type()}
	if copied, present := c[at]; present {
		to.Set(copied)
		return
	}
	target := reflect.New(from.Type().Elem())
	c[at] = target
	to.Set(target)
	c.copy(target.Elem(), from.Elem())
}

func (c copier) copyMap(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeMapWithSize(from.Type(), from.Len()))
	for _, key := range from.MapKeys() {
		to.SetMapIndex(key, c.addressableCopy(from.MapIndex(key)))
	}
}

// addressableCopy returns an addressable deep copy of a value that has no address.
func (c copier) addressableCopy(from reflect.Value) reflect.Value {
	target := reflect.New(from.Type()).Elem()
	c.copy(target, addressable(from))
	return target
}

// addressable returns a shallow copy, which has an address, of a value without one.
func addressable(from reflect.Value) reflect.Value {
	target := reflect.New(from.Type()).Elem()
	target.Set(from)
	return target
}

// encoder serialises values, each map in key order, so that equal states give
// equal bytes.
type encoder struct {
	text []byte
	seen map[typedPointer]int
}

// fingerprint returns a hash of everything that a value holds.
func fingerprint[T any](v *T) uint64 {
	e := encoder{seen: make(map[typedPointer]int)}
	e.encode(reflect.ValueOf(v).Elem())
	return xxhash.Sum64(e.text)
}

func (e *encoder) encode(v reflect.Value) {
	switch {
	case v.Type() == randomType:
		return
	case v.Type() == timeType:
		e.text = strconv.AppendInt(e.text, (*time.Time)(v.Addr().UnsafePointer()).UnixMilli(), 36)
		e.text = append(e.text, ';')
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		e.encodePointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_" {
				e.encode(accessible(v.Field(i)))
			}
		}
	case reflect.Slice, reflect.Array:
		e.encodeList(v)
	case reflect.Map:
		e.encodeMap(v)
	case reflect.Interface:
		if !v.IsNil() {
			e.text = append(e.text, v.Elem().Type().Name()...)
			e.encode(addressable(v.Elem()))
		}
	case reflect.String:
		e.text = append(append(e.text, v.String()...), ';')
	case reflect.Bool:
		e.text = strconv.AppendBool(e.text, v.Bool())
	default:
		e.encodeNumber(v)
	}
}

func (e *encoder) encodeNumber(v reflect.Value) {
	if v.CanInt() {
		e.text = strconv.AppendInt(e.text, v.Int(), 36)
	} else {
		e.text = strconv.AppendUint(e.text, v.Uint(), 36)
	}
	e.text = append(e.text, ';')
}

func (e *encoder) encodeList(v reflect.Value) {
	e.text = append(strconv.AppendInt(e.text, int64(v.Len()), 36), '[')
	if v.Type().Elem().Kind() == reflect.Uint8 {
		e.text = append(e.text, v.Bytes()...)
		return
	}
	for i := range v.Len() {
		e.encode(v.Index(i))
	}
}

func (e *encoder) encodePointer(v reflect.Value) {
	if v.IsNil() {
		e.text = append(e.text, '0')
		return
	}
	at := typedPointer{v.UnsafePointer(), v.Type()}
	if n, present := e.seen[at]; present {
		e.text = append(strconv.AppendInt(e.text, int64(n), 36), '^')
		return
	}
	e.seen[at] = len(e.seen)
	e.encode(v.Elem())
}

func (e *encoder) encodeMap(v reflect.Value) {
	entries := make(map[string]reflect.Value)
	for _, key := range v.MapKeys() {
		entries[fmt.Sprint(key.Interface())] = v.MapIndex(key)
	}
	e.text = append(e.text, 'm')
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		e.text = append(e.text, key...)
		e.encode(addressable(entries[key]))
	}
}
