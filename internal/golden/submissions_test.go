package golden_test

import (
	"fmt"
	"strings"
	"testing"

	"sableusher/internal/wire"
)

// submissionFields lists the fields of a submission in a fixed order.
var submissionFields = []string{
	"id", "lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb",
	"hulls", "harbor", "same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s", "cutoff_s",
	"awaits", "repeats",
}

// submission returns a submission as a user sends it, with every field set.
func submission() map[string]any {
	return map[string]any{
		"id": "run-000412", "lot": "train", "crew": "vision", "rig": "group", "precedence": "urgent", "hauls": 16,
		"vcpus": 8.0, "cards": 1.0, "memory_gb": 64.0, "tackle": "img-07", "size_gb": 6.2,
		"hulls": []string{"g8"}, "harbor": "east", "same_place": true, "spread": true, "standby": true,
		"reckon_s": 240.0, "landfall_s": 30.0, "stow_s": 4.0, "cutoff_s": 900.0,
		"awaits": []string{"run-1", "run-2"}, "repeats": 3,
	}
}

// writeSubmission writes the job description that a body is decoded to, or the error for which it is rejected.
func writeSubmission(out *strings.Builder, name string, body []byte) {
	spec, err := wire.DecodeSubmission(body)
	if err != nil {
		fmt.Fprintf(out, "%s: %v\n", name, err)
		return
	}
	fmt.Fprintf(out, "%s: %x\n", name, wire.MustEncode(spec))
}

// TestSubmissions checks that submissions are decoded to the same job descriptions and rejected with the same messages.
// Messages of the codec contain the name of the type that a submission is decoded into, so this type can't be renamed.
func TestSubmissions(t *testing.T) {
	var out strings.Builder
	writeSubmission(&out, "every field", wire.MustEncode(submission()))
	for _, field := range submissionFields {
		fields := submission()
		delete(fields, field)
		writeSubmission(&out, "without "+field, wire.MustEncode(fields))
		for _, value := range []any{"", "nothing", -1, 1e12, []string{}, []string{"a", "a"}, true} {
			fields[field] = value
			writeSubmission(&out, fmt.Sprintf("%s = %v", field, value), wire.MustEncode(fields))
		}
	}
	writeSubmission(&out, "no map", wire.MustEncode(1))
	writeSubmission(&out, "nothing", nil)
	fields := submission()
	fields["vcpus"], fields["cards"], fields["memory_gb"] = 0.0, 0.0, 0.0
	writeSubmission(&out, "no amount", wire.MustEncode(fields))
	for _, retries := range []any{nil, 0, 3, -1, 1 << 40, "3"} {
		fields["repeats"] = retries
		writeMaxRetries(&out, retries, wire.MustEncode(fields))
	}
	checkText(t, "submissions.txt", out.String())
}

// writeMaxRetries writes the number of retries that a body requests, or the error for which it is rejected.
func writeMaxRetries(out *strings.Builder, given any, body []byte) {
	requested, err := wire.DecodeMaxRetries(body)
	if requested != nil {
		fmt.Fprintf(out, "repeats = %v: %d\n", given, *requested)
		return
	}
	fmt.Fprintf(out, "repeats = %v: none, %v\n", given, err)
}
