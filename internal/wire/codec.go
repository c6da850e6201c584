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
	enc    cbor.EncMode
	dec    cbor.DecMode
	strict cbor.DecMode
	plain  cbor.DecMode
)

func init() {
	var err error
	if enc, err = (cbor.EncOptions{Sort: cbor.SortNone}).EncMode(); err != nil {
		panic(err)
	}
	// Bodies of our own partners: lenient about size, not about form.
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}).DecMode(); err != nil {
		panic(err)
	}
	// Any value, in the shapes that JSON has too.
	if plain, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32, DefaultMapType: reflect.TypeFor[map[string]any]()}).DecMode(); err != nil {
		panic(err)
	}
	// Users' input: no tags, no doubled keys, little nesting, valid text.
	if strict, err = (cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid,
	}).DecMode(); err != nil {
		panic(err)
	}
}

// Raw is an encoded value.
type Raw = cbor.RawMessage

// Encode gives v in CBOR.
func Encode(v any) ([]byte, error) {
	b, err := enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return b, nil
}

// MustEncode encodes values whose types are known to encode.
func MustEncode(v any) Raw {
	b, err := Encode(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads b into v; trailing bytes are an error.
func Decode(b []byte, v any) error {
	if err := dec.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize is the size of an encoded value in the form that the state service
// measures. A value that has no such form counts as too large for any limit.
func JSONSize(b []byte) int {
	j, err := asJSON(b)
	if err != nil {
		return math.MaxInt32
	}
	return len(j)
}

// Same tells whether two encoded values are the same: the state service keeps values, not our bytes.
func Same(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, errX := asJSON(a)
	y, errY := asJSON(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// asJSON gives an encoded value in its JSON form, with maps in order.
func asJSON(b []byte) ([]byte, error) {
	var v any
	if err := plain.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(v)
}

// ReadBody reads at most limit bytes; more is an error.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("read body: over %d bytes", limit)
	}
	return b, nil
}

// Reply writes v with a status; a nil v writes no body.
func Reply(w http.ResponseWriter, status int, v any) {
	if v == nil {
		w.WriteHeader(status)
		return
	}
	b, err := Encode(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
