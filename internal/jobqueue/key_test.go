package jobqueue

import (
	"testing"

	"pgregory.net/rapid"
)

// TestCompareFollowsFieldOrder checks that Compare orders any two keys by priority first, whatever
// their other fields are, and then by the other fields of the precedence in their order.
func TestCompareFollowsFieldOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawKey(t, "a", rapid.Int64(), rapid.Int64())
		b := drawKey(t, "b", rapid.Int64(), rapid.Int64())
		aIsFirst := a.Compare(b) < 0
		switch {
		case a.PriorityRank != b.PriorityRank:
			if aIsFirst != (a.PriorityRank < b.PriorityRank) {
				t.Fatal("a job of lower priority comes first")
			}
		case a.WithinGuarantee != b.WithinGuarantee:
			if aIsFirst != a.WithinGuarantee {
				t.Fatal("a job outside its team's guarantee comes before one within")
			}
		case a.Underserved != b.Underserved:
			if aIsFirst != a.Underserved {
				t.Fatal("a job that is not underserved comes before one that is")
			}
		case a.MissesObjectives != b.MissesObjectives:
			if aIsFirst != b.MissesObjectives {
				t.Fatal("a job that misses its objectives comes before one that can meet them")
			}
		case a.SizeClass != b.SizeClass:
			if aIsFirst != (a.SizeClass < b.SizeClass) {
				t.Fatal("a larger job comes before a smaller one")
			}
		case a.NearDeadline != b.NearDeadline:
			if aIsFirst != a.NearDeadline {
				t.Fatal("a job without a near deadline comes before one with a near deadline")
			}
		}
		if (b.Compare(a) < 0) == aIsFirst {
			t.Fatal("the comparison is not antisymmetric")
		}
	})
}
