package jobqueue

import (
	"testing"

	"pgregory.net/rapid"
)

// TestPrecedenceIsNeverCrossed: of any two keys the one with the higher priority comes first,
// whatever else they say; then the other fields of the precedence in their order.
func TestPrecedenceIsNeverCrossed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawKey(t, "a", rapid.Int64(), rapid.Int64())
		b := drawKey(t, "b", rapid.Int64(), rapid.Int64())
		aIsFirst := a.Compare(b) < 0
		switch {
		case a.PriorityRank != b.PriorityRank:
			if aIsFirst != (a.PriorityRank < b.PriorityRank) {
				t.Fatal("priority is crossed")
			}
		case a.WithinGuarantee != b.WithinGuarantee:
			if aIsFirst != a.WithinGuarantee {
				t.Fatal("a guarantee is crossed")
			}
		case a.Underserved != b.Underserved:
			if aIsFirst != a.Underserved {
				t.Fatal("fair share is crossed")
			}
		case a.MissesObjectives != b.MissesObjectives:
			if aIsFirst != b.MissesObjectives {
				t.Fatal("a job that misses its objectives delays one that can meet them")
			}
		case a.SizeClass != b.SizeClass:
			if aIsFirst != (a.SizeClass < b.SizeClass) {
				t.Fatal("a large job delays a small one")
			}
		case a.NearDeadline != b.NearDeadline:
			if aIsFirst != a.NearDeadline {
				t.Fatal("a near deadline is crossed")
			}
		}
		if (b.Compare(a) < 0) == aIsFirst {
			t.Fatal("the comparison is not antisymmetric")
		}
	})
}
