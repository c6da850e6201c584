package wire

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// validSubmission returns a valid submission with all fields of the first version of the protocol.
func validSubmission() map[string]any {
	return map[string]any{
		"id": "run-000412", "lot": "train", "crew": "vision", "rig": "group", "precedence": "urgent", "hauls": 16,
		"vcpus": 8.0, "cards": 1.0, "memory_gb": 64.0, "tackle": "img-07", "size_gb": 6.2,
		"hulls": []string{"g8"}, "harbor": nil, "same_place": true, "spread": false, "standby": true,
		"reckon_s": 240.0, "landfall_s": 30.0, "stow_s": 4.0, "cutoff_s": 900.0,
	}
}

// submissionFields lists the fields of validSubmission in a fixed order, for reproducible draws.
var submissionFields = []string{
	"id", "lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb",
	"hulls", "harbor", "same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s", "cutoff_s",
}

// optionalFields lists the fields that may be missing or null.
var optionalFields = []string{"hulls", "harbor", "cutoff_s"}

// TestDecodeValidSubmission checks that unknown fields are ignored and that optional fields may be missing.
func TestDecodeValidSubmission(t *testing.T) {
	fields := validSubmission()
	fields["of_later_versions"] = map[string]any{"x": []int{1}}
	spec, err := DecodeSubmission(MustEncode(fields))
	if err != nil {
		t.Fatal(err)
	}
	if spec.TaskCount != 16 || spec.MachineTypes[0] != "g8" || spec.Zone != "" || spec.DeadlineSeconds != 900 {
		t.Fatalf("unexpected specification %+v", spec)
	}
	for _, field := range optionalFields {
		fields := validSubmission()
		delete(fields, field)
		if _, err := DecodeSubmission(MustEncode(fields)); err != nil {
			t.Errorf("submission without the optional field %s was rejected: %v", field, err)
		}
	}
}

// invalidValues returns values that are invalid for a field, chosen by the type of its valid value. Some of the texts
// are valid in fields that accept any short name; see isValidName.
func invalidValues(field string) []any {
	values := []any{map[string]any{}, []byte{1}, []any{[]any{}}}
	switch validSubmission()[field].(type) {
	case float64:
		return append(values, -1.0, math.NaN(), math.Inf(1), 1e300, "1", true)
	case int:
		return append(values, 0, -1, 100_001, 1.5, "1", uint64(math.MaxUint64))
	case bool:
		return append(values, "true", 1)
	case string:
		return append(values, "", "run-", "RUN-1", "run-1x", string(make([]byte, 4000)), 7)
	case []string:
		return append(values, []string{}, []int{1}, "g8")
	}
	return values
}

// isValidName reports whether the field accepts any short name and the value is one.
func isValidName(field string, value any) bool {
	acceptsAnyName := slices.Contains([]string{"lot", "crew", "tackle", "harbor"}, field)
	name, ok := value.(string)
	return acceptsAnyName && ok && name != "" && len(name) < 100
}

// TestDecodeRejectsInvalidFields makes one field invalid or removes it: DecodeSubmission must return an error and must
// not panic.
func TestDecodeRejectsInvalidFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := validSubmission()
		field := rapid.SampledFrom(submissionFields).Draw(t, "field")
		if !slices.Contains(optionalFields, field) && rapid.Bool().Draw(t, "drop") {
			delete(fields, field)
		} else {
			value := rapid.SampledFrom(invalidValues(field)).Draw(t, "value")
			if isValidName(field, value) {
				return
			}
			fields[field] = value
		}
		if spec, err := DecodeSubmission(MustEncode(fields)); err == nil {
			t.Fatalf("accepted with %s = %v: %+v", field, fields[field], spec)
		}
	})
}

// TestDecodeArbitraryBytes decodes arbitrary and truncated bodies, bodies with trailing bytes, and deeply nested ones:
// DecodeSubmission must return an error and must not panic.
func TestDecodeArbitraryBytes(t *testing.T) {
	valid := MustEncode(validSubmission())
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if _, err := DecodeSubmission(body); err == nil {
			t.Fatalf("the arbitrary body %x was accepted", body)
		}
		cut := rapid.IntRange(0, len(valid)-1).Draw(t, "cut")
		if _, err := DecodeSubmission(valid[:cut]); err == nil {
			t.Fatal("a truncated body was accepted")
		}
		if _, err := DecodeSubmission(append(slices.Clone(valid), byte(cut))); err == nil {
			t.Fatal("trailing bytes were accepted")
		}
	})
	const arrayOfOne = 0x81
	if _, err := DecodeSubmission(slices.Repeat([]byte{arrayOfOne}, 5000)); err == nil {
		t.Fatal("deep nesting was accepted")
	}
	var nested any = 1
	for range 20 {
		nested = []any{nested}
	}
	fields := validSubmission()
	fields["of_later_versions"] = nested
	if _, err := DecodeSubmission(MustEncode(fields)); err == nil {
		t.Fatal("deep nesting in an unknown field was accepted")
	}
}
