package wire

import (
	"maps"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func validSubmission() map[string]any {
	return map[string]any{"id": "run-000412", "lot": "train", "crew": "vision", "rig": "group", "precedence": "urgent", "hauls": 16,
		"vcpus": 8.0, "cards": 1.0, "memory_gb": 64.0, "tackle": "img-07", "size_gb": 6.2, "hulls": []string{"g8"}, "harbor": nil,
		"same_place": true, "spread": false, "standby": true, "reckon_s": 240.0, "landfall_s": 30.0, "stow_s": 4.0, "cutoff_s": 900.0}
}

func TestDecodeValidSubmission(t *testing.T) {
	j := validSubmission()
	j["of_later_versions"] = map[string]any{"x": []int{1}}
	s, err := DecodeSubmission(MustEncode(j))
	if err != nil || s.TaskCount != 16 || s.MachineTypes[0] != "g8" || s.Zone != "" || s.DeadlineSeconds != 900 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, k := range []string{"hulls", "harbor", "cutoff_s"} {
		j := validSubmission()
		delete(j, k)
		if _, err := DecodeSubmission(MustEncode(j)); err != nil {
			t.Errorf("without %s, which may be null: %v", k, err)
		}
	}
}

// TestDecodeRejectsInvalidFields spoils one field at a time: each must be refused, none may crash.
func TestDecodeRejectsInvalidFields(t *testing.T) {
	nullable := map[string]bool{"hulls": true, "harbor": true, "cutoff_s": true}
	rapid.Check(t, func(t *rapid.T) {
		j := validSubmission()
		key := rapid.SampledFrom([]string{"id", "lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb",
			"hulls", "harbor", "same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s", "cutoff_s"}).Draw(t, "field")
		if !nullable[key] && rapid.Bool().Draw(t, "drop") {
			delete(j, key)
		} else {
			bad := []any{map[string]any{}, []byte{1}, []any{[]any{}}}
			switch validSubmission()[key].(type) {
			case float64:
				bad = append(bad, -1.0, math.NaN(), math.Inf(1), 1e300, "1", true)
			case int:
				bad = append(bad, 0, -1, 100_001, 1.5, "1", uint64(math.MaxUint64))
			case bool:
				bad = append(bad, "true", 1)
			case string:
				bad = append(bad, "", "run-", "RUN-1", "run-1x", string(make([]byte, 4000)), 7)
			case []string:
				bad = append(bad, []string{}, []int{1}, "g8")
			}
			v := rapid.SampledFrom(bad).Draw(t, "value")
			if s, ok := v.(string); ok && s != "" && len(s) < 100 && (key == "lot" || key == "crew" || key == "tackle") {
				return // any short name is fine there
			}
			if key == "harbor" && v != "" {
				if s, ok := v.(string); ok && len(s) < 100 {
					return
				}
			}
			j[key] = v
		}
		if s, err := DecodeSubmission(MustEncode(j)); err == nil {
			t.Fatalf("accepted with %s = %v: %+v", key, j[key], s)
		}
	})
}

// TestDecodeArbitraryBytes feeds arbitrary and truncated bodies: an error, never a crash.
func TestDecodeArbitraryBytes(t *testing.T) {
	good := MustEncode(validSubmission())
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if _, err := DecodeSubmission(b); err == nil {
			t.Fatalf("%x accepted", b)
		}
		cut := rapid.IntRange(0, len(good)-1).Draw(t, "cut")
		if _, err := DecodeSubmission(good[:cut]); err == nil {
			t.Fatal("a truncated body was accepted")
		}
		if _, err := DecodeSubmission(append(append([]byte{}, good...), byte(cut))); err == nil {
			t.Fatal("trailing bytes were accepted")
		}
	})
	deep := make([]byte, 0, 5000)
	for range 5000 {
		deep = append(deep, 0x81)
	}
	j := maps.Clone(validSubmission())
	if _, err := DecodeSubmission(append(MustEncode(j)[:0:0], deep...)); err == nil {
		t.Fatal("deep nesting was accepted")
	}
}
