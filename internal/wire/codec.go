package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// RawValue is a value in its CBOR encoding.
type RawValue = cbor.RawMessage

// Decoding limits. Agents, the key-value store and the cloud are trusted to send large messages; users are not.
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

// partnerOptions returns the decoding options for messages of trusted partners (agents, the key-value store, the
// cloud): large messages are allowed, malformed ones are not.
func partnerOptions() cbor.DecOptions {
	return cbor.DecOptions{
		MaxArrayElements: maxPartnerElements,
		MaxMapPairs:      maxPartnerElements,
		MaxNestedLevels:  maxPartnerNesting,
	}
}

// genericOptions returns the options for decoding any value into types that can be encoded as JSON.
func genericOptions() cbor.DecOptions {
	options := partnerOptions()
	options.DefaultMapType = reflect.TypeFor[map[string]any]()
	return options
}

// userOptions returns the decoding options for messages of users. They reject CBOR tags, duplicate keys, deep
// nesting and text that is not valid UTF-8.
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

// must returns mode, and panics if the library rejected the options, which are constant.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of a value.
func Encode(value any) ([]byte, error) {
	encoded, err := encodeMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return encoded, nil
}

// MustEncode is like Encode but panics on an error. It is for values of types that can always be encoded.
func MustEncode(value any) RawValue {
	encoded, err := Encode(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode decodes a CBOR value into target, which must be a pointer. Trailing bytes are an error.
func Decode(encoded []byte, target any) error {
	if err := decodeMode.Unmarshal(encoded, target); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize returns the size in bytes of the JSON form of a CBOR value. The key-value store measures
// its value limit in JSON. For a value that can't be converted to JSON, JSONSize returns
// math.MaxInt32, which exceeds any limit.
func JSONSize(encoded []byte) int {
	canonical, err := canonicalJSON(encoded)
	if err != nil {
		return math.MaxInt32
	}
	return len(canonical)
}

// EqualValues reports whether two CBOR encodings represent the same value. The bytes may differ,
// because the key-value store stores values and may encode them differently.
func EqualValues(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	canonicalA, errA := canonicalJSON(a)
	canonicalB, errB := canonicalJSON(b)
	return errA == nil && errB == nil && bytes.Equal(canonicalA, canonicalB)
}

// canonicalJSON converts a CBOR value to JSON with sorted map keys.
func canonicalJSON(encoded []byte) ([]byte, error) {
	var value any
	if err := genericDecodeMode.Unmarshal(encoded, &value); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(value)
}
