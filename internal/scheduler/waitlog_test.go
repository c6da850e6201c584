package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestWaitingIsLoggedOncePerInterval checks that the reason why a job waits is logged once per
// tuning.WaitReasonLogInterval, independently for each job.
func TestWaitingIsLoggedOncePerInterval(t *testing.T) {
	log := waitLog{}
	if !log.shouldLog("a", testNow) || log.shouldLog("a", testNow.Add(tuning.WaitReasonLogInterval-1)) ||
		!log.shouldLog("b", testNow.Add(1)) {
		t.Errorf("logged: %v", log)
	}
	if !log.shouldLog("a", testNow.Add(tuning.WaitReasonLogInterval)) {
		t.Error("not logged again")
	}
	if log.prune(func(jobID string) bool { return jobID == "a" }); len(log) != 1 {
		t.Errorf("entries kept after one job ended: %v", log)
	}
}
