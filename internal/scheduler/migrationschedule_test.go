package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestMigrationsThatNothingWaitsForArePaced: they are due once per tuning.MigrationInterval; requests stand
// until taken.
func TestMigrationsThatNothingWaitsForArePaced(t *testing.T) {
	schedule := newMigrationSchedule()
	if !schedule.paceIsDue(testNow) {
		t.Error("not due though none was ever made")
	}
	schedule.lastPaced = testNow
	if schedule.paceIsDue(testNow.Add(tuning.MigrationInterval-1)) ||
		!schedule.paceIsDue(testNow.Add(tuning.MigrationInterval)) {
		t.Errorf("not due once per %v", tuning.MigrationInterval)
	}
	schedule.request("a")
	schedule.request("a")
	schedule.request("b")
	if schedule.takeRequest("a"); len(schedule.requested) != 1 || !schedule.requested["b"] {
		t.Errorf("requested: %v", schedule.requested)
	}
}
