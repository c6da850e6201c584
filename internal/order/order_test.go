package order

import (
	"math/bits"
	"slices"
	"strconv"
	"testing"
	"time"

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
			k := Key{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Assured: rapid.Bool().Draw(t, "assured"), Owed: rapid.Bool().Draw(t, "owed"), Late: rapid.Bool().Draw(t, "late"), Size: rapid.IntRange(0, 2).Draw(t, "size"), Pressing: rapid.Bool().Draw(t, "pressing"),
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
			return Key{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Assured: rapid.Bool().Draw(t, "assured"), Owed: rapid.Bool().Draw(t, "owed"), Late: rapid.Bool().Draw(t, "late"), Size: rapid.IntRange(0, 2).Draw(t, "size"), Pressing: rapid.Bool().Draw(t, "pressing"),
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
		case a.Owed != b.Owed:
			if first != a.Owed {
				t.Fatal("a turn is crossed")
			}
		case a.Late != b.Late:
			if first != b.Late {
				t.Fatal("what can't be in time holds up what can")
			}
		case a.Size != b.Size:
			if first != (a.Size < b.Size) {
				t.Fatal("a large job holds up a small one")
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

// TestReachableAgainstAllChoices: with one aim each, no choice of jobs that could all be in
// time on the room there is holds more of them; what is found in time is so, served by
// deadline; and aims only move later.
func TestReachableAgainstAllChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backlog := time.Duration(rapid.IntRange(0, 6).Draw(t, "backlog"))
		var list []Work
		for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
			list = append(list, Work{ID: strconv.Itoa(i), Takes: time.Duration(rapid.IntRange(1, 8).Draw(t, "takes")), Aims: []time.Duration{time.Duration(rapid.IntRange(0, 25).Draw(t, "aim"))}})
		}
		fits := func(in func(i int) bool) bool {
			var chosen []Work
			for i, w := range list {
				if in(i) {
					chosen = append(chosen, w)
				}
			}
			slices.SortFunc(chosen, func(a, b Work) int { return int(a.Aims[0] - b.Aims[0]) })
			sum := backlog
			for _, w := range chosen {
				if sum += w.Takes; sum > w.Aims[0] {
					return false
				}
			}
			return true
		}
		best := 0
		for set := range 1 << len(list) {
			if fits(func(i int) bool { return set>>i&1 == 1 }) {
				best = max(best, bits.OnesCount(uint(set)))
			}
		}
		got, count := Reachable(backlog, list), 0
		for _, aim := range got {
			if aim == 0 {
				count++
			}
		}
		if len(got) != len(list) || count != best || !fits(func(i int) bool { return got[list[i].ID] == 0 }) {
			t.Fatalf("%d of %v in time on %v, %d could be", count, list, got, best)
		}
		// Further aims give nobody up who was in time, and leave nobody with an aim out of reach alone.
		for i := range list {
			list[i].Aims = append(list[i].Aims, list[i].Aims[0]+time.Duration(rapid.IntRange(1, 30).Draw(t, "more")))
		}
		kept := 0
		for id, aim := range Reachable(backlog, list) {
			w := list[slices.IndexFunc(list, func(w Work) bool { return w.ID == id })]
			if aim >= 0 {
				kept++
				if w.Aims[aim] < w.Takes {
					t.Fatalf("%v is to meet what it can't", w)
				}
			}
		}
		if kept < count {
			t.Fatalf("%d with more time, %d with less", kept, count)
		}
	})
}
