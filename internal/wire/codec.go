// Package wire holds the messages of the protocol and their CBOR codec. The
// protocol's own words stand only in the tags here.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// ContentType of every body.
const ContentType = "application/cbor"

var (
	encodeMode        cbor.EncMode
	decodeMode        cbor.DecMode
	strictDecodeMode  cbor.DecMode
	genericDecodeMode cbor.DecMode
)

func init() {
	var err error
	if encodeMode, err = (cbor.EncOptions{Sort: cbor.SortNone}).EncMode(); err != nil {
		panic(err)
	}
	// Bodies of our own partners: lenient about size, not about form.
	if decodeMode, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}).DecMode(); err != nil {
		panic(err)
	}
	// Any value, in the shapes that JSON has too.
	if genericDecodeMode, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32, DefaultMapType: reflect.TypeFor[map[string]any]()}).DecMode(); err != nil {
		panic(err)
	}
	// Users' input: no tags, no doubled keys, little nesting, valid text.
	if strictDecodeMode, err = (cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid,
	}).DecMode(); err != nil {
		panic(err)
	}
}

// RawValue is an encoded value.
type RawValue = cbor.RawMessage

// Encode gives v in CBOR.
func Encode(value any) ([]byte, error) {
	encoded, err := encodeMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return encoded, nil
}

// MustEncode encodes values whose types are known to encode.
func MustEncode(value any) RawValue {
	encoded, err := Encode(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode reads b into v; trailing bytes are an error.
func Decode(encoded []byte, target any) error {
	if err := decodeMode.Unmarshal(encoded, target); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize is the size of an encoded value in the form that the state service
// measures. A value that has no such form counts as too large for any limit.
func JSONSize(encoded []byte) int {
	canonical, err := canonicalJSON(encoded)
	if err != nil {
		return math.MaxInt32
	}
	return len(canonical)
}

// EqualValues tells whether two encoded values are the same: the state service keeps values, not our bytes.
func EqualValues(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	canonicalA, errA := canonicalJSON(a)
	canonicalB, errB := canonicalJSON(b)
	return errA == nil && errB == nil && bytes.Equal(canonicalA, canonicalB)
}

// canonicalJSON gives an encoded value in its JSON form, with maps in order.
func canonicalJSON(encoded []byte) ([]byte, error) {
	var value any
	if err := genericDecodeMode.Unmarshal(encoded, &value); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(value)
}

// ReadBody reads at most limit bytes; more is an error.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("read body: over %d bytes", limit)
	}
	return body, nil
}

// WriteResponse writes v with a status; a nil v writes no body.
func WriteResponse(w http.ResponseWriter, status int, value any) {
	if value == nil {
		w.WriteHeader(status)
		return
	}
	body, err := Encode(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
