package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestBackgroundMigrationInterval checks that background migrations are due once per tuning.MigrationInterval, and
// that a request is kept until it is removed.
func TestBackgroundMigrationInterval(t *testing.T) {
	schedule := newMigrationSchedule()
	if !schedule.backgroundDue(testNow) {
		t.Error("not due before the first migration")
	}
	schedule.lastBackground = testNow
	if schedule.backgroundDue(testNow.Add(tuning.MigrationInterval-1)) ||
		!schedule.backgroundDue(testNow.Add(tuning.MigrationInterval)) {
		t.Errorf("next migration not due exactly %v after the last one", tuning.MigrationInterval)
	}
	schedule.request("a")
	schedule.request("a")
	schedule.request("b")
	if schedule.removeRequest("a"); len(schedule.requested) != 1 || !schedule.requested["b"] {
		t.Errorf("requested: %v", schedule.requested)
	}
}
