package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/tuning"
)

// TestTombstoneOutlivesConfirmation checks that a machine's tombstone is kept for tuning.TombstoneRetention, even if
// the confirmation of its deletion is dropped earlier.
func TestTombstoneOutlivesConfirmation(t *testing.T) {
	deleted := newDeletedMachines()
	deleted.confirm("m1", testNow)
	deleted.confirm("m2", testNow.Add(time.Second))
	deleted.forgetConfirmed(func(name string) bool { return name == "m1" })
	if deleted.isConfirmed("m1") || !deleted.isConfirmed("m2") || deleted.isConfirmed("m3") {
		t.Errorf("confirmed: %v", deleted.confirmed)
	}
	if !deleted.hasTombstone("m1") || !deleted.hasTombstone("m2") || deleted.hasTombstone("m3") {
		t.Errorf("tombstones: %v", deleted.tombstones)
	}
	if deleted.pruneTombstones(testNow.Add(tuning.TombstoneRetention)); !deleted.hasTombstone("m1") {
		t.Error("tombstone dropped too early")
	}
	deleted.pruneTombstones(testNow.Add(tuning.TombstoneRetention + 1))
	if deleted.hasTombstone("m1") || !deleted.hasTombstone("m2") {
		t.Errorf("tombstones after the retention of the first: %v", deleted.tombstones)
	}
}
