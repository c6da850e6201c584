package jobqueue

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// drawKey draws a key. The caller supplies the generators of the deadline and of the ready time,
// and thereby determines how common ties are: the smaller the range, the more ties.
func drawKey(t *rapid.T, jobID string, deadline, readySince *rapid.Generator[int64]) Key {
	return Key{
		PriorityRank:     rapid.IntRange(0, 3).Draw(t, "priority rank"),
		WithinGuarantee:  rapid.Bool().Draw(t, "within guarantee"),
		Underserved:      rapid.Bool().Draw(t, "underserved"),
		MissesObjectives: rapid.Bool().Draw(t, "misses objectives"),
		SizeClass:        rapid.IntRange(0, 2).Draw(t, "size class"),
		NearDeadline:     rapid.Bool().Draw(t, "near deadline"),
		DeadlineNs:       deadline.Draw(t, "deadline"),
		ReadySinceMs:     readySince.Draw(t, "ready since"),
		JobID:            jobID,
	}
}

// TestQueueMatchesSorting checks that, after any sequence of Put and Delete calls, the queue yields the
// keys of its jobs in sorted order.
func TestQueueMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, model := New[int](), map[string]Key{}
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			jobID := strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "job"))
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				queue.Delete(jobID)
				delete(model, jobID)
				continue
			}
			key := drawKey(t, jobID, rapid.Int64Range(0, 5), rapid.Int64Range(0, 3))
			queue.Put(key, step)
			model[jobID] = key
		}
		var want, got []Key
		for _, key := range model {
			want = append(want, key)
		}
		slices.SortFunc(want, Key.Compare)
		queue.Each(func(key Key, _ int) bool { got = append(got, key); return true })
		if !slices.Equal(got, want) || queue.Len() != len(want) {
			t.Fatalf("queue %v, want %v", got, want)
		}
	})
}
