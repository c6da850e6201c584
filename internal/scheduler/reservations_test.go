package scheduler

import (
	"maps"
	"testing"
	"time"

	"sableusher/internal/record"
)

// TestReservationEndsByReleaseOrTime checks that a machine is reserved for one task until it is released or the
// reservation expires.
func TestReservationEndsByReleaseOrTime(t *testing.T) {
	table := reservationTable{}
	first, second := record.TaskRef{JobID: "a"}, record.TaskRef{JobID: "b", Index: 1}
	table.reserve("m1", first, testNow)
	table.reserve("m2", first, testNow.Add(time.Second))
	table.reserve("m3", first, testNow.Add(time.Second))
	table.reserve("m3", second, testNow.Add(time.Minute))
	table.release("m2")
	active := maps.Collect(table.active(testNow))
	if len(active) != 2 || active["m1"] != first || active["m3"] != second {
		t.Errorf("reserved: %v", active)
	}
	if active := maps.Collect(table.active(testNow.Add(1))); len(active) != 1 || active["m3"] != second {
		t.Errorf("reserved after the first expired: %v", active)
	}
	if table.prune(testNow); len(table) != 2 {
		t.Errorf("pruned too early: %v", table)
	}
	if table.prune(testNow.Add(1)); len(table) != 1 {
		t.Errorf("kept after expiry: %v", table)
	}
}
