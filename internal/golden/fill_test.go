package golden_test

import (
	"encoding/xml"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"sableusher/internal/wire"
)

// filler sets fields to values that are all different, except for booleans.
type filler struct{ count int64 } // number of values so far

// filled returns a message with no field set, and one with every encoded field set.
func filled[T any](t *testing.T, name string) []message {
	t.Helper()
	var empty, full T
	(&filler{}).fill(t, name, reflect.ValueOf(&full).Elem())
	checkFilled(t, name, reflect.ValueOf(full))
	return []message{{name + "/empty", empty}, {name + "/every-field", full}}
}

// addedField is a field that was added at the end of a type T after the first version.
type addedField[T any] struct {
	name  string
	clear func(*T)
}

// filledSinceVersion is like filled for a type to which fields were added later, given in the order in which they were
// added. The message "every-field" leaves them empty, so that its recorded encoding stays the same. For each of them
// there is a further message, in which it and the fields added before it are set, too.
func filledSinceVersion[T any](t *testing.T, name string, added ...addedField[T]) []message {
	t.Helper()
	messages := filled[T](t, name)
	full, ok := messages[1].value.(T)
	if !ok {
		t.Fatalf("%s: a message of type %T", name, messages[1].value)
	}
	filledUpTo := func(count int) T {
		value := full
		for _, field := range added[count:] {
			field.clear(&value)
		}
		return value
	}
	messages[1].value = filledUpTo(0)
	for i, field := range added {
		messages = append(messages, message{name + "/every-field-with-" + field.name, filledUpTo(i + 1)})
	}
	return messages
}

// fill sets v and, recursively, all of its parts. Slices get two elements. Maps get one entry, because their order is
// not fixed.
func (f *filler) fill(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	f.count++
	if v.Type() == reflect.TypeFor[wire.RawValue]() {
		v.SetBytes(wire.MustEncode(f.count))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(t, name, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(t, name, v.Index(0))
		f.fill(t, name, v.Index(1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(t, name, key)
		f.fill(t, name, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		f.fillFields(t, name, v)
	default:
		f.fillScalar(t, name, v)
	}
}

// fillFields sets the encoded fields of a struct. It does not increment the count for an embedded struct, because the
// fields of that struct are encoded as fields of the outer one.
func (f *filler) fillFields(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch {
		case field.Anonymous && field.Type.Kind() == reflect.Struct:
			f.fillFields(t, name, v.Field(i))
		case isEncoded(field):
			f.fill(t, name, v.Field(i))
		}
	}
}

// fillScalar sets a scalar value to one that is derived from the count.
func (f *filler) fillScalar(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(f.count)
	case v.Kind() == reflect.Uint64:
		v.SetUint(1<<63 + uint64(f.count)) // detects a field that is narrowed to fewer bits
	case v.CanUint():
		v.SetUint(uint64(f.count))
	case v.CanFloat():
		v.SetFloat(float64(f.count) + 0.1)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.count))
	case v.Kind() == reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", f.count)))
	default:
		t.Fatalf("%s: no value for %s", name, v.Type())
	}
}

// isEncoded reports whether a field is part of the encoding.
func isEncoded(field reflect.StructField) bool {
	if !field.IsExported() {
		return false
	}
	for _, format := range []string{"cbor", "json"} {
		if field.Tag.Get(format) == "-" {
			return false
		}
	}
	return true
}

// checkFilled fails the test if an encoded field is zero.
func checkFilled(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s: a field of type %s is not set", name, v.Type())
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkFilled(t, name, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			checkFilled(t, name, v.Index(i))
		}
	case reflect.Map:
		for key, value := range v.Seq2() {
			checkFilled(t, name, key)
			checkFilled(t, name, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); isEncoded(field) {
				checkFilled(t, name+"."+field.Name, v.Field(i))
			}
		}
	}
}

// tagWriter writes a value with one line for each scalar, named by the struct tags on the path to it.
type tagWriter struct {
	out        strings.Builder
	format     string // key of the struct tags, such as toml
	everyField bool   // fail the test if a field is zero
}

func (w *tagWriter) write(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if w.everyField && v.IsZero() {
		t.Errorf("%s is not set", path)
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			fmt.Fprintf(&w.out, "%s = none\n", path)
			return
		}
		w.write(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			w.write(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
		if v.Len() == 0 {
			fmt.Fprintf(&w.out, "%s = none\n", path)
		}
	case reflect.Struct:
		w.writeStruct(t, path, v)
	default:
		fmt.Fprintf(&w.out, "%s = %v\n", path, v.Interface())
	}
}

// writeStruct writes the fields that have a tag. Every exported field must have one.
func (w *tagWriter) writeStruct(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		tag, tagged := field.Tag.Lookup(w.format)
		isElementName := field.Type == reflect.TypeFor[xml.Name]()
		switch {
		case tagged && !isElementName:
			w.write(t, path+"/"+tag, v.Field(i))
		case !tagged && field.IsExported():
			t.Errorf("%s: a field without a tag", path)
		}
	}
}
