package order

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// TestLineFollowsSorting: after any history of arrivals, changes and departures the
// line is what sorting its jobs anew would give.
func TestLineFollowsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, model := NewLine[int](), map[string]Key{}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			id := strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "job"))
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				l.Drop(id)
				delete(model, id)
				continue
			}
			k := Key{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Assured: rapid.Bool().Draw(t, "assured"), Pressing: rapid.Bool().Draw(t, "pressing"),
				Deadline: rapid.Int64Range(0, 5).Draw(t, "deadline"), Since: rapid.Int64Range(0, 3).Draw(t, "since"), ID: id}
			l.Put(k, i)
			model[id] = k
		}
		var want, got []Key
		for _, k := range model {
			want = append(want, k)
		}
		slices.SortFunc(want, Key.Compare)
		l.Each(func(k Key, _ int) bool { got = append(got, k); return true })
		if !slices.Equal(got, want) || l.Len() != len(want) {
			t.Fatalf("line %v, want %v", got, want)
		}
	})
}

// TestGuardsAreNeverCrossed: of any two keys the one with the higher priority comes
// first, whatever else they say; then the guarantee, then danger.
func TestGuardsAreNeverCrossed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(id string) Key {
			return Key{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Assured: rapid.Bool().Draw(t, "assured"), Pressing: rapid.Bool().Draw(t, "pressing"),
				Deadline: rapid.Int64().Draw(t, "deadline"), Since: rapid.Int64().Draw(t, "since"), ID: id}
		}
		a, b := draw("a"), draw("b")
		first := a.Compare(b) < 0
		switch {
		case a.Rank != b.Rank:
			if first != (a.Rank < b.Rank) {
				t.Fatal("priority is crossed")
			}
		case a.Assured != b.Assured:
			if first != a.Assured {
				t.Fatal("a guarantee is crossed")
			}
		case a.Pressing != b.Pressing:
			if first != a.Pressing {
				t.Fatal("danger is crossed")
			}
		}
		if (b.Compare(a) < 0) == first {
			t.Fatal("no order")
		}
	})
}
