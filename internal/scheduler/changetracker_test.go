package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestRecordIsBusyUntilItsChangeFinishes: the records of a change are busy, and its bindings count, from its start
// until it has finished; other changes in flight are left as they are.
func TestRecordIsBusyUntilItsChangeFinishes(t *testing.T) {
	tracker := newChangeTracker()
	first := tracker.start(&recordChange{keys: []string{"a", "b"}, bindings: []pendingBinding{{machine: "m1"}}})
	second := tracker.start(&recordChange{keys: []string{"c"}, bindings: []pendingBinding{{machine: "m2"}}})
	if first == second {
		t.Fatalf("two changes have the number %d", first)
	}
	if !tracker.inFlight("a") || !tracker.inFlight("b") || !tracker.inFlight("c") || tracker.inFlight("d") {
		t.Errorf("in flight: %v", tracker.keysInFlight)
	}
	tracker.finish(first)
	if tracker.inFlight("a") || tracker.inFlight("b") || !tracker.inFlight("c") {
		t.Errorf("in flight after the first change: %v", tracker.keysInFlight)
	}
	if left := slices.Collect(tracker.bindings()); len(left) != 1 || left[0].machine != "m2" {
		t.Errorf("bindings in flight: %v", left)
	}
}

// TestReservedKeyIsFreedWithItsChange: a key reserved ahead of its change is busy at once and free when the change
// has finished.
func TestReservedKeyIsFreedWithItsChange(t *testing.T) {
	tracker := newChangeTracker()
	tracker.reserveKey("a")
	if !tracker.inFlight("a") {
		t.Error("reserved, yet not in flight")
	}
	if tracker.finish(tracker.start(&recordChange{keys: []string{"a"}})); tracker.inFlight("a") {
		t.Error("in flight after its change")
	}
}

// TestRejectedRecordIsTriedAgainAfterItsPause: a rejected record stays so until its time is over and pruned.
func TestRejectedRecordIsTriedAgainAfterItsPause(t *testing.T) {
	tracker := newChangeTracker()
	tracker.reject(&recordChange{keys: []string{"a", "b"}}, testNow.Add(time.Minute))
	for _, step := range []struct {
		at       time.Duration
		rejected bool
	}{{0, true}, {time.Minute, true}, {time.Minute + 1, false}} {
		tracker.pruneRejected(testNow.Add(step.at))
		if tracker.rejected("a") != step.rejected || tracker.rejected("b") != step.rejected || tracker.rejected("c") {
			t.Errorf("after %v: rejected until %v, want rejected: %v", step.at, tracker.rejectedUntil, step.rejected)
		}
	}
}
