package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestGangTimesOutByItsSize: a gang that is bound in part times out, the later the more tasks it has; one that has
// formed in between has its time anew.
func TestGangTimesOutByItsSize(t *testing.T) {
	formation := gangFormation{}
	const tasks = 10
	limit := testNow.Add(tuning.GangFormTimeout + tasks*tuning.GangFormTimeoutPerTask)
	if formation.timedOut("a", tasks, testNow) || formation.timedOut("a", tasks, limit) {
		t.Error("timed out too early")
	}
	if formation.timedOut("a", tasks+1, limit.Add(1)) || !formation.timedOut("a", tasks, limit.Add(1)) {
		t.Error("the time does not follow the number of tasks")
	}
	formation.formed("a")
	if formation.timedOut("a", tasks, limit.Add(1)) {
		t.Error("timed out at once after it had formed")
	}
	if formation.prune(func(jobID string) bool { return jobID == "a" }); len(formation) != 0 {
		t.Errorf("left after the job is over: %v", formation)
	}
}
