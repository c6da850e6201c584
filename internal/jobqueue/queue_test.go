package jobqueue

import (
	"math/bits"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
)

func TestMain(m *testing.M) { testrand.Main(m) }

// TestLineFollowsSorting: after any history of arrivals, changes and departures the
// line is what sorting its jobs anew would give.
func TestQueueMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, model := New[int](), map[string]Key{}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			id := strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "job"))
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				l.Delete(id)
				delete(model, id)
				continue
			}
			k := Key{PriorityRank: rapid.IntRange(0, 3).Draw(t, "rank"), WithinGuarantee: rapid.Bool().Draw(t, "assured"), Underserved: rapid.Bool().Draw(t, "owed"), MissesObjectives: rapid.Bool().Draw(t, "late"), SizeClass: rapid.IntRange(0, 2).Draw(t, "size"), NearDeadline: rapid.Bool().Draw(t, "pressing"),
				DeadlineNs: rapid.Int64Range(0, 5).Draw(t, "deadline"), EligibleSinceMs: rapid.Int64Range(0, 3).Draw(t, "since"), JobID: id}
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
func TestPrecedenceIsNeverCrossed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(id string) Key {
			return Key{PriorityRank: rapid.IntRange(0, 3).Draw(t, "rank"), WithinGuarantee: rapid.Bool().Draw(t, "assured"), Underserved: rapid.Bool().Draw(t, "owed"), MissesObjectives: rapid.Bool().Draw(t, "late"), SizeClass: rapid.IntRange(0, 2).Draw(t, "size"), NearDeadline: rapid.Bool().Draw(t, "pressing"),
				DeadlineNs: rapid.Int64().Draw(t, "deadline"), EligibleSinceMs: rapid.Int64().Draw(t, "since"), JobID: id}
		}
		a, b := draw("a"), draw("b")
		first := a.Compare(b) < 0
		switch {
		case a.PriorityRank != b.PriorityRank:
			if first != (a.PriorityRank < b.PriorityRank) {
				t.Fatal("priority is crossed")
			}
		case a.WithinGuarantee != b.WithinGuarantee:
			if first != a.WithinGuarantee {
				t.Fatal("a guarantee is crossed")
			}
		case a.Underserved != b.Underserved:
			if first != a.Underserved {
				t.Fatal("a turn is crossed")
			}
		case a.MissesObjectives != b.MissesObjectives:
			if first != b.MissesObjectives {
				t.Fatal("what can't be in time holds up what can")
			}
		case a.SizeClass != b.SizeClass:
			if first != (a.SizeClass < b.SizeClass) {
				t.Fatal("a large job holds up a small one")
			}
		case a.NearDeadline != b.NearDeadline:
			if first != a.NearDeadline {
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
func TestAttainableObjectivesMatchExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backlog := time.Duration(rapid.IntRange(0, 6).Draw(t, "backlog"))
		var list []WaitingJob
		for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
			list = append(list, WaitingJob{JobID: strconv.Itoa(i), ServiceTime: time.Duration(rapid.IntRange(1, 8).Draw(t, "takes")), Objectives: []time.Duration{time.Duration(rapid.IntRange(0, 25).Draw(t, "aim"))}})
		}
		fits := func(in func(i int) bool) bool {
			var chosen []WaitingJob
			for i, w := range list {
				if in(i) {
					chosen = append(chosen, w)
				}
			}
			slices.SortFunc(chosen, func(a, b WaitingJob) int { return int(a.Objectives[0] - b.Objectives[0]) })
			sum := backlog
			for _, w := range chosen {
				if sum += w.ServiceTime; sum > w.Objectives[0] {
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
		got, count := AttainableObjectives(backlog, list), 0
		for _, aim := range got {
			if aim == 0 {
				count++
			}
		}
		if len(got) != len(list) || count != best || !fits(func(i int) bool { return got[list[i].JobID] == 0 }) {
			t.Fatalf("%d of %v in time on %v, %d could be", count, list, got, best)
		}
		// Further aims give nobody up who was in time, and leave nobody with an aim out of reach alone.
		for i := range list {
			list[i].Objectives = append(list[i].Objectives, list[i].Objectives[0]+time.Duration(rapid.IntRange(1, 30).Draw(t, "more")))
		}
		kept := 0
		for id, aim := range AttainableObjectives(backlog, list) {
			w := list[slices.IndexFunc(list, func(w WaitingJob) bool { return w.JobID == id })]
			if aim >= 0 {
				kept++
				if w.Objectives[aim] < w.ServiceTime {
					t.Fatalf("%v is to meet what it can't", w)
				}
			}
		}
		if kept < count {
			t.Fatalf("%d with more time, %d with less", kept, count)
		}
	})
}
