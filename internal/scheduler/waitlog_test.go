package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestWaitingIsLoggedOncePerInterval: the log says once per tuning.WaitReasonLogInterval why a job waits, for
// each job by itself.
func TestWaitingIsLoggedOncePerInterval(t *testing.T) {
	log := waitLog{}
	if !log.allow("a", testNow) || log.allow("a", testNow.Add(tuning.WaitReasonLogInterval-1)) ||
		!log.allow("b", testNow.Add(1)) {
		t.Errorf("logged: %v", log)
	}
	if !log.allow("a", testNow.Add(tuning.WaitReasonLogInterval)) {
		t.Error("not logged again")
	}
	if log.prune(func(jobID string) bool { return jobID == "a" }); len(log) != 1 {
		t.Errorf("left after one job is over: %v", log)
	}
}
