package golden_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"sableusher/internal/wire"
)

// filler sets fields to values of which, but for booleans, no two are alike.
type filler struct{ count int64 }

// filled is a message with every field set that is encoded, and one with none.
func filled[T any](t *testing.T, name string) []message {
	t.Helper()
	var empty, full T
	(&filler{}).fill(t, name, reflect.ValueOf(&full).Elem())
	checkFilled(t, name, reflect.ValueOf(full))
	return []message{{name + "/empty", empty}, {name + "/every-field", full}}
}

// fill sets v and all that it consists of. Lists get two entries; maps get one, as their order is not fixed.
func (f *filler) fill(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	f.count++
	if v.Type() == reflect.TypeFor[wire.RawValue]() {
		v.SetBytes(wire.MustEncode(f.count))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.count)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32:
		v.SetUint(uint64(f.count))
	case reflect.Uint64:
		v.SetUint(1<<63 + uint64(f.count))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.1)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.count))
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", f.count)))
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
		for i := range v.NumField() {
			if isEncoded(v.Type().Field(i)) {
				f.fill(t, name, v.Field(i))
			}
		}
	default:
		t.Fatalf("%s: no value for %s", name, v.Type())
	}
}

// isEncoded tells whether a field is part of the encoded form.
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

// checkFilled fails if an encoded field is zero.
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

// writeByTag prints a value by the names in its tags, one value a line, and fails if one of them is zero.
func writeByTag(t *testing.T, out *strings.Builder, format, path string, v reflect.Value, mayBeZero bool) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			fmt.Fprintf(out, "%s = none\n", path)
			return
		}
		writeByTag(t, out, format, path, v.Elem(), mayBeZero)
		return
	case reflect.Slice:
		for i := range v.Len() {
			writeByTag(t, out, format, fmt.Sprintf("%s[%d]", path, i), v.Index(i), mayBeZero)
		}
		if v.Len() == 0 {
			fmt.Fprintf(out, "%s = none\n", path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			tag, ok := field.Tag.Lookup(format)
			if !ok {
				if field.IsExported() && v.Type().PkgPath() != "encoding/xml" {
					t.Errorf("%s: a field without a tag", path)
				}
				continue
			}
			if field.Type.PkgPath() != "encoding/xml" {
				writeByTag(t, out, format, path+"/"+tag, v.Field(i), mayBeZero)
			}
		}
		return
	default:
		fmt.Fprintf(out, "%s = %v\n", path, v.Interface())
	}
	if v.IsZero() && !mayBeZero {
		t.Errorf("%s is not set", path)
	}
}
