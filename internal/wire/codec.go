package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// RawValue is a value in its encoded form.
type RawValue = cbor.RawMessage

// Limits of what is decoded. Counterparts of the service are trusted with large messages, users are not.
const (
	maxPartnerElements = 1 << 20
	maxPartnerNesting  = 32
	maxUserElements    = 4096
	maxUserMapPairs    = 256
	maxUserNesting     = 8
)

var (
	encodeMode        = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decodeMode        = must(partnerOptions().DecMode())
	genericDecodeMode = must(genericOptions().DecMode())
	strictDecodeMode  = must(userOptions().DecMode())
)

// partnerOptions are lenient about the size of a message, not about its form.
func partnerOptions() cbor.DecOptions {
	return cbor.DecOptions{
		MaxArrayElements: maxPartnerElements,
		MaxMapPairs:      maxPartnerElements,
		MaxNestedLevels:  maxPartnerNesting,
	}
}

// genericOptions decode any value into the types that JSON has too.
func genericOptions() cbor.DecOptions {
	options := partnerOptions()
	options.DefaultMapType = reflect.TypeFor[map[string]any]()
	return options
}

// userOptions refuse CBOR tags, keys that stand twice, deep nesting and text that is not UTF-8.
func userOptions() cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxUserElements,
		MaxMapPairs:      maxUserMapPairs,
		MaxNestedLevels:  maxUserNesting,
		UTF8:             cbor.UTF8RejectInvalid,
	}
}

// must gives a mode whose options are constant; it panics if the library refuses them.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode gives a value in CBOR.
func Encode(value any) ([]byte, error) {
	encoded, err := encodeMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return encoded, nil
}

// MustEncode encodes a value of a type that is known to encode, and panics if it does not.
func MustEncode(value any) RawValue {
	encoded, err := Encode(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode reads an encoded value into target, a pointer. Trailing bytes are an error.
func Decode(encoded []byte, target any) error {
	if err := decodeMode.Unmarshal(encoded, target); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize is the size in bytes of an encoded value in JSON, by which the key-value store limits
// values. A value that has no such form counts as too large for any limit.
func JSONSize(encoded []byte) int {
	canonical, err := canonicalJSON(encoded)
	if err != nil {
		return math.MaxInt32
	}
	return len(canonical)
}

// EqualValues reports whether two encoded values are the same value. Their bytes may differ, as the
// key-value store keeps values and not bytes.
func EqualValues(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	canonicalA, errA := canonicalJSON(a)
	canonicalB, errB := canonicalJSON(b)
	return errA == nil && errB == nil && bytes.Equal(canonicalA, canonicalB)
}

// canonicalJSON gives an encoded value in JSON, with the keys of maps in order.
func canonicalJSON(encoded []byte) ([]byte, error) {
	var value any
	if err := genericDecodeMode.Unmarshal(encoded, &value); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(value)
}
