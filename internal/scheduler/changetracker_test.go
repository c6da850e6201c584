package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestRecordIsInFlightUntilItsChangeFinishes checks that the records of a change are in flight and its bindings are
// listed from its start until it has finished, and that finishing it doesn't affect other changes in flight.
func TestRecordIsInFlightUntilItsChangeFinishes(t *testing.T) {
	tracker := newChangeTracker()
	first := tracker.start(&recordChange{keys: []string{"a", "b"}, bindings: []inFlightBinding{{machine: "m1"}}})
	second := tracker.start(&recordChange{keys: []string{"c"}, bindings: []inFlightBinding{{machine: "m2"}}})
	if first == second {
		t.Fatalf("two changes have the ID %d", first)
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

// TestReservedKeyIsReleasedWithItsChange checks that a key that is reserved before its change starts is in flight at
// once, and no longer once the change has finished.
func TestReservedKeyIsReleasedWithItsChange(t *testing.T) {
	tracker := newChangeTracker()
	tracker.reserveKey("a")
	if !tracker.inFlight("a") {
		t.Error("not in flight after reserveKey")
	}
	if tracker.finish(tracker.start(&recordChange{keys: []string{"a"}})); tracker.inFlight("a") {
		t.Error("still in flight after its change has finished")
	}
}

// TestRejectedRecordIsAllowedAfterItsBackoff checks that a rejected record stays rejected until its backoff has ended
// and pruneRejected has been called.
func TestRejectedRecordIsAllowedAfterItsBackoff(t *testing.T) {
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
